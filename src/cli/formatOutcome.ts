import type { PublishOutcome } from '../schema/commandReport.js';
import { EXIT_SUCCESS, EXIT_FAILED, EXIT_UNKNOWN, EXIT_UNREACHABLE } from './commandResult.js';

const exitCodes: Record<PublishOutcome['type'], number> = {
  accepted: EXIT_SUCCESS,
  rejected: EXIT_FAILED,
  unknown: EXIT_UNKNOWN,
  unreachable: EXIT_UNREACHABLE,
};

/** Formats the outcome as one line; for a failure the line also says what the operator can do. */
export function formatOutcome(outcome: PublishOutcome, url: string): string {
  const { service, changeId } = outcome;
  switch (outcome.type) {
    case 'accepted':
      return `${service}: accepted as version ${outcome.version} (change ${changeId}, in place of version ${outcome.baseVersion})`;
    case 'rejected':
      return `${service}: rejected: ${outcome.reason}; compare with hemlockctl diff, then publish again`;
    case 'unknown':
      return `${service}: unknown: ${outcome.reason}; the change may have been written; run the same command with --change-id ${changeId}, so that it is not applied twice`;
    case 'unreachable':
      return `${service}: unreachable: ${outcome.reason}; nothing was written to ${url}; publish again when the log is available`;
  }
}

/** Returns the exit code of one outcome. */
export function getPublishExitCode({ type }: PublishOutcome): number {
  return exitCodes[type];
}
