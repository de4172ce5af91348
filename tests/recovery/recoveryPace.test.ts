import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRecoveryPace, isRecovered, updateRecoveryPace } from '../../src/policy/recoveryPace.js';
import type { PaceSample, RecoveryPace } from '../../src/policy/recoveryPace.js';

const SLOTS = 50;
const EXPECTED_MS = 40;

function createPace(): RecoveryPace {
  return createRecoveryPace(SLOTS, 0);
}

function addSamples(pace: RecoveryPace, count: number, change: Partial<PaceSample> = {}): void {
  const sample = { isFailure: false, durationMs: EXPECTED_MS, expectedMs: EXPECTED_MS, startedAtMs: 100, nowMs: 140 };
  for (let index = 0; index < count; index++) updateRecoveryPace(pace, { ...sample, ...change });
}

describe('recovery pace', () => {
  it('should begin with a fifth of the slots, and with one request at least', () => {
    expect(createPace().limit).toEqual(10);
    expect(createRecoveryPace(3, 0).limit).toEqual(1);
  });

  // Guards against a target with good answers that is left idle.
  it('should double with each round of timely answers until the target counts as recovered', () => {
    const pace = createPace();
    let rounds = 0;
    while (!isRecovered(pace, SLOTS, 200) && rounds < 10) {
      addSamples(pace, Math.floor(pace.limit));
      rounds++;
    }
    expect(rounds).toEqual(3);
  });

  it('should accept answers of a target that takes twice as long while it warms up', () => {
    const pace = createPace();
    addSamples(pace, 10, { durationMs: 2 * EXPECTED_MS });
    expect(pace.limit).toEqual(20);
  });

  it('should not raise the limit for answers that are much slower than those of other targets', () => {
    const pace = createPace();
    addSamples(pace, 10, { durationMs: 4 * EXPECTED_MS });
    expect(pace.limit).toEqual(10);
  });

  // Guards against the failures of one round lowering the limit to its minimum at once.
  it('should halve the limit once for the failures of requests that were sent before the first of them', () => {
    const pace = createPace();
    addSamples(pace, 5, { isFailure: true });
    expect(pace.limit).toEqual(5);
    addSamples(pace, 5, { isFailure: true, startedAtMs: 150, nowMs: 170 });
    expect(pace.limit).toEqual(2.5);
  });

  it('should grow by about one request a round after a failure', () => {
    const pace = createPace();
    addSamples(pace, 1, { isFailure: true });
    addSamples(pace, 5);
    expect(pace.limit > 5.8 && pace.limit < 6).toEqual(true);
  });

  it('should never fall below one request', () => {
    const pace = createPace();
    for (let round = 1; round < 20; round++)
      addSamples(pace, 1, { isFailure: true, startedAtMs: round * 100 + 50, nowMs: round * 100 + 60 });
    expect(pace.limit).toEqual(1);
  });

  // Guards against a target that is slow for another reason being limited for good.
  it('should end some seconds after the last failure', () => {
    const pace = createPace();
    addSamples(pace, 1, { isFailure: true, startedAtMs: 3000, nowMs: 3000 });
    expect([isRecovered(pace, SLOTS, 5500), isRecovered(pace, SLOTS, 8000)]).toEqual([false, true]);
  });
});
