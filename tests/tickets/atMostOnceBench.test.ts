import { describe, it } from 'node:test';
import { expect } from 'earl';
import { measureAtMostOnce } from '../../src/bench/scenarios/atMostOnce.js';

describe('at most once under restarts, pauses, dropped frames and partitions', () => {
  for (const seed of [1, 2]) {
    it(`should run no request twice and report no request that ran as not run (seed ${seed})`, () => {
      const { doubled, falseRefusals, answered } = measureAtMostOnce({ seed, requests: 600, hasTickets: true });
      expect({ doubled, falseRefusals }).toEqual({ doubled: 0, falseRefusals: 0 });
      expect(answered).toBeGreaterThan(0);
    });
  }

  it('should measure requests that ran twice if callers resend without tickets, which shows that the measurement can fail', () => {
    expect(measureAtMostOnce({ seed: 1, requests: 600, hasTickets: false }).doubled).toBeGreaterThan(0);
  });
});
