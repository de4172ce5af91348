import type { LimitState } from '../schema/state.js';

/** Calls of the local target that finished since the last adjustment. */
export interface LimitWindow {
  count: number;
  meanOwnTimeMs: number;
  minOwnTimeMs: number;
  /** Most calls in flight at once. */
  peakConcurrency: number;
  /** Calls that the target refused or that were lost with it. */
  refusals: number;
}

export interface LimitOptions {
  minConcurrency: number;
  maxConcurrency: number;
  /** Growth of own time over its least value that counts as queueing at the target. */
  tolerance: number;
  /** Least factor of one adjustment. */
  maxDecrease: number;
  /** Share by which the least own time drifts up per adjustment. */
  drift: number;
}

export const limitDefaults: LimitOptions = {
  minConcurrency: 1,
  maxConcurrency: 10_000,
  tolerance: 1.5,
  maxDecrease: 0.7,
  drift: 0.002,
};

/**
 * Computes the next concurrency limit from own time: the limit grows while calls are served as fast as when uncontended
 * and the limit is in use, and shrinks in proportion when they queue inside the target.
 */
export function adjustLimit(state: LimitState, window: LimitWindow, options: LimitOptions = limitDefaults): LimitState {
  if (window.count === 0) return state;
  const drifted = state.leastOwnTimeMs * (1 + options.drift);
  const leastOwnTimeMs = state.leastOwnTimeMs === 0 ? window.minOwnTimeMs : Math.min(drifted, window.meanOwnTimeMs);
  const ownTimeMs = window.meanOwnTimeMs;
  const gradient = Math.min(1, (options.tolerance * leastOwnTimeMs) / Math.max(ownTimeMs, 0.001));
  const isContended = gradient < 1 || window.refusals > 0;
  if (isContended) {
    const factor = Math.max(options.maxDecrease, window.refusals > 0 ? Math.min(gradient, 0.9) : gradient);
    const concurrency = Math.max(options.minConcurrency, state.concurrency * factor);
    return { concurrency, isSlowStart: false, leastOwnTimeMs, ownTimeMs };
  }
  const isInUse = window.peakConcurrency >= 0.8 * Math.floor(state.concurrency);
  const raised = state.isSlowStart ? state.concurrency * 2 : state.concurrency + Math.sqrt(state.concurrency) / 2;
  const concurrency = isInUse ? Math.min(options.maxConcurrency, raised) : state.concurrency;
  return { concurrency, isSlowStart: state.isSlowStart, leastOwnTimeMs, ownTimeMs };
}
