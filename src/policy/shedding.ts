import type { FractionState } from '../schema/state.js';

/** Minimum growth factor of an admitted fraction per adjustment while there is spare capacity. */
const MIN_INCREASE = 1.25;
/** Maximum growth factor of an admitted fraction per adjustment. */
const MAX_INCREASE = 2;
/** Minimum admitted fraction, without which no arrivals would be left to estimate the demand from. */
const MIN_FRACTION = 0.01;
/** Share of the limit below which the target has spare capacity; the rest allows for queueing inside the target. */
const SPARE_SHARE = 0.65;
/** Minimum factor on the capacity, however long the queue. */
const MIN_CORRECTION = 0.3;
/** Weight of one interval in the smoothed capacity. */
const CAPACITY_SMOOTHING = 0.07;
/** Share of the capacity below which the throughput shows that the capacity dropped, unless chance explains it. */
const CAPACITY_DROP_RATIO = 0.6;
/**
 * Standard deviations that a drop must exceed. A target with few slots, for example, starts 6 calls per interval on
 * average, but often only 3 by chance.
 */
const DROP_DEVIATIONS = 3;
/** Variance of the smoothed throughput relative to that of a single interval, for a smoothing factor of 0.5. */
const THROUGHPUT_VARIANCE = 1 / 3;
/**
 * Time within which the queue settles at its desired length (ms). A change of a fraction affects the queue about 0.3 s
 * later, so a settling time below about twice that makes the queue oscillate.
 */
const SETTLE_TIME_MS = 600;
/** Maximum gain of the queue length controller. */
const MAX_GAIN = 0.3;
/** Queues beyond this multiple of the desired length are caused by a surge and are reduced faster. */
const SURGE_QUEUE_RATIO = 2;
/** Additional gain for the part of a queue beyond `SURGE_QUEUE_RATIO`. */
const SURGE_GAIN = 0.15;
/** Weight of one interval in the smoothed demand. */
const DEMAND_SMOOTHING = 0.08;
/** Standard deviations from the expected arrivals beyond which the demand has shifted. */
const SHIFT_DEVIATIONS = 3;
/** Weight of one interval in the smoothed demand after a shift. */
const SHIFT_SMOOTHING = 0.4;
/** Arrivals per interval below which an interval gets less weight, since few arrivals are mostly noise. */
const FULL_WEIGHT_ARRIVALS = 4;
/** Minimum factor on the weight of an interval with few arrivals. */
const MIN_DEMAND_WEIGHT = 0.1;

/** Demand of one priority at the local target. */
export interface PriorityDemand {
  /** Calls per interval that would arrive if nothing were shed. */
  demand: number;
  worth: number;
  /** Share of the capacity reserved for this priority during a surge of others, in [0, 1]. */
  guaranteedShare: number;
  /**
   * True (default) if calls of the same or higher worth wait. Otherwise the queue is no reason to shed this priority.
   */
  isDelayed?: boolean;
}

/**
 * Maximum factor on guaranteed shares. They are raised slightly, since random variation would otherwise leave the mean
 * throughput of a priority below its share.
 */
const MAX_SHARE_FACTOR = 1.15;

/** Computes the factor on guaranteed shares: `MAX_SHARE_FACTOR`, or less if the shares would exceed the capacity. */
export function computeShareFactor(shares: readonly number[]): number {
  const sum = shares.reduce((total, share) => total + share, 0);
  return sum === 0 ? 1 : Math.max(1, Math.min(MAX_SHARE_FACTOR, 1 / sum));
}

/**
 * Allocates calls per interval to priorities. Guaranteed shares of the capacity are allocated first, up to the demand.
 * The rest is allocated by descending worth: up to the capacity to priorities that are not delayed, up to the allowed
 * calls to the others. When fewer calls are allowed than guaranteed because the queue is too long, only priorities
 * whose demand exceeds their share are reduced, since they caused the queue.
 *
 * @returns The allocated calls per interval, in the order of `demands`.
 *
 * @example
 * allocateCapacity(100, 100, [{ demand: 30, worth: 9, guaranteedShare: 0.4 }, { demand: 500, worth: 1, guaranteedShare: 0.1 }]);
 * // [30, 70]
 */
export function allocateCapacity(allowed: number, capacity: number, demands: readonly PriorityDemand[]): number[] {
  const allocated = allocateShares(allowed, capacity, demands);
  const byWorth = demands.map((_, index) => index);
  byWorth.sort((left, right) => (demands[right]?.worth ?? 0) - (demands[left]?.worth ?? 0));
  const isDelayed = (index: number): boolean => demands[index]?.isDelayed !== false;
  const notDelayed = byWorth.filter((index) => !isDelayed(index));
  allocateRemainder(allocated, capacity, demands, notDelayed);
  allocateRemainder(allocated, allowed, demands, byWorth.filter(isDelayed));
  return allocated;
}

function allocateShares(allowed: number, capacity: number, demands: readonly PriorityDemand[]): number[] {
  const factor = computeShareFactor(demands.map(({ guaranteedShare }) => guaranteedShare));
  const guaranteed = demands.map(({ guaranteedShare }) => guaranteedShare * factor * capacity);
  const allocated = demands.map(({ demand }, index) => Math.min(demand, guaranteed[index] ?? 0));
  const isOverShare = demands.map(({ demand }, index) => demand > (guaranteed[index] ?? 0));
  const overShareSum = allocated.reduce((sum, value, index) => sum + (isOverShare[index] === true ? value : 0), 0);
  const excessCalls = allocated.reduce((sum, value) => sum + value, 0) - allowed;
  if (excessCalls <= 0 || overShareSum === 0) return allocated;
  const kept = Math.max(0, overShareSum - excessCalls) / overShareSum;
  return allocated.map((value, index) => (isOverShare[index] === true ? value * kept : value));
}

/** Allocates the remainder of a total to priorities in the given order, up to their demand. */
function allocateRemainder(
  allocated: number[],
  total: number,
  demands: readonly PriorityDemand[],
  order: readonly number[],
): void {
  let rest = total - allocated.reduce((sum, value) => sum + value, 0);
  for (const index of order) {
    const share = allocated[index] ?? 0;
    const extra = Math.max(0, Math.min(rest, (demands[index]?.demand ?? 0) - share));
    allocated[index] = share + extra;
    rest -= extra;
  }
}

/** Load of the local target, measured from its calls. */
export interface LoadWindow {
  /** Calls started per interval, smoothed over the last few intervals. */
  throughput: number;
  /** Calls per interval that the target can start while it is saturated. */
  capacity: number;
  /** Calls in flight at the target, smoothed like the throughput. */
  inFlight: number;
  /** Limit of the calls in flight. */
  limit: number;
  /** Time until all waiting calls have started (ms). */
  queueTimeMs: number;
  /** Queue time that keeps all slots in use without long waits (ms). */
  desiredQueueTimeMs: number;
}

/**
 * Computes how many calls per interval may be admitted: the capacity, corrected so that the queue settles at its
 * desired length. Without a queue the capacity may have grown unnoticed; by Little's law the limit would be reached at
 * `throughput * limit / inFlight` calls per interval, and `SPARE_SHARE` of them are admitted at once.
 */
export function computeAllowedCalls(window: LoadWindow): number {
  const { throughput, capacity, inFlight, limit, queueTimeMs, desiredQueueTimeMs } = window;
  const queueRatio = queueTimeMs / desiredQueueTimeMs;
  const gain = Math.min(MAX_GAIN, desiredQueueTimeMs / SETTLE_TIME_MS);
  const correction = 1 + gain * (1 - queueRatio) - SURGE_GAIN * Math.max(0, queueRatio - SURGE_QUEUE_RATIO);
  const spare = queueTimeMs === 0 ? (SPARE_SHARE * throughput * limit) / Math.max(inFlight, 1) : 0;
  return Math.max(1, spare, capacity * Math.max(MIN_CORRECTION, correction));
}

/**
 * Updates the estimated capacity (calls per interval). While the target is saturated it is a slow average, since a fast
 * one would follow changes of the admitted load and amplify them into oscillations. A large drop is applied at once.
 *
 * @param startedCalls Calls started in the latest interval; `throughput` is the same, smoothed over a few intervals.
 */
export function adjustCapacity(
  capacity: number,
  startedCalls: number,
  throughput: number,
  isSaturated: boolean,
): number {
  if (throughput > capacity) return throughput;
  if (!isSaturated) return capacity;
  const noise = DROP_DEVIATIONS * Math.sqrt(capacity * THROUGHPUT_VARIANCE);
  if (throughput < CAPACITY_DROP_RATIO * capacity && capacity - throughput > noise) return throughput;
  return capacity + CAPACITY_SMOOTHING * (startedCalls - capacity);
}

/**
 * Estimates the calls per interval that would arrive without shedding. Shed keys are uniformly distributed over [0, 1),
 * so the demand is the number of arrivals with a shed key below the smallest fraction recently in force
 * (`minRecentFraction`), divided by that fraction. Unlike a count of all arrivals, this does not depend on which entry
 * nodes have already received the last change.
 */
export function estimateDemand(state: FractionState): number {
  const { arrivals, minRecentFraction, demand } = state;
  const measured = arrivals / minRecentFraction;
  if (demand === 0) return measured;
  const expected = demand * minRecentFraction;
  const isShift = Math.abs(arrivals - expected) > SHIFT_DEVIATIONS * Math.sqrt(Math.max(1, expected));
  const smoothing = isShift ? SHIFT_SMOOTHING : DEMAND_SMOOTHING;
  const weight =
    smoothing * Math.max(MIN_DEMAND_WEIGHT, Math.min(1, Math.max(arrivals, expected) / FULL_WEIGHT_ARRIVALS));
  return demand + weight * (measured - demand);
}

/**
 * Computes the next admitted fraction of a priority from its demand and its allocated calls. With spare capacity it
 * always rises, since a demand estimated from few arrivals may be far too high.
 */
export function adjustFraction(current: number, demand: number, allocated: number, hasSpare: boolean): number {
  const desired = demand <= allocated ? 1 : allocated / demand;
  const floor = hasSpare ? current * MIN_INCREASE : MIN_FRACTION;
  return Math.min(1, Math.max(floor, Math.min(desired, current * MAX_INCREASE)));
}

/** True when the target could take more calls than it gets. */
export function hasSpareCapacity({ inFlight, limit, queueTimeMs }: LoadWindow): boolean {
  return queueTimeMs === 0 && inFlight < SPARE_SHARE * limit;
}

/** True when a request with this shed key is admitted under a fraction. */
export function isAdmitted(shedKey: number, fraction: number): boolean {
  return fraction >= 1 || shedKey < fraction;
}
