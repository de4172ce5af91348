/** State of one priority with waiting calls. */
export interface WaitingPriority {
  priority: string;
  worth: number;
  /** Calls that the priority may still start from its guaranteed share. */
  credit: number;
  /** Arrival of the oldest waiting call (ms), for policies that serve calls in order of arrival. */
  headArrivedAtMs: number;
}

/** Maximum accumulated credit, so that a priority cannot monopolize the target after an idle period. */
const MAX_CREDIT = 8;

/**
 * Chooses the priority whose call starts next: priorities with credit from their guaranteed share first, then by worth.
 *
 * @param candidates The priorities with waiting calls.
 */
export function chooseNextPriority<Candidate extends WaitingPriority>(
  candidates: readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined;
  for (const candidate of candidates) {
    if (best === undefined || hasPrecedence(candidate, best)) best = candidate;
  }
  return best;
}

function hasPrecedence(left: WaitingPriority, right: WaitingPriority): boolean {
  const hasLeftCredit = left.credit >= 1;
  if (hasLeftCredit !== right.credit >= 1) return hasLeftCredit;
  return left.worth > right.worth;
}

/**
 * Computes the credit of a priority after a call of any priority has started; `isOwn` if the call has this priority.
 */
export function computeCredit(credit: number, guaranteedShare: number, isOwn: boolean): number {
  return Math.max(0, Math.min(MAX_CREDIT, credit + guaranteedShare) - (isOwn ? 1 : 0));
}

/** Minimum bound, so that targets with short calls can serve short bursts (ms). */
const MIN_QUEUE_TIME_BOUND_MS = 50;
/** Queue time bound in multiples of own time. */
const QUEUE_TIME_BOUND_FACTOR = 2;

/** Computes the maximum time that a call may wait before it is refused as too late (ms). */
export function computeQueueTimeBound(ownTimeMs: number): number {
  return Math.max(MIN_QUEUE_TIME_BOUND_MS, QUEUE_TIME_BOUND_FACTOR * ownTimeMs);
}

/** True when a call is not expected to finish before its deadline. */
export function isDeadlineUnreachable(timeLeftMs: number, expectedMs: number): boolean {
  return timeLeftMs < expectedMs;
}
