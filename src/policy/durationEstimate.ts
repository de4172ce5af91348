/** Smoothed duration of an operation (ms). */
export interface DurationEstimate {
  meanMs: number;
  /** Lowest recent value of the mean: the duration without waits at downstream services. */
  leastMs: number;
  count: number;
}

/** Number of samples over which the mean is smoothed. */
const SMOOTHING_SAMPLES = 32;
/** Growth of the lowest mean per sample, so that it adapts to a permanent slowdown. */
const MIN_MEAN_GROWTH = 1.0005;

/** Creates an estimate without samples. */
export function createDurationEstimate(): DurationEstimate {
  return { meanMs: 0, leastMs: Infinity, count: 0 };
}

/** Adds one sample. The mean of the first samples is a plain average. */
export function addDuration(estimate: DurationEstimate, durationMs: number): void {
  estimate.count = Math.min(SMOOTHING_SAMPLES, estimate.count + 1);
  estimate.meanMs += (durationMs - estimate.meanMs) / estimate.count;
  if (estimate.count === SMOOTHING_SAMPLES)
    estimate.leastMs = Math.min(estimate.leastMs * MIN_MEAN_GROWTH, estimate.meanMs);
}
