import type { LogClient } from '../platform/logClient.js';
import type { PublishedDocument, Verdict } from '../policy/configurationFold.js';
import { applyPage, createLogReader } from '../policy/logReader.js';
import type { LogReader } from '../policy/logReader.js';
import { FailureError } from '../schema/failure.js';
import type { CommandContext } from './commandContext.js';

/** State of the log up to the last record read, with the verdicts on the records that have not expired. */
export interface LogView {
  reader: LogReader;
  verdicts: Verdict[];
}

const RETRY_DELAY_MS = 250;

/** Creates an empty view. */
export function createLogView(): LogView {
  return { reader: createLogReader(), verdicts: [] };
}

/**
 * Reads the log to its end.
 *
 * @throws FailureError `logUnavailable` when the log is still unavailable after `timeoutMs`; `logIncomplete` when
 * records that the state depends on have expired and no snapshot covers them, or when the log was replaced.
 */
export async function readLogToEnd(
  context: CommandContext,
  log: LogClient,
  options: { url: string; timeoutMs: number; view?: LogView },
): Promise<LogView> {
  const { url, timeoutMs, view = createLogView() } = options;
  const endMs = context.now() + timeoutMs;
  for (;;) {
    const outcome = await log.read(view.reader.readUpTo + 1);
    if (outcome.type === 'unavailable') {
      if (context.now() > endMs) throw createUnavailableError(url, outcome.message);
      context.printProgress(`reading ${url}: ${outcome.message}; retrying`);
      await context.wait(RETRY_DELAY_MS);
      continue;
    }
    const applied = applyPage(view.reader, outcome.page);
    // The log was replaced: it is shorter than what was already read, so the state read so far does not belong to it.
    if (applied.type === 'restarted') throw createIncompleteError(url, applied.message);
    view.verdicts.push(...applied.verdicts);
    context.printProgress(`reading ${url}: ${view.reader.readUpTo} of ${outcome.page.nextOffset - 1} records`);
    if (view.reader.readUpTo + 1 >= outcome.page.nextOffset) break;
  }
  if (!view.reader.isComplete) throw createIncompleteError(url, 'records have expired and no snapshot covers them');
  return view;
}

/**
 * Returns the document of a service that is in force.
 *
 * @throws FailureError `documentMissing`.
 */
export function getDocumentInForce({ reader }: LogView, service: string): PublishedDocument {
  const found = reader.state.documents.get(service);
  if (found !== undefined) return found;
  const published = [...reader.state.documents.keys()].sort().join(', ') || 'none';
  const message = `the log contains no accepted document of ${service}; published services: ${published}`;
  throw new FailureError({ kind: 'documentMissing', message });
}

function createUnavailableError(url: string, reason: string): FailureError {
  const message = `cannot read the log at ${url}: ${reason}; nothing was written to it; check the address, or wait until the log is available`;
  return new FailureError({ kind: 'logUnavailable', message });
}

function createIncompleteError(url: string, reason: string): FailureError {
  const message = `the log at ${url} does not show which documents are in force: ${reason}; run "hemlockctl status --node ADDRESS" to see the versions at a node, or retry after a node has written a snapshot`;
  return new FailureError({ kind: 'logIncomplete', message });
}
