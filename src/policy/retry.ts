import type { CallFailure } from '../schema/failure.js';

/** Inputs of the decision whether to retry a failed attempt. */
export interface RetryInput {
  failure: CallFailure;
  isIdempotent: boolean;
  /** Attempts made so far. */
  attempts: number;
  /** Extra attempts left in the part of the request's allowance that this node may spend. */
  remainingAllowance: number;
  /** Time left until the deadline (ms). */
  timeLeftMs: number;
  /** Expected duration of another attempt (ms). */
  expectedMs: number;
  /** Retry tokens left for calls from this service to the called service. */
  tokens: number;
  hasOtherTarget: boolean;
}

/**
 * Decides whether a failed attempt is retried at another target: only if the call did not run or is idempotent, and
 * only if the deadline, the allowance of the request and the retry budget permit it.
 */
export function isRetryGranted(input: RetryInput): boolean {
  const { failure } = input;
  if (failure.retry !== 'elsewhere' || !input.hasOtherTarget) return false;
  if (!input.isIdempotent && failure.ran !== 'no') return false;
  if (input.timeLeftMs <= input.expectedMs) return false;
  return input.remainingAllowance >= 1 && input.tokens >= 1;
}
