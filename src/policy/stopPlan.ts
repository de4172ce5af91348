/** When a stopping node takes requests, and when it closes. Times are monotonic (ms). */
export interface StopPlan {
  /** Until then, clients do not know yet that the node stops, and all requests are taken. */
  readonly takeAllUntilMs: number;
  /** Open requests are broken off then, since the process is about to be killed. */
  readonly closeAtMs: number;
}

/** Time in which clients learn that the node stops (ms): by the second failed readiness probe, and they probe once a second. */
export const STOP_NOTICE_MS = 2600;
/** Part of the grace time that is reserved for closing (ms). */
const CLOSE_RESERVE_MS = 400;
/** Time after its deadline within which a request has its final answer (ms). */
const ANSWER_RESERVE_MS = 100;
/** Delay after which a refused client may ask another node (ms). */
const OTHER_NODE_DELAY_MS = 250;

/** The plan of a node that has closed: it takes nothing. */
export const closedStopPlan: StopPlan = { takeAllUntilMs: -Infinity, closeAtMs: -Infinity };

/**
 * Plans a stop that begins now.
 *
 * @example
 * createStopPlan({ nowMs: 0, graceMs: 6000 }); // { takeAllUntilMs: 2600, closeAtMs: 5600 }
 */
export function createStopPlan({ nowMs, graceMs }: { nowMs: number; graceMs: number }): StopPlan {
  return {
    takeAllUntilMs: nowMs + Math.min(STOP_NOTICE_MS, graceMs / 2),
    closeAtMs: nowMs + Math.max(0, graceMs - CLOSE_RESERVE_MS),
  };
}

/**
 * True when a stopping node takes a request that arrives now and has its final answer by `deadlineAtMs` at the latest. Once
 * clients can know that the node stops, it takes only what is certain to end before it closes.
 *
 * @example
 * isTakenWhileStopping({ takeAllUntilMs: 2600, closeAtMs: 5600 }, { nowMs: 3000, deadlineAtMs: 9000 }); // false
 */
export function isTakenWhileStopping(
  { takeAllUntilMs, closeAtMs }: StopPlan,
  { nowMs, deadlineAtMs }: { nowMs: number; deadlineAtMs: number },
): boolean {
  return nowMs < takeAllUntilMs || deadlineAtMs + ANSWER_RESERVE_MS <= closeAtMs;
}

/**
 * Computes when a client that a stopping node refused may come again (ms): soon if its data centre has other nodes, otherwise
 * once this one has closed.
 *
 * @example
 * const retryAfterMs = computeStopRetryDelay(stop, { nowMs: clock.now(), hasOtherNodes: true });
 */
export function computeStopRetryDelay(
  { closeAtMs }: StopPlan,
  { nowMs, hasOtherNodes }: { nowMs: number; hasOtherNodes: boolean },
): number {
  return hasOtherNodes ? OTHER_NODE_DELAY_MS : Math.max(OTHER_NODE_DELAY_MS, closeAtMs - nowMs);
}
