import { FailureError } from '../schema/failure.js';
import type { Failure } from '../schema/failure.js';
import { formatFault } from '../schema/validate.js';

export const EXIT_SUCCESS = 0;
/** The result is negative, such as a rejected change or a host that lags, or there was another failure. */
export const EXIT_FAILED = 1;
/** The arguments or a file are invalid. */
export const EXIT_INVALID = 2;
/** It is unknown whether a change was applied, or the log does not show which documents are in force. */
export const EXIT_UNKNOWN = 3;
/** The log or a node could not be reached. */
export const EXIT_UNREACHABLE = 4;

/** The result of a command, as text for people and as a value for programs. */
export interface CommandResult {
  exitCode: number;
  lines: string[];
  /** Printed by `--json`. */
  value: unknown;
}

/** Builds the result of a command that threw an error. */
export function buildFailureResult(error: unknown): CommandResult {
  if (!(error instanceof FailureError)) {
    const message = `hemlockctl failed: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}`;
    return { exitCode: EXIT_FAILED, lines: [message], value: { failure: { kind: 'internal', message } } };
  }
  const { failure } = error;
  const lines = [
    failure.message,
    ...('faults' in failure ? failure.faults.map((fault) => `  ${formatFault(fault)}`) : []),
  ];
  return { exitCode: getExitCode(failure), lines, value: { failure } };
}

function getExitCode({ kind }: Failure): number {
  switch (kind) {
    case 'documentInvalid':
    case 'fileUnreadable':
    case 'usage':
      return EXIT_INVALID;
    case 'logIncomplete':
      return EXIT_UNKNOWN;
    case 'logUnavailable':
    case 'nodeUnreachable':
      return EXIT_UNREACHABLE;
    default:
      return EXIT_FAILED;
  }
}
