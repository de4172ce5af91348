/** What the choice among waiting priorities depends on. */
export interface WaitingClass {
  priority: string;
  worth: number;
  /** Calls that the priority may still start out of its guaranteed share. */
  credit: number;
  headArrivedAtMs: number;
}

/** Most starts that a guaranteed share saves up, so that an idle priority cannot seize the target for long later. */
const MAX_CREDIT = 8;

/**
 * Chooses the priority that starts next: one with an unused guaranteed share before the others, then by worth.
 *
 * @param classes Priorities with waiting calls.
 */
export function chooseNextPriority<Entry extends WaitingClass>(classes: readonly Entry[]): Entry | undefined {
  let best: Entry | undefined;
  for (const entry of classes) {
    if (best === undefined || isBefore(entry, best)) best = entry;
  }
  return best;
}

function isBefore(left: WaitingClass, right: WaitingClass): boolean {
  const hasLeftCredit = left.credit >= 1;
  if (hasLeftCredit !== right.credit >= 1) return hasLeftCredit;
  return left.worth > right.worth;
}

/** Computes the credit of a priority after a call started; `isOwn` when it was one of this priority. */
export function computeCredit(credit: number, guaranteedShare: number, isOwn: boolean): number {
  return Math.max(0, Math.min(MAX_CREDIT, credit + guaranteedShare) - (isOwn ? 1 : 0));
}

/** Least bound, so that short bursts are served at targets with short calls (ms). */
const LEAST_BOUND_MS = 50;
const BOUND_IN_OWN_TIMES = 2;

/** Computes how long a call may wait before it is refused as too late to be useful (ms). */
export function computeQueueTimeBound(ownTimeMs: number): number {
  return Math.max(LEAST_BOUND_MS, BOUND_IN_OWN_TIMES * ownTimeMs);
}

/** True when a call cannot be expected to end before its deadline. */
export function isDeadlineUnreachable(timeLeftMs: number, expectedMs: number): boolean {
  return timeLeftMs < expectedMs;
}
