import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join, relative } from 'node:path';
import { run } from 'node:test';
import { tap } from 'node:test/reporters';

const PARALLEL_TEST_FILES = 4;
/** Release line of Node on which CI runs all tests; `engines` in package.json says what the program accepts. */
const CI_NODE_LINE = 'v20.20.';
const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';
process.env.NODE_OPTIONS = '--enable-source-maps';

/** Reads lines such as `test: tests/load/recovery.test.ts > should recover` from KNOWN-RED.txt. */
function readKnownFailures() {
  if (!existsSync(KNOWN_FAILURES_FILE)) return new Set();
  const lines = readFileSync(KNOWN_FAILURES_FILE, 'utf8').split('\n');
  return new Set(lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length).trim()));
}

/**
 * Lists the compiled test files whose path contains one of the filters, or all test files if there are no filters. Skips
 * compiled files without a source, which remain in `dist` after a test file was deleted.
 */
function listTestFiles(filters) {
  return ['dist/tests', 'dist/platform/tests']
    .flatMap((folder) => readdirSync(folder, { recursive: true }).map((name) => join(folder, String(name))))
    .filter((name) => name.endsWith('.test.js') && existsSync(formatSourcePath(name)))
    .filter((name) => filters.length === 0 || filters.some((text) => name.includes(text)))
    .sort();
}

function formatSourcePath(file) {
  return file.replace(/^dist\//, '').replace(/\.js$/, '.ts');
}

const { node, llhttp } = process.versions;
const remark = process.version.startsWith(CI_NODE_LINE) ? '' : `, not the release line of CI, ${CI_NODE_LINE}x`;
console.log(`# node v${node}, HTTP parser ${llhttp}${remark}`);

const knownFailures = readKnownFailures();
const failed = [];
const passed = new Set();
const files = listTestFiles(process.argv.slice(2));
if (files.length === 0) {
  console.error('no test file matches');
  process.exit(1);
}
const stream = run({ files: files.map((file) => join(process.cwd(), file)), concurrency: PARALLEL_TEST_FILES });
const formatTestName = ({ file, name }) => `${formatSourcePath(relative(process.cwd(), file ?? ''))} > ${name}`;
stream.on('test:fail', (data) => {
  // The parent of a failed subtest fails as well; only the subtest is reported.
  if (data.details.error?.failureType !== 'subtestsFailed') failed.push(formatTestName(data));
});
stream.on('test:pass', (data) => passed.add(formatTestName(data)));
process.on('exit', () => {
  const unexpected = failed.filter((test) => !knownFailures.has(test));
  for (const test of failed) console.log(`# ${knownFailures.has(test) ? 'known failure' : 'FAILED'}: ${test}`);
  for (const test of knownFailures) if (passed.has(test)) console.log(`# known failure, but passed now: ${test}`);
  if (unexpected.length > 0) process.exitCode = 1;
});
stream.compose(tap).pipe(process.stdout);
