// Builds the program for the platform's hosts: one file with its compiled code beside it, so that a process starts quickly.
// Usage: node scripts/bundle.js [FOLDER]
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const folder = process.argv[2] ?? 'target';
const program = `${folder}/hemlockd.cjs`;
const findFile = (path) => fileURLToPath(new URL(path, import.meta.url));

await build({
  entryPoints: ['platform/startNode.ts'],
  outfile: `${folder}/program.cjs`,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  charset: 'ascii',
  logLevel: 'warning',
  // The packages' main files also load parts that the program does not use, which doubles the time to start.
  alias: {
    undici: findFile('undiciClients.cjs'),
    'hdr-histogram-js': findFile('../node_modules/hdr-histogram-js/dist/HistogramBuilder.js'),
  },
});
await build({ entryPoints: ['scripts/startProgram.cjs'], outfile: program, platform: 'node' });
// Compiled code is taken only by a process with the same V8 flags, so it is written with those of the deploy file.
const [, command = ''] = /^run = "node (.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
const parameters = command.replace('target/hemlockd.cjs', program).split(' ');
const { status } = spawnSync(process.execPath, [...parameters, '--write-cache'], { stdio: 'inherit' });
process.exitCode = status ?? 1;
