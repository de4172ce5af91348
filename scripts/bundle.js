// Builds the program for the platform's hosts: a single bundled file and its V8 code cache, for a fast start.
// Usage: node scripts/bundle.js [OUTPUT_FOLDER] (default: target)
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const outputFolder = process.argv[2] ?? 'target';
const launcherFile = `${outputFolder}/hemlockd.cjs`;
const resolvePath = (path) => fileURLToPath(new URL(path, import.meta.url));

await build({
  entryPoints: ['platform/startNode.ts'],
  outfile: `${outputFolder}/program.cjs`,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  charset: 'ascii',
  logLevel: 'warning',
  // The main files of these packages also load modules that the program does not use, which doubles the start time.
  alias: {
    undici: resolvePath('undiciClients.cjs'),
    'hdr-histogram-js': resolvePath('../node_modules/hdr-histogram-js/dist/HistogramBuilder.js'),
  },
});
await build({ entryPoints: ['scripts/startProgram.cjs'], outfile: launcherFile, platform: 'node' });
// V8 accepts a code cache only under the flags that it was created with, so those of the deploy file are used here.
const [, command = ''] = /^run = "node (.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
const nodeArguments = command.replace('target/hemlockd.cjs', launcherFile).split(' ');
const { status } = spawnSync(process.execPath, [...nodeArguments, '--write-cache'], { stdio: 'inherit' });
process.exitCode = status ?? 1;
