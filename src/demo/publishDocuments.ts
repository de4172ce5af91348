import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { FailureError } from '../schema/failure.js';

const cliScript = fileURLToPath(new URL('../cli/main.js', import.meta.url));

/**
 * Publishes configuration documents with `hemlockctl publish`, as an operator does.
 *
 * @throws FailureError `processFailed` with the output of hemlockctl if it fails.
 */
export function publishDocuments(files: readonly string[], logUrl: string): Promise<void> {
  const child = spawn(process.execPath, [cliScript, 'publish', ...files, '--log', logUrl], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let output = '';
  for (const stream of [child.stdout, child.stderr]) {
    stream.on('data', (chunk: Buffer) => {
      output += chunk.toString('utf8');
    });
  }
  return new Promise((resolve, reject) => {
    child.once('exit', (code) => {
      if (code === 0) resolve();
      else
        reject(
          new FailureError({
            kind: 'processFailed',
            message: `hemlockctl publish exited with code ${code}: ${output}`,
          }),
        );
    });
  });
}
