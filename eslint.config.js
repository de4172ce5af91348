import { readFileSync } from 'node:fs';
import js from '@eslint/js';
import tseslint from 'typescript-eslint';

/** Packages that each folder of `src` may import. */
const allowedPackages = {
  schema: ['@sinclair/typebox'],
  core: ['pure-rand', 'murmurhash'],
  policy: [],
  control: [],
  node: [],
  transport: ['@grpc/grpc-js', 'msgpackr'],
  http: ['@nestjs', 'reflect-metadata', 'fastify', 'undici', 'hdr-histogram-js', 'prom-client'],
  platform: ['undici'],
  timeline: [],
  daemon: ['loglevel', 'reflect-metadata', 'hdr-histogram-js'],
  cli: ['sade', 'undici'],
  standins: ['fastify', 'undici', 'sade', 'hdr-histogram-js', 'loglevel', 'msgpackr', '@sinclair/typebox'],
  bench: ['hdr-histogram-js', 'sade', 'undici', 'fastify', '@sinclair/typebox'],
  fuzz: ['fast-check', 'sade'],
  demo: ['hdr-histogram-js', 'sade', 'undici'],
  soak: ['@sinclair/typebox'],
};

/** Folders of `src` that each folder may import. A folder without an entry may import all of them. */
const allowedFolders = {
  schema: [],
  core: ['schema'],
  policy: ['schema', 'core'],
  control: ['schema', 'core', 'policy'],
  node: ['schema', 'core', 'policy', 'control'],
  transport: ['schema', 'core'],
  http: ['schema', 'core', 'control', 'node'],
  platform: ['schema', 'core'],
  timeline: ['schema', 'core'],
  daemon: ['schema', 'core', 'policy', 'control', 'node', 'transport', 'http', 'platform', 'timeline'],
  cli: ['schema', 'core', 'policy', 'platform', 'timeline'],
  standins: ['schema', 'core', 'platform'],
  soak: ['schema', 'core'],
};

const verbs = readFileSync(new URL('docs/naming.md', import.meta.url), 'utf8')
  .split('\n')
  .map((line) => /^\| `(\w+)` \|/.exec(line)?.[1])
  .filter((verb) => verb !== undefined);

/** Selector pattern of names that do not begin with a listed verb. */
const unlistedVerbName = `/^(?!(${verbs.join('|')})([A-Z0-9]|$))/`;
const namingMessage = 'Function names must begin with a verb from docs/naming.md.';
const namingRules = [
  { selector: `FunctionDeclaration[id.name=${unlistedVerbName}]`, message: namingMessage },
  {
    selector: `VariableDeclarator[init.type="ArrowFunctionExpression"][id.name=${unlistedVerbName}]`,
    message: namingMessage,
  },
  {
    selector: 'ThrowStatement > NewExpression[callee.name=/^(Error|TypeError|RangeError)$/]',
    message: 'Throw FailureError with a tagged failure.',
  },
  { selector: 'ThrowStatement > Literal', message: 'Throw FailureError with a tagged failure.' },
];

/** Names in the platform's protocols and files; `platform/` translates them into those of `src`. */
const platformNamePattern =
  '/x-attempt-id|x-response-seal|x-target-instance|x-not-executed|x-caller-service|x-deadline-remaining|x-server-load|' +
  'x-tenant-id|store-era|api_keys|log-append|log-read|log-newest|log-join|keyed\\.|heartbeat_url|cold_left|route_rules|weighted_targets|HEMLOCKSTACK_BOOT/i';
const platformMessage = 'Names of the platform may be used only in platform/ and deploy/.';

const escapePattern = (text) => text.replace(/[/.]/g, '\\$&');

/** Builds the import rules of a folder of `src`. */
function buildFolderRules(folder) {
  const isRestricted = folder in allowedFolders;
  const forbiddenFolders = isRestricted
    ? Object.keys(allowedPackages).filter((other) => other !== folder && !allowedFolders[folder].includes(other))
    : [];
  const packagePatterns = allowedPackages[folder].map((name) => `${escapePattern(name)}(/|$)`);
  const allowedImports = ['\\.', 'node:', ...packagePatterns].join('|');
  return {
    files: [`src/${folder}/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            ...(forbiddenFolders.length > 0
              ? [
                  {
                    regex: `^(\\.\\./)+(${forbiddenFolders.join('|')})/`,
                    message: `src/${folder} may import only: ${allowedFolders[folder].join(', ') || 'itself'}.`,
                  },
                ]
              : []),
            { regex: `^(?!${allowedImports})`, message: `src/${folder} may not import this package.` },
          ],
        },
      ],
    },
  };
}

export default tseslint.config(
  { ignores: ['dist/', 'node_modules/', 'out/', 'target/'] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  ...tseslint.configs.stylistic,
  {
    files: ['src/**/*.ts', 'tests/**/*.ts', 'platform/**/*.ts'],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
      '@typescript-eslint/no-import-type-side-effects': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/no-extraneous-class': ['error', { allowWithDecorator: true }],
      'no-restricted-syntax': ['error', ...namingRules],
      'no-console': 'error',
      eqeqeq: 'error',
    },
  },
  {
    files: [
      'platform/standins/*.ts',
      'src/cli/**/*.ts',
      'src/demo/**/*.ts',
      'src/bench/**/*.ts',
      'src/fuzz/**/*.ts',
      'src/standins/**/*.ts',
    ],
    rules: { 'no-console': 'off' },
  },
  {
    files: ['tests/**/*.ts', 'platform/tests/**/*.ts'],
    rules: {
      '@typescript-eslint/no-floating-promises': [
        'error',
        { allowForKnownSafeCalls: [{ from: 'package', package: 'node:test', name: ['test', 'describe', 'it'] }] },
      ],
    },
  },
  ...Object.keys(allowedPackages).map(buildFolderRules),
  {
    files: ['src/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        ...namingRules,
        { selector: `Literal[value=${platformNamePattern}]`, message: platformMessage },
        { selector: `TemplateElement[value.raw=${platformNamePattern}]`, message: platformMessage },
        { selector: `Identifier[name=${platformNamePattern}]`, message: platformMessage },
      ],
    },
  },
  {
    files: ['*.js', 'scripts/**/*.js'],
    languageOptions: { globals: { URL: 'readonly', console: 'readonly', process: 'readonly', Buffer: 'readonly' } },
  },
  {
    files: ['scripts/**/*.cjs'],
    languageOptions: {
      globals: { require: 'readonly', module: 'writable', __dirname: 'readonly', process: 'readonly' },
    },
    rules: { '@typescript-eslint/no-require-imports': 'off' },
  },
);
