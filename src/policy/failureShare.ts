/** Smoothed share of failures that fades while there are no results, so that a target that is avoided is tried again. */
export interface FailureShare {
  share: number;
  updatedAtMs: number;
}

/** Weight of one result. */
const RESULT_WEIGHT = 0.07;
/** Time in which the share halves without results (ms). */
const HALF_LIFE_MS = 1500;

/** Creates the share of something that never failed. */
export function createFailureShare(): FailureShare {
  return { share: 0, updatedAtMs: 0 };
}

/** Adds one result. */
export function addResult(failures: FailureShare, isFailure: boolean, nowMs: number): void {
  const share = readFailureShare(failures, nowMs);
  failures.share = share + RESULT_WEIGHT * ((isFailure ? 1 : 0) - share);
  failures.updatedAtMs = nowMs;
}

/** The share now, 0 to 1. */
export function readFailureShare({ share, updatedAtMs }: FailureShare, nowMs: number): number {
  return share * 0.5 ** ((nowMs - updatedAtMs) / HALF_LIFE_MS);
}
