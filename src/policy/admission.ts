import { splitEvenly } from './evenShares.js';
import type { RouteWork } from './routeWork.js';

/** Client demand for one route. */
export interface RouteDemand {
  route: string;
  /** Name of the kind of requests by `formatKind`; absent for those with the priority of the route. */
  kind?: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Client requests per second, including those that will be refused. */
  perSecond: number;
  /** Variance of `perSecond`, which is estimated from the reports of some nodes over a short time. */
  variance: number;
  /** Run time that one request causes at each service, downstream calls included (ms). */
  work: RouteWork;
}

/** Capacity of all targets of one service. */
export interface ServiceCapacity {
  service: string;
  /** Maximum number of requests that its targets run concurrently. */
  slots: number;
  /** Expected wait of a new request for a slot (ms). */
  queueMs: number;
  /** Mean duration of a run (ms). */
  durationMs: number;
}

/** Correction of the estimated capacity of a service, adjusted by its queue length. */
export interface ServiceCorrection {
  factor: number;
  /** True while requests are refused because this service lacks capacity. */
  isLimiting: boolean;
  /** Expected wait at the previous adjustment (ms). */
  queueMs: number;
}

/** Maximum share of the slots that admitted requests may occupy. */
const MAX_SLOT_SHARE = 0.92;
/**
 * Share of the room that is divided evenly among the kinds of requests, so that each keeps something in a flood of others. A
 * fixed share of each demand would take all room at a multiple of the capacity, that of urgent requests included.
 */
const COMMON_SHARE = 0.1;
/** Admitted share from which a kind of requests is not limited; below 1 for rounding. */
const ALMOST_ALL = 1 - 1e-9;
/** Time within which an existing queue is drained (ms). */
const DRAIN_MS = 400;
/** Minimum share of the slots that admitted requests get, regardless of the queue length. */
const MIN_SLOT_SHARE = 0.3;
/** Load, relative to the allowed share, below which a service stops limiting; below 1 for hysteresis. */
const LIMITING_END_LOAD = 0.85;
/** Queue time in mean run durations above which the estimated capacity is considered too high. */
const LONG_QUEUE_DURATIONS = 2;
/** Queue time in mean run durations below which the estimated capacity is considered too low. */
const SHORT_QUEUE_DURATIONS = 0.6;
/**
 * Number of standard errors by which the estimated load must exceed the allowed share before a service without a queue
 * limits admission.
 */
const MIN_EXCESS_ERRORS = 2;
/** Factors on the capacity correction per interval. */
const DECREASE_FACTOR = 0.98;
const INCREASE_FACTOR = 1.04;
/** Bounds of the capacity correction. */
const MIN_FACTOR = 0.6;
const MAX_FACTOR = 1.2;

/**
 * Adjusts the capacity correction of a service once per interval. The queue length is only evaluated while the service
 * limits admission; otherwise the factor returns to 1, and `DECREASE_FACTOR` is the factor on its difference from 1. A
 * long queue that shrinks is left from before the limit and does not show that the estimated capacity is too high.
 *
 * @example
 * corrections.set(service, adjustCorrection(corrections.get(service), capacity));
 */
export function adjustCorrection(
  previous: ServiceCorrection | undefined,
  capacity: ServiceCapacity,
): ServiceCorrection {
  const { queueMs, durationMs } = capacity;
  const { factor, isLimiting, queueMs: previousQueueMs } = previous ?? { factor: 1, isLimiting: false, queueMs: 0 };
  if (!isLimiting) return { factor: 1 + (factor - 1) * DECREASE_FACTOR, isLimiting, queueMs };
  if (queueMs > LONG_QUEUE_DURATIONS * durationMs) {
    const isShrinking = queueMs < previousQueueMs;
    return { factor: isShrinking ? factor : Math.max(MIN_FACTOR, factor * DECREASE_FACTOR), isLimiting, queueMs };
  }
  if (queueMs > SHORT_QUEUE_DURATIONS * durationMs) return { factor, isLimiting, queueMs };
  return { factor: Math.min(MAX_FACTOR, factor * INCREASE_FACTOR), isLimiting, queueMs };
}

/** Computes the share of the slots that new requests may occupy while the queue is drained. */
function computeAllowedShare({ factor }: ServiceCorrection, { queueMs }: ServiceCapacity): number {
  return Math.max(MIN_SLOT_SHARE, MAX_SLOT_SHARE * factor - queueMs / DRAIN_MS);
}

/**
 * Computes the share of each route's requests to admit. Services are processed from the most to the least loaded, and
 * at each service the most urgent priorities get capacity first. A request counts with the work of all its downstream
 * calls, so it is refused at the entry rather than after work was spent that a downstream service could not finish.
 *
 * @param corrections By service; `isLimiting` is updated.
 * @returns The admitted share by kind; kinds that are admitted in full are left out.
 * @example
 * const fractions = computeAdmission(demands, computeCapacities(views), corrections);
 * const fraction = fractions.get(formatKind(route, priority)) ?? 1;
 */
export function computeAdmission(
  demands: readonly RouteDemand[],
  capacities: readonly ServiceCapacity[],
  corrections: Map<string, ServiceCorrection>,
): Map<string, number> {
  const fractions = new Map<string, number>();
  const admitted = demands.map((demand) => ({ ...demand }));
  const loads = capacities.map((capacity) => ({ capacity, load: computeLoad(admitted, capacity) }));
  loads.sort((left, right) => right.load - left.load);
  for (const { capacity } of loads) {
    const correction = corrections.get(capacity.service);
    if (correction === undefined) continue;
    const load = computeLoad(admitted, capacity);
    const share = computeAllowedShare(correction, capacity);
    correction.isLimiting = correction.isLimiting
      ? load > LIMITING_END_LOAD * share
      : isOverloaded({ demands: admitted, capacity, load, share });
    if (correction.isLimiting) limitService(admitted, capacity, share, fractions);
  }
  return fractions;
}

/**
 * True if the load exceeds the allowed share and this is more than an error of the estimate: a queue has formed, or the
 * excess is large compared with the standard error of the load.
 */
function isOverloaded(options: {
  demands: readonly RouteDemand[];
  capacity: ServiceCapacity;
  load: number;
  share: number;
}): boolean {
  const { demands, capacity, load, share } = options;
  if (load <= share) return false;
  if (capacity.queueMs > SHORT_QUEUE_DURATIONS * capacity.durationMs) return true;
  return load - MIN_EXCESS_ERRORS * computeLoadError(demands, capacity) > share;
}

/** Computes the standard error of the result of `computeLoad`. */
function computeLoadError(demands: readonly RouteDemand[], { service, slots }: ServiceCapacity): number {
  let variance = 0;
  for (const { variance: rateVariance, work } of demands) variance += rateVariance * (work.get(service) ?? 0) ** 2;
  return Math.sqrt(variance) / 1000 / Math.max(1, slots);
}

/** Returns the name of the kind of requests of a demand. */
export function getKind({ route, kind = route }: RouteDemand): string {
  return kind;
}

/** Computes the slots that the demand occupies at a service, relative to the slots it has. */
function computeLoad(demands: readonly RouteDemand[], { service, slots }: ServiceCapacity): number {
  let busyMs = 0;
  for (const { perSecond, work } of demands) busyMs += perSecond * (work.get(service) ?? 0);
  return busyMs / 1000 / Math.max(1, slots);
}

function limitService(
  demands: RouteDemand[],
  { service, slots }: ServiceCapacity,
  share: number,
  fractions: Map<string, number>,
): void {
  const computeBusySlots = ({ perSecond, work }: RouteDemand): number => (perSecond * (work.get(service) ?? 0)) / 1000;
  const affected = demands.filter((demand) => computeBusySlots(demand) > 0);
  const requested = affected.map(computeBusySlots);
  const granted = splitEvenly(COMMON_SHARE * share * slots, requested);
  let freeSlots = share * slots - computeSum(granted);
  const priorities = [...new Set(affected.map(({ priority }) => priority))].sort((left, right) => left - right);
  for (const priority of priorities) {
    const indexes = affected.flatMap((demand, index) => (demand.priority === priority ? [index] : []));
    const missing = indexes.map((index) => (requested[index] ?? 0) - (granted[index] ?? 0));
    const missingSlots = computeSum(missing);
    const part = missingSlots <= 0 ? 0 : Math.max(0, Math.min(1, freeSlots / missingSlots));
    freeSlots -= part * missingSlots;
    for (const [position, index] of indexes.entries())
      granted[index] = (granted[index] ?? 0) + part * (missing[position] ?? 0);
  }
  for (const [index, demand] of affected.entries()) {
    const fraction = (granted[index] ?? 0) / (requested[index] ?? 1);
    if (fraction >= ALMOST_ALL) continue;
    const kind = getKind(demand);
    fractions.set(kind, (fractions.get(kind) ?? 1) * fraction);
    demand.perSecond *= fraction;
  }
}

function computeSum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
