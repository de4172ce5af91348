import type { RunFailure } from '../schema/linkFrame.js';
import type { SuspectVerdict } from './quarantine.js';
import type { Refusal } from '../schema/refusal.js';

/** State of a request after a failed attempt. */
export interface FailedAttempt {
  failure: RunFailure;
  isIdempotent: boolean;
  /** True when the request can be sent again: its whole body is buffered and no answer has started. */
  isRepeatable: boolean;
  /** Attempts that may have reached a target, including this one. */
  arrivals: number;
  maxAttempts: number;
  /** Nodes that refused the request before it reached a target. */
  offers: number;
  hasRetryToken: boolean;
  /** How the request is handled by what is known of crashes. */
  verdict: SuspectVerdict;
  timeLeftMs: number;
  /** Minimum expected duration of another attempt (ms). */
  expectedMs: number;
}

/**
 * `offer`: send to another node, which costs no retry token; `retry`: send to another target, which costs one;
 * `refuse`: respond to the client with the refusal.
 */
export type NextStep = { type: 'offer' } | { type: 'retry' } | { type: 'refuse'; refusal: Refusal };

/** Minimum HTTP status that counts as a failure of the target. */
const MIN_FAILURE_STATUS = 500;
/** Maximum number of nodes that may refuse a request before the client gets a refusal. */
const MAX_OFFERS = 4;
/** Delay after which a refused client may retry if nothing is known of when there is room (ms). */
export const RETRY_AFTER_MS = 250;

/** True when the status of a target's answer reports a failure of the target. */
export function isTargetFailure({ status }: { status: number }): boolean {
  return status >= MIN_FAILURE_STATUS;
}

/**
 * Decides what to do after a failed attempt. A request is sent to another target only if it certainly did not run or is
 * idempotent. An attempt that may have reached a target counts against the fleet-wide retry budget.
 *
 * @example
 * const step = decideNextStep(attempt);
 */
export function decideNextStep(attempt: FailedAttempt): NextStep {
  const { failure, isRepeatable } = attempt;
  const hasTime = attempt.timeLeftMs > attempt.expectedMs;
  if (attempt.verdict === 'refuse')
    return { type: 'refuse', refusal: buildRefusal({ ...failure, kind: 'quarantined' }) };
  if (!failure.hasArrived) {
    if (isRepeatable && hasTime && attempt.offers < MAX_OFFERS) return { type: 'offer' };
    return { type: 'refuse', refusal: buildRefusal(failure) };
  }
  if (isRetryAllowed(attempt)) return { type: 'retry' };
  return { type: 'refuse', refusal: buildRefusal(failure) };
}

/** True when a request that may have reached a target may be sent to another one. */
function isRetryAllowed(attempt: FailedAttempt): boolean {
  const { failure, isRepeatable, isIdempotent, timeLeftMs, expectedMs, arrivals, maxAttempts } = attempt;
  // A suspect that may have run may have crashed the target, and would crash the next one.
  const mayRepeat = isRepeatable && (failure.ran === 'no' || (isIdempotent && attempt.verdict === 'run'));
  return mayRepeat && timeLeftMs > expectedMs && arrivals < maxAttempts && attempt.hasRetryToken;
}

function buildRefusal(failure: RunFailure): Refusal {
  const { kind, detail, ran, roomMs = RETRY_AFTER_MS } = failure;
  if (ran !== 'no') return { kind: kind === 'timedOut' ? 'timedOut' : 'failed', detail: `${kind}: ${detail}` };
  if (kind === 'tooLate') return { kind: 'tooLate', detail, retryAfterMs: roomMs };
  if (kind === 'quarantined') return { kind: 'quarantined', detail };
  const isRejected = kind === 'rejected' || kind === 'misdirected';
  return { kind: isRejected ? 'rejected' : 'overloaded', detail: `${kind}: ${detail}`, retryAfterMs: roomMs };
}
