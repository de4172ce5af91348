import { readFileSync } from 'node:fs';
import js from '@eslint/js';
import tseslint from 'typescript-eslint';

const libraries = {
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

const folders = {
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

const badName = `/^(?!(${verbs.join('|')})([A-Z0-9]|$))/`;
const namingMessage = 'Function names begin with a verb from docs/naming.md.';
const namingRules = [
  { selector: `FunctionDeclaration[id.name=${badName}]`, message: namingMessage },
  { selector: `VariableDeclarator[init.type="ArrowFunctionExpression"][id.name=${badName}]`, message: namingMessage },
  {
    selector: 'ThrowStatement > NewExpression[callee.name=/^(Error|TypeError|RangeError)$/]',
    message: 'Throw FailureError with a tagged failure.',
  },
  { selector: 'ThrowStatement > Literal', message: 'Throw FailureError with a tagged failure.' },
];

/** Names on the platform's wire and in its files; `platform/` translates them. */
const platformName =
  '/x-attempt-id|x-response-seal|x-target-instance|x-not-executed|x-caller-service|x-deadline-remaining|x-server-load|' +
  'log-append|log-read|log-newest|log-join|keyed\\.|heartbeat_url|cold_left|route_rules|weighted_targets|HEMLOCKSTACK_BOOT/i';
const platformMessage = 'Only platform/ and deploy/ know the names of the platform.';

const escapePattern = (text) => text.replace(/[/.]/g, '\\$&');

function describeFolder(folder) {
  const isRestricted = folder in folders;
  const barred = isRestricted
    ? Object.keys(libraries).filter((other) => other !== folder && !folders[folder].includes(other))
    : [];
  const libraryList = libraries[folder].map((name) => `${escapePattern(name)}(/|$)`);
  const allowedPackages = ['\\.', 'node:', ...libraryList].join('|');
  return {
    files: [`src/${folder}/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            ...(barred.length > 0
              ? [
                  {
                    regex: `^(\\.\\./)+(${barred.join('|')})/`,
                    message: `src/${folder} may import only: ${folders[folder].join(', ') || 'itself'}.`,
                  },
                ]
              : []),
            { regex: `^(?!${allowedPackages})`, message: `src/${folder} may not use this library.` },
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
  ...Object.keys(libraries).map(describeFolder),
  {
    files: ['src/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        ...namingRules,
        { selector: `Literal[value=${platformName}]`, message: platformMessage },
        { selector: `TemplateElement[value.raw=${platformName}]`, message: platformMessage },
        { selector: `Identifier[name=${platformName}]`, message: platformMessage },
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
