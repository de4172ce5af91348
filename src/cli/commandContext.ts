import { randomBytes } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { userInfo } from 'node:os';
import { createLogClient } from '../platform/logClient.js';
import type { LogClient } from '../platform/logClient.js';
import { FailureError } from '../schema/failure.js';
import { buildFailureResult } from './commandResult.js';
import type { CommandResult } from './commandResult.js';

/** What commands need from outside. */
export interface CommandContext {
  /** Monotonic time (ms). */
  now(): number;
  wait(durationMs: number): Promise<void>;
  /** Tells a person on standard error what is going on; silent within the first second and more often than that. */
  printProgress(text: string): void;
  createChangeId(): string;
  createLog(url: string): LogClient;
  operator: string;
}

export type CommandHandler = (context: CommandContext) => Promise<CommandResult>;

const PROGRESS_INTERVAL_MS = 1000;
const LOG_TIMEOUT_MS = 3000;

/** Creates the context of a real process. */
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
 * Reads an option that a command cannot do without; its environment variable is taken when it is not given.
 *
 * @throws FailureError `usage`.
 */
export function getRequiredOption(options: Record<string, unknown>, name: string, variable: string): string {
  const value = options[name] ?? process.env[variable];
  if (typeof value === 'string' && value !== '') return value;
  const message = `--${name} is missing: give it, or set ${variable}; --help shows examples`;
  throw new FailureError({ kind: 'usage', message });
}

/**
 * Reads an option that holds a number of seconds.
 *
 * @throws FailureError `usage`.
 */
export function getSecondsOption(options: Record<string, unknown>, name: string): number {
  const value = Number(options[name]);
  if (value > 0) return value;
  throw new FailureError({
    kind: 'usage',
    message: `--${name} is ${String(options[name])}: give a number above 0 (s)`,
  });
}

/**
 * Reads a version.
 *
 * @throws FailureError `usage`.
 */
export function parseVersion(value: unknown, name: string): number {
  const version = Number(value);
  if (Number.isInteger(version) && version >= 0) return version;
  throw new FailureError({ kind: 'usage', message: `${name} is ${String(value)}: give a version, an integer from 0` });
}
