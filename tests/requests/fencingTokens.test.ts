import { describe, it } from 'node:test';
import { expect } from 'earl';
import {
  advanceFencingTokens,
  createFencingTokens,
  recordAcceptedToken,
  takeFencingToken,
} from '../../src/policy/fencingTokens.js';

describe('fencing tokens', () => {
  // Guards against two writes of one token, of which the store takes the second for a repeat of the first.
  it('should rise with each write, and with a later start', () => {
    const tokens = createFencingTokens();
    expect([1000, 1000, 5000, 1000].map((startedAtMs) => takeFencingToken(tokens, startedAtMs))).toEqual([
      1000, 1001, 5000, 5001,
    ]);
  });

  // Guards against a process that never writes again, since one before it had a clock that was a year ahead.
  it('should pass any earlier token within some 30 refusals', () => {
    const tokens = createFencingTokens();
    const seen = 1_700_000_000_000 + 365 * 86_400_000;
    let refusals = 0;
    for (; takeFencingToken(tokens, 1_700_000_000_000) <= seen; refusals++) advanceFencingTokens(tokens);
    expect(refusals < 30).toEqual(true);
  });

  // Guards against tokens that run far ahead of the clock, which would fence off the next process.
  it('should rise in small steps again after an accepted write', () => {
    const tokens = createFencingTokens();
    for (let refusals = 0; refusals < 20; refusals++) advanceFencingTokens(tokens);
    recordAcceptedToken(tokens);
    const last = takeFencingToken(tokens, 0);
    advanceFencingTokens(tokens);
    expect(takeFencingToken(tokens, 0) - last).toEqual(1001);
  });
});
