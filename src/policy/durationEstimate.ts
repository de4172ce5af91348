/** Smoothed duration of an operation (ms). */
export interface DurationEstimate {
  meanMs: number;
  /** Lowest recent value of the mean: the duration without waits at downstream services. */
  leastMs: number;
  count: number;
  /** Number of recent samples; halved every `SAMPLE_HALF_LIFE_MS`. Use `countRecentSamples` to read it. */
  recentSamples: number;
  updatedAtMs: number;
}

/** Number of samples over which the mean is smoothed. */
const SMOOTHING_SAMPLES = 32;
/** Growth of the lowest mean per sample, so that it adapts to a permanent slowdown. */
const MIN_MEAN_GROWTH = 1.0005;
/** Half-life of a sample (ms): a mean without newer samples soon says little about the target's speed. */
const SAMPLE_HALF_LIFE_MS = 2000;

/** Creates an estimate without samples. */
export function createDurationEstimate(): DurationEstimate {
  return { meanMs: 0, leastMs: Infinity, count: 0, recentSamples: 0, updatedAtMs: 0 };
}

/**
 * Adds one sample. The mean of the first samples is a plain average; after a time without samples, the mean follows the
 * new ones faster.
 *
 * @example
 * const estimate = createDurationEstimate();
 * addDuration(estimate, 20, clock.now());
 * addDuration(estimate, 30, clock.now()); // estimate.meanMs is 25
 */
export function addDuration(estimate: DurationEstimate, durationMs: number, nowMs: number): void {
  estimate.recentSamples = Math.min(SMOOTHING_SAMPLES, countRecentSamples(estimate, nowMs) + 1);
  estimate.updatedAtMs = nowMs;
  estimate.count = Math.min(SMOOTHING_SAMPLES, estimate.count + 1);
  const smoothingSamples = Math.min(estimate.count, estimate.recentSamples);
  estimate.meanMs += (durationMs - estimate.meanMs) / smoothingSamples;
  if (estimate.count === SMOOTHING_SAMPLES)
    estimate.leastMs = Math.min(estimate.leastMs * MIN_MEAN_GROWTH, estimate.meanMs);
}

/** Returns the number of recent samples; each one counts less as it ages. */
export function countRecentSamples({ recentSamples, updatedAtMs }: DurationEstimate, nowMs: number): number {
  return recentSamples * 0.5 ** ((nowMs - updatedAtMs) / SAMPLE_HALF_LIFE_MS);
}
