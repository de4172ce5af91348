// Builds the program for the platform's hosts as one file: it starts in a third of the time of its many modules.
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/hemlockd.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
});
