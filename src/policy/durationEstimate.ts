/** Smoothed duration of something (ms). */
export interface DurationEstimate {
  meanMs: number;
  count: number;
}

/** Number of recent samples over which a mean is smoothed. */
const SMOOTHING = 32;

/** Creates an estimate without samples. */
export function createDurationEstimate(): DurationEstimate {
  return { meanMs: 0, count: 0 };
}

/** Adds one sample; the first ones count as a plain mean. */
export function addDuration(estimate: DurationEstimate, durationMs: number): void {
  estimate.count = Math.min(SMOOTHING, estimate.count + 1);
  estimate.meanMs += (durationMs - estimate.meanMs) / estimate.count;
}
