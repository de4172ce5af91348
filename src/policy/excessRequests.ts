/** What an excess request is below others of its priority; priorities of the configuration are integers. */
const EXCESS_STEP = 0.5;

/**
 * Computes the effective priority of a request, by which it is admitted and queued; 0 is the most urgent. An excess request is
 * one of many that its client sent on one connection without waiting for responses. It goes behind all others of its
 * priority and before those of the next.
 *
 * Addresses clients that send many requests without waiting for responses: they get the room that clients with one request at
 * a time leave, and are refused first when room is short. Requests of other clients keep the priority that was configured.
 *
 * @example
 * computeEffectivePriority(1, false); // 1
 * computeEffectivePriority(1, true); // 1.5
 */
export function computeEffectivePriority(priority: number, isExcess: boolean): number {
  return isExcess ? priority + EXCESS_STEP : priority;
}

/**
 * Splits an effective priority into the configured one and whether the request is an excess one, as messages contain them.
 *
 * @example
 * splitEffectivePriority(1.5); // { priority: 1, isExcess: true }
 */
export function splitEffectivePriority(effective: number): { priority: number; isExcess: boolean } {
  const priority = Math.floor(effective);
  return { priority, isExcess: effective !== priority };
}
