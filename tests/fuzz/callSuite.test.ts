import { describe, it } from 'node:test';
import { expect } from 'earl';
import { runCallSuite, runLoadSuite } from '../../src/fuzz/callSuite.js';

describe('fuzzing of calls', () => {
  for (const seed of [1, 2, 3]) {
    it(`should find no sequence of calls and faults that violates I1 or I3 to I7 (seed ${seed})`, () => {
      expect(runCallSuite({ seed, runs: 60 }).failure).toEqual(undefined);
    });
  }

  it('should find no load in which a larger share of important than of other requests is shed (I2)', () => {
    expect(runLoadSuite({ seed: 1, runs: 2 }).failure).toEqual(undefined);
  });
});
