import type { FractionState } from '../schema/state.js';

/** Growth of an admitted fraction per adjustment: at least, while there is spare capacity, and at most. */
const LEAST_RAISE = 1.25;
const GREATEST_RAISE = 2;
const MIN_FRACTION = 0.01;
/** The limit allows for some queueing inside the target, so less than all of it is capacity. */
const SPARE_SHARE = 0.65;
const LEAST_CORRECTION = 0.3;
const CAPACITY_SMOOTHING = 0.07;
const CAPACITY_LOSS = 0.6;
/** A target with few slots takes some 6 calls per interval, and often 3 by chance. */
const LOSS_DEVIATIONS = 3;
/** Variance of the smoothed throughput as a share of that of a single interval, for a smoothing factor of 0.5. */
const THROUGHPUT_VARIANCE = 1 / 3;
/**
 * Time in which the queue settles at its wanted length (ms). A change of a fraction shows in the queue some 0.3 s later,
 * so a queue that is corrected faster than about twice that swings.
 */
const SETTLE_TIME_MS = 600;
const GREATEST_GAIN = 0.3;
/** Queues beyond this multiple of the wanted length come from a surge and are reduced faster. */
const SURGE_EXCESS = 2;
const SURGE_GAIN = 0.15;
const DEMAND_SMOOTHING = 0.08;
/** Arrivals so many standard deviations from the expected ones show that the demand has moved. */
const SHIFT_DEVIATIONS = 3;
const SHIFT_SMOOTHING = 0.4;
/** Fewer arrivals in an interval say little, so they move the estimate less. */
const FEW_ARRIVALS = 4;
const LEAST_DEMAND_WEIGHT = 0.1;

export interface PriorityDemand {
  /** Calls per interval that would arrive if nothing were shed. */
  demand: number;
  worth: number;
  /** Share of the capacity that this priority keeps in a surge of others, in [0, 1]. */
  guaranteedShare: number;
  /** False when calls of the same or more worth hardly wait, so that the queue is no reason to shed this priority. */
  isHeldUp?: boolean;
}

/** Surplus on guaranteed shares, as far as they leave room: what is admitted exactly at a share ends below it by chance. */
const SHARE_SURPLUS = 1.15;

/** Computes the factor on guaranteed shares that gives them their surplus without promising more than everything. */
export function computeShareFactor(shares: readonly number[]): number {
  const sum = shares.reduce((total, share) => total + share, 0);
  return sum === 0 ? 1 : Math.max(1, Math.min(SHARE_SURPLUS, 1 / sum));
}

/**
 * Allots calls per interval to priorities: guaranteed shares of the capacity first as far as there is demand, then the
 * rest by worth, the most worth first: of the capacity to priorities that are not held up, of what is allowed to others.
 * When less is allowed than was guaranteed, because the queue is too long, priorities that ask for more than their share
 * give way: they filled it.
 *
 * @returns The allotted calls per interval, in the order given.
 *
 * @example
 * splitCapacity(100, 100, [{ demand: 30, worth: 9, guaranteedShare: 0.4 }, { demand: 500, worth: 1, guaranteedShare: 0.1 }]);
 * // [30, 70]
 */
export function splitCapacity(allowed: number, capacity: number, demands: readonly PriorityDemand[]): number[] {
  const allotted = splitShares(allowed, capacity, demands);
  const byWorth = demands.map((_, index) => index);
  byWorth.sort((left, right) => (demands[right]?.worth ?? 0) - (demands[left]?.worth ?? 0));
  const isHeldUp = (index: number): boolean => demands[index]?.isHeldUp !== false;
  const notHeldUp = byWorth.filter((index) => !isHeldUp(index));
  addExtra(allotted, capacity, demands, notHeldUp);
  addExtra(allotted, allowed, demands, byWorth.filter(isHeldUp));
  return allotted;
}

function splitShares(allowed: number, capacity: number, demands: readonly PriorityDemand[]): number[] {
  const factor = computeShareFactor(demands.map(({ guaranteedShare }) => guaranteedShare));
  const guaranteed = demands.map(({ guaranteedShare }) => guaranteedShare * factor * capacity);
  const allotted = demands.map(({ demand }, index) => Math.min(demand, guaranteed[index] ?? 0));
  const isOver = demands.map(({ demand }, index) => demand > (guaranteed[index] ?? 0));
  const overSum = allotted.reduce((sum, value, index) => sum + (isOver[index] === true ? value : 0), 0);
  const missing = allotted.reduce((sum, value) => sum + value, 0) - allowed;
  if (missing <= 0 || overSum === 0) return allotted;
  const kept = Math.max(0, overSum - missing) / overSum;
  return allotted.map((value, index) => (isOver[index] === true ? value * kept : value));
}

/** Gives what is left of a total to priorities in the given order, as far as they have demand. */
function addExtra(
  allotted: number[],
  total: number,
  demands: readonly PriorityDemand[],
  order: readonly number[],
): void {
  let rest = total - allotted.reduce((sum, value) => sum + value, 0);
  for (const index of order) {
    const share = allotted[index] ?? 0;
    const extra = Math.max(0, Math.min(rest, (demands[index]?.demand ?? 0) - share));
    allotted[index] = share + extra;
    rest -= extra;
  }
}

/** What the calls at the local target say about its load. */
export interface LoadWindow {
  /** Calls per interval that the target took, over the last few intervals. */
  throughput: number;
  /** Calls per interval that it takes while it is saturated. */
  capacity: number;
  /** Calls in flight at the target, smoothed like the throughput, and their limit. */
  inFlight: number;
  limit: number;
  /** Time in which the waiting calls will have started (ms). */
  queueTimeMs: number;
  /** Queue time at which the slots are always in use and no call waits long (ms). */
  wantedQueueTimeMs: number;
}

/**
 * Computes how many calls per interval may be admitted: the capacity, corrected so that the queue settles at its wanted
 * length. Without a queue the capacity may have grown unseen; by Little's law the limit would be in use at
 * `throughput * limit / inFlight`, of which a share is admitted at once.
 */
export function computeAllowed(window: LoadWindow): number {
  const { throughput, capacity, inFlight, limit, queueTimeMs, wantedQueueTimeMs } = window;
  const excess = queueTimeMs / wantedQueueTimeMs;
  const gain = Math.min(GREATEST_GAIN, wantedQueueTimeMs / SETTLE_TIME_MS);
  const correction = 1 + gain * (1 - excess) - SURGE_GAIN * Math.max(0, excess - SURGE_EXCESS);
  const spare = queueTimeMs === 0 ? (SPARE_SHARE * throughput * limit) / Math.max(inFlight, 1) : 0;
  return Math.max(1, spare, capacity * Math.max(LEAST_CORRECTION, correction));
}

/**
 * Computes the capacity (calls per interval): a slow average while the target is saturated, since a fast one would
 * follow the changes of the admitted load and make them oscillate. A loss of much of it is followed at once.
 */
export function adjustCapacity(capacity: number, started: number, throughput: number, isSaturated: boolean): number {
  if (throughput > capacity) return throughput;
  if (!isSaturated) return capacity;
  const noise = LOSS_DEVIATIONS * Math.sqrt(capacity * THROUGHPUT_VARIANCE);
  if (throughput < CAPACITY_LOSS * capacity && capacity - throughput > noise) return throughput;
  return capacity + CAPACITY_SMOOTHING * (started - capacity);
}

/**
 * Estimates the calls per interval that would arrive if nothing were shed. Shed keys are spread evenly over [0, 1), so
 * those below a fraction that was in force all the time stand for the rest. Unlike a count of all arrivals this does not
 * depend on how much of the last change has already reached the entry nodes.
 */
export function estimateDemand(state: FractionState): number {
  const { arrivals, minRecentFraction, demand } = state;
  const measured = arrivals / minRecentFraction;
  if (demand === 0) return measured;
  const expected = demand * minRecentFraction;
  const isShift = Math.abs(arrivals - expected) > SHIFT_DEVIATIONS * Math.sqrt(Math.max(1, expected));
  const smoothing = isShift ? SHIFT_SMOOTHING : DEMAND_SMOOTHING;
  const weight = smoothing * Math.max(LEAST_DEMAND_WEIGHT, Math.min(1, Math.max(arrivals, expected) / FEW_ARRIVALS));
  return demand + weight * (measured - demand);
}

/**
 * Computes the next admitted fraction of a priority from its whole demand and what it is allotted. With spare capacity it
 * rises in any case, since a demand estimated from few arrivals may be far too high.
 */
export function adjustFraction(current: number, demand: number, allotted: number, hasSpare: boolean): number {
  const wanted = demand <= allotted ? 1 : allotted / demand;
  const floor = hasSpare ? current * LEAST_RAISE : MIN_FRACTION;
  return Math.min(1, Math.max(floor, Math.min(wanted, current * GREATEST_RAISE)));
}

/** True when the target could take more calls than it gets. */
export function hasSpareCapacity({ inFlight, limit, queueTimeMs }: LoadWindow): boolean {
  return queueTimeMs === 0 && inFlight < SPARE_SHARE * limit;
}

/** True when a request with this shed key is admitted under a fraction. */
export function isAdmitted(shedKey: number, fraction: number): boolean {
  return fraction >= 1 || shedKey < fraction;
}
