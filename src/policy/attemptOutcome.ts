import type { RunFailure } from '../schema/linkFrame.js';
import type { Refusal } from '../schema/refusal.js';

/** What is known when an attempt failed. */
export interface FailedAttempt {
  failure: RunFailure;
  isIdempotent: boolean;
  /** True when the request can be sent again: its whole body is at hand and no answer began. */
  isRepeatable: boolean;
  /** Attempts that may have reached a target, this one included. */
  arrivals: number;
  maxAttempts: number;
  /** Nodes that refused the request without reaching a target. */
  offers: number;
  hasRetryToken: boolean;
  timeLeftMs: number;
  /** Least time that another attempt takes (ms). */
  expectedMs: number;
}

/** `offer`: to another node at no cost; `retry`: to another target, which costs a token; else the final answer. */
export type NextStep = { type: 'offer' } | { type: 'retry' } | { type: 'refuse'; refusal: Refusal };

/** Status from which an answer says that the target failed. */
const LEAST_FAILED_STATUS = 500;
/** Nodes that may refuse a request before its client is told. */
const MAX_OFFERS = 4;
/** Time after which a client that was refused may find room (ms). */
export const RETRY_AFTER_MS = 250;
/** When a client that overload refused comes back, as a share of the target latency: late enough for room, in time for worth. */
const SHED_RETRY_SHARE = 0.4;
const LEAST_SHED_RETRY_MS = 50;
const LONGEST_SHED_RETRY_MS = 1500;

/**
 * Computes when a request that was refused because of overload should come back (ms).
 *
 * @param random In [0, 1); spreads the returns of many.
 */
export function computeShedRetryDelay(targetLatencyMs: number, random: number): number {
  const meanMs = Math.min(LONGEST_SHED_RETRY_MS, Math.max(LEAST_SHED_RETRY_MS, SHED_RETRY_SHARE * targetLatencyMs));
  return meanMs * (0.75 + 0.5 * random);
}

/** True when a target's answer says that it failed to do the work. */
export function isTargetFailure({ status }: { status: number }): boolean {
  return status >= LEAST_FAILED_STATUS;
}

/**
 * Decides what follows a failed attempt. A request goes to another target only where it has certainly not run, or may run
 * twice; whatever may have reached a target costs a token of the fleet's retries.
 *
 * @example
 * const step = decideNextStep(attempt);
 */
export function decideNextStep(attempt: FailedAttempt): NextStep {
  const { failure, isRepeatable } = attempt;
  const hasTime = attempt.timeLeftMs > attempt.expectedMs;
  if (!failure.hasArrived) {
    if (isRepeatable && hasTime && attempt.offers < MAX_OFFERS) return { type: 'offer' };
    return { type: 'refuse', refusal: buildRefusal(failure) };
  }
  if (isRetryAllowed(attempt)) return { type: 'retry' };
  return { type: 'refuse', refusal: buildRefusal(failure) };
}

/** True when a request that reached a target may be sent to another one. */
function isRetryAllowed(attempt: FailedAttempt): boolean {
  const { failure, isRepeatable, isIdempotent, timeLeftMs, expectedMs, arrivals, maxAttempts } = attempt;
  const mayRepeat = isRepeatable && (failure.ran === 'no' || isIdempotent);
  return mayRepeat && timeLeftMs > expectedMs && arrivals < maxAttempts && attempt.hasRetryToken;
}

function buildRefusal(failure: RunFailure): Refusal {
  const { kind, detail, ran } = failure;
  if (ran !== 'no') return { kind: kind === 'timedOut' ? 'timedOut' : 'failed', detail: `${kind}: ${detail}` };
  if (kind === 'tooLate') return { kind: 'tooLate', detail, retryAfterMs: RETRY_AFTER_MS };
  if (kind === 'quarantined') return { kind: 'quarantined', detail };
  const isRejected = kind === 'rejected' || kind === 'misdirected';
  return { kind: isRejected ? 'rejected' : 'overloaded', detail: `${kind}: ${detail}`, retryAfterMs: RETRY_AFTER_MS };
}
