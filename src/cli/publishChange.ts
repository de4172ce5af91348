import type { LogClient } from '../platform/logClient.js';
import type { Verdict } from '../policy/configurationFold.js';
import type { PublishOutcome } from '../schema/commandReport.js';
import { FailureError } from '../schema/failure.js';
import type { ChangeRecord } from '../schema/logRecord.js';
import type { ServiceConfiguration } from '../schema/serviceConfiguration.js';
import type { CommandContext } from './commandContext.js';
import { readLogToEnd } from './readLog.js';
import type { LogView } from './readLog.js';

export interface PublishRequest {
  document: ServiceConfiguration;
  operator: string;
  url: string;
  /** Time limit for all attempts (ms). */
  timeoutMs: number;
  /** Identifies the change: records with the same id are applied once, however often they are appended. */
  changeId: string;
  /** Version that the document is based on. Default: the version in force when the log is read. */
  baseVersion?: number;
}

const RETRY_DELAY_MS = 250;

/**
 * Appends a change and reads the log up to the record that decides it. If the response to the append is lost, it is
 * retried with the same change id.
 *
 * @example
 * const outcome = await publishChange(context, log, request);
 */
export async function publishChange(
  context: CommandContext,
  log: LogClient,
  request: PublishRequest,
): Promise<PublishOutcome> {
  const { url, timeoutMs, changeId, document, operator } = request;
  const { service } = document;
  const endMs = context.now() + timeoutMs;
  const view = await readLogToEnd(context, log, { url, timeoutMs });
  const baseVersion = request.baseVersion ?? view.reader.state.documents.get(service)?.version ?? 0;
  const change: ChangeRecord = { kind: 'change', changeId, service, baseVersion, operator, document };
  let mayBeWritten = false;
  let reason = '';
  while (context.now() < endMs || reason === '') {
    const outcome = findOutcome(view, change);
    if (outcome !== undefined) return outcome;
    const appended = await log.append(change);
    mayBeWritten ||= appended.type !== 'unavailable';
    if (appended.type !== 'appended') {
      reason = appended.message;
      context.printProgress(`publishing ${service} to ${url}: ${reason}; retrying with the same change id`);
      await context.wait(RETRY_DELAY_MS);
    }
    const isRead = await readNewRecords(context, log, { url, timeoutMs: Math.max(1, endMs - context.now()), view });
    if (!isRead) reason = 'the log could not be read up to the record of the change';
  }
  const outcome = findOutcome(view, change);
  if (outcome !== undefined) return outcome;
  return { type: mayBeWritten ? 'unknown' : 'unreachable', service, changeId, reason };
}

async function readNewRecords(
  context: CommandContext,
  log: LogClient,
  options: { url: string; timeoutMs: number; view: LogView },
): Promise<boolean> {
  try {
    await readLogToEnd(context, log, options);
    return true;
  } catch (error) {
    // The outcome is then unknown; it is reported with the change id, which a later attempt needs.
    const isTransient =
      error instanceof FailureError && ['logUnavailable', 'logIncomplete'].includes(error.failure.kind);
    if (isTransient) return false;
    throw error;
  }
}

function findOutcome({ reader, verdicts }: LogView, change: ChangeRecord): PublishOutcome | undefined {
  const { changeId, service, baseVersion } = change;
  const decided = reader.state.decided.get(changeId);
  if (decided === undefined) return undefined;
  const verdict = verdicts.find(({ offset }) => offset === decided.offset);
  if (verdict !== undefined && 'change' in verdict && !isSameChange(verdict.change, change)) {
    const reason = `change id ${changeId} was used for another change at offset ${decided.offset}`;
    return { type: 'rejected', service, changeId, reason };
  }
  if (decided.isAccepted) return { type: 'accepted', service, changeId, version: decided.offset, baseVersion };
  return buildRejection(verdict, change, decided.offset);
}

function buildRejection(verdict: Verdict | undefined, change: ChangeRecord, offset: number): PublishOutcome {
  const { changeId, service } = change;
  if (verdict?.type !== 'rejected') {
    return { type: 'rejected', service, changeId, reason: `the change was rejected at offset ${offset}` };
  }
  const { reason, winner } = verdict;
  if (winner === undefined) return { type: 'rejected', service, changeId, reason };
  const { version, operator } = winner;
  return { type: 'rejected', service, changeId, reason, winner: { version, operator, changeId: winner.changeId } };
}

function isSameChange(left: ChangeRecord, right: ChangeRecord): boolean {
  return left.service === right.service && JSON.stringify(left.document) === JSON.stringify(right.document);
}
