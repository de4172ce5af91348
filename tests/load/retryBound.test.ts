import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ownPolicies } from '../../src/bench/load/variants.js';
import { measureRetryBound } from '../../src/bench/scenarios/retryBound.js';
import { isRetryGranted } from '../../src/policy/retry.js';
import type { RetryInput } from '../../src/policy/retry.js';
import { createCallFailure } from '../../src/schema/failure.js';

const input: RetryInput = {
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
  it('should retry only when the deadline, the allowance, the budget and the number of targets permit', () => {
    expect(isRetryGranted(input)).toEqual(true);
    expect(isRetryGranted({ ...input, remainingAllowance: 0 })).toEqual(false);
    expect(isRetryGranted({ ...input, tokens: 0.9 })).toEqual(false);
    expect(isRetryGranted({ ...input, timeLeftMs: 10 })).toEqual(false);
    expect(isRetryGranted({ ...input, hasOtherTarget: false })).toEqual(false);
  });

  it('should not retry a shed call, since the same admitted fraction applies to the retry', () => {
    expect(isRetryGranted({ ...input, failure: createCallFailure('shed', 'shed') })).toEqual(false);
  });

  it('should not retry a non-idempotent call that may have run', () => {
    const failure = createCallFailure('connectionLost', 'lost');
    expect(isRetryGranted({ ...input, failure, isIdempotent: false })).toEqual(false);
    expect(isRetryGranted({ ...input, failure })).toEqual(true);
  });

  it('should not multiply retries over 21 hops when the deepest service is down', () => {
    const outcome = measureRetryBound(ownPolicies, { seed: 1, durationMs: 3000 });
    expect(outcome.requests).toBeGreaterThanOrEqual(5);
    expect(outcome.retriesOverAllowance).toBeLessThanOrEqual(0);
  });
});
