import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { FailureError } from '../schema/failure.js';

/** A child process with the addresses that it printed once it was listening. */
export interface StartedProcess {
  readonly name: string;
  readonly child: ChildProcess;
  readonly addresses: Record<string, string>;
  /** Most recent lines of standard error, oldest first. */
  readonly errorLines: string[];
  /** Sends SIGTERM and waits until the process exits; returns the exit code. */
  stop(): Promise<number | null>;
  /** Sends SIGKILL, as if the process crashed. */
  kill(): Promise<void>;
}

const START_TIMEOUT_MS = 60_000;
const MAX_ERROR_LINES = 200;

/**
 * Starts a script of this repository in a Node process and waits until it prints its addresses.
 *
 * @throws FailureError `processFailed` if it exits or does not listen in time.
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
    if (errorLines.length > MAX_ERROR_LINES) errorLines.shift();
  });
  const exited = new Promise<number | null>((resolve) => child.once('exit', resolve));
  const addresses = await waitForAddresses(name, child, errorLines);
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

function waitForAddresses(
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
      fail('did not listen within 60 s');
    }, START_TIMEOUT_MS);
    child.once('exit', (code) => {
      fail(`exited with code ${code}`);
    });
    if (child.stdout === null) return;
    createInterface({ input: child.stdout }).on('line', (line) => {
      const parsed = parseAddresses(line);
      if (parsed === undefined) return;
      clearTimeout(timer);
      resolve(parsed);
    });
  });
}

function parseAddresses(line: string): Record<string, string> | undefined {
  if (!line.startsWith('{"listening":')) return undefined;
  return (JSON.parse(line) as { listening: Record<string, string> }).listening;
}
