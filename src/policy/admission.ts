import type { RouteWork } from './routeWork.js';

/** Demand of one route of clients. */
export interface RouteDemand {
  route: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Requests of clients per second, before any is refused. */
  perSecond: number;
  work: RouteWork;
}

/** What the targets of one service can do. */
export interface ServiceCapacity {
  service: string;
  /** Requests that its targets run at once. */
  slots: number;
  /** Time that a new request waits for a slot (ms). */
  queueMs: number;
  /** Mean duration of a run (ms). */
  durationMs: number;
}

/** Correction of a service's capacity by the queue that it has. */
export interface ServiceCorrection {
  factor: number;
  /** True while requests are refused because of the service. */
  isLimiting: boolean;
}

/** Share of the slots that admitted requests may take. */
const FULL_SHARE = 0.92;
/** Share of the demand of each priority that is admitted in any case. */
const LEAST_FRACTION = 0.25;
/** Time in which a queue is to be worked off (ms). */
const DRAIN_MS = 1000;
/** Least share of the slots that admitted requests get, however long the queue. */
const LEAST_SHARE = 0.3;
/** Load, as a share of what is allowed, below which a service ends to limit. */
const SAFE_LOAD = 0.85;
/** Queue, as a share of the mean duration, that shows that the capacity is overestimated, or underestimated. */
const LONG_QUEUE = 2;
const SHORT_QUEUE = 0.6;
const LOWER_STEP = 0.98;
const RAISE_STEP = 1.04;
const LEAST_FACTOR = 0.6;
const GREATEST_FACTOR = 1.2;

/** Adjusts the correction of a service once per interval from its queue; it tells something while the service limits. */
export function adjustCorrection(known: ServiceCorrection | undefined, capacity: ServiceCapacity): ServiceCorrection {
  const { factor, isLimiting } = known ?? { factor: 1, isLimiting: false };
  if (!isLimiting) return { factor: 1 + (factor - 1) * LOWER_STEP, isLimiting };
  const { queueMs, durationMs } = capacity;
  if (queueMs > LONG_QUEUE * durationMs) return { factor: Math.max(LEAST_FACTOR, factor * LOWER_STEP), isLimiting };
  if (queueMs > SHORT_QUEUE * durationMs) return { factor, isLimiting };
  return { factor: Math.min(GREATEST_FACTOR, factor * RAISE_STEP), isLimiting };
}

/** Share of the slots that requests from now on may take, so that the queue is worked off. */
function computeAllowedShare({ factor }: ServiceCorrection, { queueMs }: ServiceCapacity): number {
  return Math.max(LEAST_SHARE, FULL_SHARE * factor - queueMs / DRAIN_MS);
}

/**
 * Computes which share of each route's requests is admitted: services in the order of their load, and at each the most
 * urgent priorities first. A request counts with the work of all its calls, so that it is refused before work is spent
 * that a service further down could not finish.
 *
 * @returns by route: the admitted share, only where it is below 1.
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
    correction.isLimiting = load > share || (correction.isLimiting && load > SAFE_LOAD * share);
    if (correction.isLimiting) limitService(admitted, capacity, share, fractions);
  }
  return fractions;
}

/** Slots that the demand takes at a service, as a share of those that it has. */
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
  const users = demands.filter(({ work, perSecond }) => perSecond > 0 && (work.get(service) ?? 0) > 0);
  const measureBusy = ({ perSecond, work }: RouteDemand): number => (perSecond * (work.get(service) ?? 0)) / 1000;
  const total = users.reduce((sum, demand) => sum + measureBusy(demand), 0);
  let free = share * slots - LEAST_FRACTION * total;
  const priorities = [...new Set(users.map(({ priority }) => priority))].sort((left, right) => left - right);
  for (const priority of priorities) {
    const routes = users.filter((demand) => demand.priority === priority);
    const wanted = (1 - LEAST_FRACTION) * routes.reduce((sum, demand) => sum + measureBusy(demand), 0);
    const granted = Math.max(0, Math.min(wanted, free));
    free -= granted;
    const fraction = wanted <= 0 ? 1 : LEAST_FRACTION + (1 - LEAST_FRACTION) * (granted / wanted);
    if (fraction >= 1) continue;
    for (const demand of routes) {
      fractions.set(demand.route, Math.max(LEAST_FRACTION, (fractions.get(demand.route) ?? 1) * fraction));
      demand.perSecond *= fraction;
    }
  }
}
