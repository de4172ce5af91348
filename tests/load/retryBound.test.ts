import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ownDecisions } from '../../src/bench/load/baselines.js';
import { measureRetryBound } from '../../src/bench/scenarios/retryBound.js';
import { isRetryGranted } from '../../src/policy/retry.js';
import type { RetryInput } from '../../src/policy/retry.js';
import { createCallFailure } from '../../src/schema/failure.js';

const question: RetryInput = {
  failure: createCallFailure('targetUnreachable', 'the target accepts no connection'),
  isIdempotent: true,
  attempts: 1,
  remainingAllowance: 1,
  timeLeftMs: 100,
  expectedMs: 10,
  tokens: 1,
  hasOtherTarget: true,
};

describe('retry rules', () => {
  it('should retry where the failure, the time, the allowance and the budget permit', () => {
    expect(isRetryGranted(question)).toEqual(true);
    expect(isRetryGranted({ ...question, remainingAllowance: 0 })).toEqual(false);
    expect(isRetryGranted({ ...question, tokens: 0.9 })).toEqual(false);
    expect(isRetryGranted({ ...question, timeLeftMs: 10 })).toEqual(false);
    expect(isRetryGranted({ ...question, hasOtherTarget: false })).toEqual(false);
  });

  it('should not retry what was shed, since a retry meets the same fraction', () => {
    expect(isRetryGranted({ ...question, failure: createCallFailure('shed', 'shed') })).toEqual(false);
  });

  it('should not run a non-idempotent call again that may have run', () => {
    const failure = createCallFailure('connectionLost', 'lost');
    expect(isRetryGranted({ ...question, failure, isIdempotent: false })).toEqual(false);
    expect(isRetryGranted({ ...question, failure })).toEqual(true);
  });

  it('should not multiply retries over 21 hops when the deepest service is down', () => {
    const outcome = measureRetryBound(ownDecisions, { seed: 1, durationMs: 3000 });
    expect(outcome.requests).toBeGreaterThanOrEqual(5);
    expect(outcome.retriesOverAllowance).toBeLessThanOrEqual(0);
  });
});
