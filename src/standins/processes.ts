import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { FailureError } from '../schema/failure.js';

/** A process that this one started, and the addresses that it printed when it was listening. */
export interface StartedProcess {
  readonly name: string;
  readonly child: ChildProcess;
  readonly addresses: Record<string, string>;
  /** Lines that the process wrote to standard error, newest last; bounded. */
  readonly errorLines: string[];
  /** Sends SIGTERM and waits for the end; returns the exit code. */
  stop(): Promise<number | null>;
  /** Ends the process at once, as a crash does. */
  kill(): Promise<void>;
}

const START_TIMEOUT_MS = 60_000;
const ERROR_LINES_KEPT = 200;

/**
 * Starts a Node process of this repository and waits for the line with its addresses.
 *
 * @throws FailureError `processFailed` when it ends or does not listen in time.
 * @example
 * const node = await startProcess('a1', 'dist/src/daemon/main.js', ['--settings', file]);
 */
export async function startProcess(
  name: string,
  script: string,
  parameters: readonly string[],
  options: { nodeOptions?: readonly string[] } = {},
): Promise<StartedProcess> {
  const child = spawn(process.execPath, [...(options.nodeOptions ?? []), script, ...parameters], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const errorLines: string[] = [];
  createInterface({ input: child.stderr }).on('line', (line) => {
    errorLines.push(line);
    if (errorLines.length > ERROR_LINES_KEPT) errorLines.shift();
  });
  const exited = new Promise<number | null>((resolve) => child.once('exit', resolve));
  const addresses = await waitForListening(name, child, errorLines);
  return {
    name,
    child,
    addresses,
    errorLines,
    stop: () => {
      child.kill('SIGTERM');
      return exited;
    },
    kill: async () => {
      child.kill('SIGKILL');
      await exited;
    },
  };
}

function waitForListening(
  name: string,
  child: ChildProcess,
  errorLines: readonly string[],
): Promise<Record<string, string>> {
  return new Promise((resolve, reject) => {
    const fail = (reason: string): void => {
      clearTimeout(timer);
      reject(new FailureError({ kind: 'processFailed', message: `${name} ${reason}: ${errorLines.join('\n')}` }));
    };
    const timer = setTimeout(() => {
      fail('did not listen in time');
    }, START_TIMEOUT_MS);
    child.once('exit', (code) => {
      fail(`ended with ${code}`);
    });
    if (child.stdout === null) return;
    createInterface({ input: child.stdout }).on('line', (line) => {
      const found = parseListening(line);
      if (found === undefined) return;
      clearTimeout(timer);
      resolve(found);
    });
  });
}

function parseListening(line: string): Record<string, string> | undefined {
  if (!line.startsWith('{"listening":')) return undefined;
  return (JSON.parse(line) as { listening: Record<string, string> }).listening;
}
