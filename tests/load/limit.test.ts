import { describe, it } from 'node:test';
import { expect } from 'earl';
import { adjustLimit, createObservation } from '../../src/policy/limit.js';
import type { LimitState } from '../../src/schema/state.js';

const WINDOW_MS = 100;

function createState(concurrency: number, costFactor: number): LimitState {
  const recent = { count: 80, declaredCostMs: 80, activeMs: 80 * costFactor, durationMs: 500 };
  return {
    concurrency,
    hint: concurrency,
    isSlowStart: false,
    costFactor,
    leastCostFactor: costFactor,
    meanCostMs: 1,
    sinceTrialMs: 0,
    recent: costFactor === 0 ? createObservation() : recent,
    ownTimeMs: {},
  };
}

/** Adjusts the limit of a target whose slots are all in use. The declared cost of each call is 1 ms. */
function runSaturated(state: LimitState, slots: number, ownMs: number, windows: number): LimitState {
  let next = state;
  for (let index = 0; index < windows; index++) {
    const inFlight = Math.floor(next.concurrency);
    const count = (Math.min(inFlight, slots) * WINDOW_MS) / ownMs;
    const window = { count, declaredCostMs: count, activeMs: inFlight * WINDOW_MS, durationMs: WINDOW_MS };
    next = adjustLimit(next, { ...window, callsInFlight: inFlight, refusals: 0 });
  }
  return next;
}

describe('concurrency limit', () => {
  it('should settle slightly above the number of slots, so that few calls queue inside the target', () => {
    const settled = runSaturated(createState(4, 20), 16, 20, 200);
    expect(settled.concurrency).toBeGreaterThanOrEqual(15);
    expect(settled.concurrency).toBeLessThanOrEqual(26);
  });

  it('should lower a limit far above the number of slots within a second', () => {
    const lowered = runSaturated(createState(128, 20), 16, 20, 10);
    expect(lowered.concurrency).toBeLessThanOrEqual(80);
  });

  it('should lower the limit of a stalled target within half a second, before its calls finish', () => {
    let state = createState(16, 20);
    for (let index = 0; index < 5; index++) {
      const stalled = { count: 0, declaredCostMs: 0, activeMs: 16 * WINDOW_MS, durationMs: WINDOW_MS };
      state = adjustLimit(state, { ...stalled, callsInFlight: 16, refusals: 0 });
    }
    expect(state.concurrency).toBeLessThan(16);
  });

  it('should restore the limit of a target that became slower, since fewer calls do not make it faster', () => {
    const slowed = runSaturated(createState(16, 20), 16, 200, 60);
    expect(slowed.concurrency).toBeGreaterThanOrEqual(15);
  });

  it('should not lower the limit while calls wait for slow dependencies, since own time excludes these waits', () => {
    const count = 40;
    const window = { count, declaredCostMs: count, activeMs: 20 * count, durationMs: WINDOW_MS };
    let state = createState(64, 20);
    for (let index = 0; index < 30; index++) state = adjustLimit(state, { ...window, callsInFlight: 64, refusals: 0 });
    expect(state.concurrency).toBeGreaterThanOrEqual(64);
  });

  it('should lower the limit when the target refuses calls', () => {
    const window = { ...createObservation(), count: 10, declaredCostMs: 10, activeMs: 200, durationMs: WINDOW_MS };
    const state = adjustLimit(createState(16, 20), { ...window, callsInFlight: 16, refusals: 5 });
    expect(state.concurrency).toBeLessThan(16);
  });
});
