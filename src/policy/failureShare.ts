/**
 * Smoothed share of failed results. It decays over time without results, so that a target that gets no requests because
 * of its failures is tried again.
 */
export interface FailureShare {
  share: number;
  updatedAtMs: number;
}

/** Weight of one result in the smoothed share. */
const RESULT_WEIGHT = 0.07;
/** Half-life of the share while there are no results (ms). */
const HALF_LIFE_MS = 1500;

/** Creates a share without failures. */
export function createFailureShare(): FailureShare {
  return { share: 0, updatedAtMs: 0 };
}

/**
 * Adds one result.
 *
 * @example
 * addResult(failures, outcome.type === 'failed', clock.now());
 * const isHealthy = readFailureShare(failures, clock.now()) < 0.15;
 */
export function addResult(failures: FailureShare, isFailure: boolean, nowMs: number): void {
  if (!isFailure && failures.share === 0) return;
  const share = readFailureShare(failures, nowMs);
  failures.share = share + RESULT_WEIGHT * ((isFailure ? 1 : 0) - share);
  failures.updatedAtMs = nowMs;
}

/** Returns the share at the given time, in [0, 1]. */
export function readFailureShare({ share, updatedAtMs }: FailureShare, nowMs: number): number {
  return share * 0.5 ** ((nowMs - updatedAtMs) / HALF_LIFE_MS);
}
