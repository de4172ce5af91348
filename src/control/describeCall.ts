import { generateId } from '../core/random.js';
import type { CallFailure } from '../schema/failure.js';
import type { CallEnvelope } from '../schema/frame.js';
import type { Sample } from '../schema/state.js';

const REQUEST_ID_DIGITS = 16;

/** The key under which the fraction of a called operation is kept for one priority. */
export function formatFractionKey(envelope: CallEnvelope): string {
  return `${envelope.service}/${envelope.operation}/${envelope.priority}`;
}

/** The fields that every event about a call carries. */
export function describeCall(envelope: CallEnvelope): {
  requestId: string;
  service: string;
  operation: string;
  priority: string;
} {
  const { requestId, service, operation, priority } = envelope;
  return { requestId, service, operation, priority };
}

/** Generates the id of a request that enters the system here. */
export function generateRequestId(random: () => number): string {
  return generateId(random, REQUEST_ID_DIGITS);
}

/** Builds the sample of a call that ended. */
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
