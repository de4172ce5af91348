import type { CallFailure } from '../schema/failure.js';

export interface RetryInput {
  failure: CallFailure;
  isIdempotent: boolean;
  /** Attempts made so far. */
  attempts: number;
  /** Extra attempts that the request may still make from here. */
  remainingAllowance: number;
  /** Time left until the deadline (ms). */
  timeLeftMs: number;
  /** Expected duration of another attempt (ms). */
  expectedMs: number;
  /** Retry tokens of the edge to the called service. */
  tokens: number;
  hasOtherTarget: boolean;
}

/**
 * Decides whether a failed attempt is repeated at another target: only where the work did not run or may run twice, and
 * where time, the request's allowance and the edge's budget permit.
 */
export function isRetryGranted(question: RetryInput): boolean {
  const { failure } = question;
  if (failure.retry !== 'elsewhere' || !question.hasOtherTarget) return false;
  if (!question.isIdempotent && failure.ran !== 'no') return false;
  if (question.timeLeftMs <= question.expectedMs) return false;
  return question.remainingAllowance >= 1 && question.tokens >= 1;
}
