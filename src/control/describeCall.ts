import { generateId } from '../core/random.js';
import type { CallFailure } from '../schema/failure.js';
import type { CallEnvelope } from '../schema/frame.js';
import type { Sample } from '../schema/state.js';

const REQUEST_ID_DIGITS = 16;

/** Returns the key of the admitted fraction of an operation and priority. */
export function formatFractionKey(envelope: CallEnvelope): string {
  return `${envelope.service}/${envelope.operation}/${envelope.priority}`;
}

/** Returns the fields that all events about a call have. */
export function describeCall(envelope: CallEnvelope): {
  requestId: string;
  service: string;
  operation: string;
  priority: string;
} {
  const { requestId, service, operation, priority } = envelope;
  return { requestId, service, operation, priority };
}

/** Generates the id of a request that enters at this node. */
export function generateRequestId(random: () => number): string {
  return generateId(random, REQUEST_ID_DIGITS);
}

/** Builds the sample of a finished call. */
export function buildSample(
  envelope: CallEnvelope,
  failure: CallFailure | undefined,
  run: Pick<Sample, 'role' | 'atMs' | 'host' | 'totalTimeMs' | 'ownTimeMs' | 'concurrency'>,
): Sample {
  const { service, operation, priority, fingerprint } = envelope;
  return {
    ...run,
    service,
    operation,
    priority,
    fingerprint,
    result: failure === undefined ? 'answered' : 'failed',
    ran: failure?.ran ?? 'yes',
    retry: failure?.retry ?? 'never',
    failureKind: failure?.kind ?? '',
  };
}
