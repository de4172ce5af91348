import { randomBytes } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { userInfo } from 'node:os';
import { createLogClient } from '../platform/logClient.js';
import type { LogClient } from '../platform/logClient.js';
import { FailureError } from '../schema/failure.js';
import { buildFailureResult } from './commandResult.js';
import type { CommandResult } from './commandResult.js';

/** External dependencies of the commands: time, standard error, the log and the name of the operator. */
export interface CommandContext {
  /** Monotonic time (ms). */
  now(): number;
  wait(durationMs: number): Promise<void>;
  /** Writes progress to standard error, at most once per second and not within the first second. */
  printProgress(text: string): void;
  createChangeId(): string;
  createLog(url: string): LogClient;
  operator: string;
}

export type CommandHandler = (context: CommandContext) => Promise<CommandResult>;

const PROGRESS_INTERVAL_MS = 1000;
const LOG_TIMEOUT_MS = 3000;

/** Creates the context with the clock, the log client and the user name of this process. */
export function createCommandContext(): CommandContext {
  let printedAtMs = performance.now();
  return {
    now: () => performance.now(),
    wait: (durationMs) => wait(durationMs),
    printProgress: (text) => {
      if (performance.now() - printedAtMs < PROGRESS_INTERVAL_MS) return;
      printedAtMs = performance.now();
      process.stderr.write(`${text}\n`);
    },
    createChangeId: () => randomBytes(9).toString('base64url'),
    createLog: (url) => createLogClient(url, { timeoutMs: LOG_TIMEOUT_MS }),
    operator: userInfo().username,
  };
}

/** Runs a command, prints its result, and sets the exit code. */
export async function runCommand(options: { json?: unknown }, handler: CommandHandler): Promise<void> {
  const result = await runHandler(handler);
  if (options.json === true) process.stdout.write(`${JSON.stringify(result.value, null, 2)}\n`);
  else if (result.lines.length > 0) process.stdout.write(`${result.lines.join('\n')}\n`);
  process.exitCode = result.exitCode;
}

async function runHandler(handler: CommandHandler): Promise<CommandResult> {
  try {
    return await handler(createCommandContext());
  } catch (error) {
    return buildFailureResult(error);
  }
}

/**
 * Returns the value of a required option, or of its environment variable if the option is not given.
 *
 * @throws FailureError `usage`.
 */
export function getRequiredOption(options: Record<string, unknown>, name: string, environmentVariable: string): string {
  const value = options[name] ?? process.env[environmentVariable];
  if (typeof value === 'string' && value !== '') return value;
  const message = `--${name} is required: pass it or set ${environmentVariable}; see --help for examples`;
  throw new FailureError({ kind: 'usage', message });
}

/**
 * Returns the value of an option in seconds.
 *
 * @throws FailureError `usage`.
 */
export function getSecondsOption(options: Record<string, unknown>, name: string): number {
  const value = Number(options[name]);
  if (value > 0) return value;
  throw new FailureError({
    kind: 'usage',
    message: `--${name} is ${String(options[name])}: expected a number of seconds above 0`,
  });
}

/**
 * Parses the version of a document; `name` is the argument that the error message refers to.
 *
 * @throws FailureError `usage`.
 */
export function parseVersion(value: unknown, name: string): number {
  const version = Number(value);
  if (Number.isInteger(version) && version >= 0) return version;
  throw new FailureError({
    kind: 'usage',
    message: `${name} is ${String(value)}: expected a version, an integer of at least 0`,
  });
}
