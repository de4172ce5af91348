import { spawn } from 'node:child_process';
import { readdirSync } from 'node:fs';
import { join } from 'node:path';

const PARALLEL_TEST_FILES = 4;
const filters = process.argv.slice(2);
const files = readdirSync('dist/tests', { recursive: true })
  .map((name) => join('dist/tests', String(name)))
  .filter((name) => name.endsWith('.test.js') && (filters.length === 0 || filters.some((text) => name.includes(text))))
  .sort();
const options = ['--enable-source-maps', '--test', `--test-concurrency=${PARALLEL_TEST_FILES}`];
const child = spawn(process.execPath, [...options, ...files], { stdio: 'inherit' });
child.on('exit', (code) => process.exit(code ?? 1));
