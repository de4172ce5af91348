import type { LoadReport, Profile } from '../schema/linkFrame.js';
import type { ServiceCapacity } from './admission.js';
import { computeEffectivePriority } from './excessRequests.js';
import { formatKind } from './requestKind.js';
import { createWorkEstimator } from './routeWork.js';
import type { ServiceChance } from './servedShare.js';
import { createTreeChanceEstimator } from './treeChance.js';
import type { TreeDemand } from './wasteLimit.js';

/** Reported demand and target load of one node. */
export interface NodeView {
  load: LoadReport;
  profile: Profile;
  /** Number of nodes that this one represents, since each node receives reports from only some others. */
  weight: number;
}

/** Properties of a route that its demand depends on. */
export interface DemandRoute {
  priority: number;
  parts: readonly { service: string; weight: number }[];
}

/** Time over which nodes average the rates that they report (s). */
const RATE_WINDOW_SECONDS = 0.75;
/** Share of internal calls among a route's requests above which its requests are not subject to admission control. */
const INTERNAL_SHARE = 0.5;
/** Duration assumed for a route without measured runs (ms). */
const DEFAULT_DURATION_MS = 20;
/** Lower bound of the rate of a service, which avoids a division by zero (runs per ms). */
const MIN_RATE_PER_MS = 1e-9;
/** Minimum share of the nodes running a route that must have observed a call for the call to count. */
const MIN_AGREEMENT = 0.5;

/**
 * Change of a route's demand that is sent to peers at once: both the relative and the absolute minimum must be
 * exceeded.
 */
const MIN_CHANGE_SHARE = 0.4;
const MIN_CHANGE_PER_SECOND = 4;

/**
 * True when the demand of some route has changed enough to send it before the next regular update.
 *
 * @example
 * if (hasDemandChanged(profile, lastSentProfile)) send({ type: 'profile', profile });
 */
export function hasDemandChanged(profile: Profile, sent: Profile): boolean {
  const known = new Map(sent.demand.map(({ route, perSecond }) => [route, perSecond]));
  return profile.demand.some(({ route, perSecond }) => {
    const change = Math.abs(perSecond - (known.get(route) ?? 0));
    return change > MIN_CHANGE_PER_SECOND && change > MIN_CHANGE_SHARE * perSecond;
  });
}

/**
 * Weights the nodes that sent reports so that they represent all nodes of their services.
 *
 * @param counts Number of all nodes by service, with or without a report.
 * @example
 * // Two of four nodes have reported: each of them counts twice.
 * const views = weighViews(reports, new Map([['stock', 4]]));
 */
export function weighViews(
  views: readonly Omit<NodeView, 'weight'>[],
  counts: ReadonlyMap<string, number>,
): NodeView[] {
  const reportCounts = new Map<string, number>();
  for (const { load } of views) reportCounts.set(load.service, (reportCounts.get(load.service) ?? 0) + 1);
  return views.map((view) => {
    const { service } = view.load;
    return { ...view, weight: Math.max(1, (counts.get(service) ?? 0) / (reportCounts.get(service) ?? 1)) };
  });
}

/** Computes how many slots of a target are in use at the rate that it named, at most; all of them without a limit. */
function computeUsableSlots({ limit, ratePerSecond, durationMs }: LoadReport): number {
  return ratePerSecond === undefined ? limit : Math.min(limit, (ratePerSecond * Math.max(1, durationMs)) / 1000);
}

/**
 * Computes the total capacity of the ready targets of each service.
 *
 * @example
 * const capacities = computeCapacities(weighViews(reports, counts));
 */
export function computeCapacities(views: readonly NodeView[]): ServiceCapacity[] {
  const byService = new Map<string, { slots: number; queued: number; perMs: number }>();
  for (const { load, weight } of views) {
    if (load.phase !== 'ready') continue;
    const sum = byService.get(load.service) ?? { slots: 0, queued: 0, perMs: 0 };
    const slots = computeUsableSlots(load);
    sum.slots += weight * slots;
    sum.queued += weight * load.queued;
    sum.perMs += (weight * slots) / Math.max(1, load.durationMs);
    byService.set(load.service, sum);
  }
  return [...byService].map(([service, { slots, queued, perMs }]) => {
    const rate = Math.max(perMs, MIN_RATE_PER_MS);
    return { service, slots, queueMs: queued / rate, durationMs: slots / rate };
  });
}

/**
 * Computes the client demand for each route, with the run time that one request takes at the route's services and at
 * their downstream services, and the chance that it finishes. Requests whose organisation replaced the priority of the route,
 * and excess requests, are a demand of their own. Routes that mostly get internal calls are left out.
 *
 * @param findRoute Returns the route with a name; undefined when it is no longer configured.
 * @param chances By service.
 * @example
 * const demands = computeClientDemands(views, (name) => table.byName.get(name), chances);
 */
export function computeClientDemands(
  views: readonly NodeView[],
  findRoute: (name: string) => DemandRoute | undefined,
  chances: ReadonlyMap<string, ServiceChance>,
): TreeDemand[] {
  const rates = collectRates(views);
  const variances = computeRateVariances(views);
  const priorityRates = collectPriorityRates(views);
  const calls = mergeCalls(views);
  const durations = mergeDurations(views, calls);
  const listParts = (name: string): { service: string; share: number }[] => {
    const parts = findRoute(name)?.parts ?? [];
    const total = parts.reduce((sum, { weight }) => sum + weight, 0);
    return parts.map(({ service, weight }) => ({ service, share: total > 0 ? weight / total : 0 }));
  };
  const listCalls = (service: string, route: string): readonly MergedCall[] =>
    calls.get(formatKey(service, route)) ?? [];
  const getDuration = (service: string, route: string): number =>
    durations.get(formatKey(service, route)) ?? DEFAULT_DURATION_MS;
  const internalRates = new Map<string, number>();
  for (const [route, rate] of rates) {
    for (const { service, share } of listParts(route)) {
      for (const { called, perRun } of listCalls(service, route))
        internalRates.set(called, (internalRates.get(called) ?? 0) + rate * share * perRun);
    }
  }
  const computeWork = createWorkEstimator({ listParts, listCalls, getDuration });
  const getChance = (service: string): ServiceChance | undefined => chances.get(service);
  const computeChance = createTreeChanceEstimator({ listParts, listCalls, getChance });
  return [...rates].flatMap(([route, perSecond]) => {
    const found = findRoute(route);
    if (found === undefined || (internalRates.get(route) ?? 0) > INTERNAL_SHARE * perSecond) return [];
    const variance = variances.get(route) ?? 0;
    const shared = { route, work: computeWork(route), chance: computeChance(route) };
    return splitByPriority(perSecond, priorityRates.get(route), found.priority).map(({ priority, rate }) => ({
      ...shared,
      priority,
      kind: formatKind({ name: route, priority: found.priority }, priority),
      perSecond: rate,
      variance: perSecond > 0 ? (variance * rate) / perSecond : 0,
    }));
  });
}

/** Collects the mean requests per second per node, by route, one map for each service. */
export function collectServiceRates(views: readonly NodeView[]): Map<string, number>[] {
  const byService = new Map<string, NodeView[]>();
  for (const view of views) byService.set(view.load.service, [...(byService.get(view.load.service) ?? []), view]);
  return [...byService.values()].map((serviceViews) => {
    const nodes = serviceViews.reduce((sum, { weight }) => sum + weight, 0);
    return new Map([...collectRates(serviceViews)].map(([route, rate]) => [route, rate / nodes]));
  });
}

/**
 * Computes the lower median; 0 without values. As a route's internal calls raise the rates at few services only, the
 * median over services ignores them.
 *
 * @example
 * computeLowMedian([3, 1, 9, 2]); // 2
 */
export function computeLowMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

interface MergedCall {
  called: string;
  perRun: number;
}

function formatKey(service: string, route: string): string {
  return `${service} ${route}`;
}

function collectRates(views: readonly NodeView[]): Map<string, number> {
  const rates = new Map<string, number>();
  for (const { profile, weight } of views) {
    for (const { route, perSecond } of profile.demand) rates.set(route, (rates.get(route) ?? 0) + weight * perSecond);
  }
  return rates;
}

/** Collects the rates of requests whose effective priority is not that of their route, by route and effective priority. */
function collectPriorityRates(views: readonly NodeView[]): Map<string, Map<number, number>> {
  const rates = new Map<string, Map<number, number>>();
  for (const { profile, weight } of views) {
    const { priorities = [], excess = [] } = profile;
    const effective = excess.map((rate) => ({ ...rate, priority: computeEffectivePriority(rate.priority, true) }));
    for (const { route, priority, perSecond } of [...priorities, ...effective]) {
      const byPriority = rates.get(route) ?? new Map<number, number>();
      rates.set(route, byPriority.set(priority, (byPriority.get(priority) ?? 0) + weight * perSecond));
    }
  }
  return rates;
}

/** Splits the rate of a route by priority; what is not counted by priority has that of the route. */
function splitByPriority(
  perSecond: number,
  byPriority: ReadonlyMap<number, number> | undefined,
  routePriority: number,
): { priority: number; rate: number }[] {
  const replaced = [...(byPriority ?? [])].map(([priority, rate]) => ({ priority, rate }));
  const rest = replaced.reduce((left, { rate }) => left - rate, perSecond);
  return [{ priority: routePriority, rate: Math.max(0, rest) }, ...replaced].filter(({ rate }) => rate > 0);
}

/**
 * Computes the variance of the rates of `collectRates`, by route. A node's count of requests varies like a Poisson
 * variable, and a node that represents others multiplies its deviation.
 */
function computeRateVariances(views: readonly NodeView[]): Map<string, number> {
  const variances = new Map<string, number>();
  for (const { profile, weight } of views) {
    for (const { route, perSecond } of profile.demand)
      variances.set(route, (variances.get(route) ?? 0) + (weight ** 2 * perSecond) / RATE_WINDOW_SECONDS);
  }
  return variances;
}

/**
 * Merges the calls per run at each service into the mean of the nodes that observed them. Calls that few of the nodes
 * running the route observed are treated as estimation errors.
 */
function mergeCalls(views: readonly NodeView[]): Map<string, MergedCall[]> {
  const nodeCounts = new Map<string, number>();
  const sums = new Map<string, Map<string, { sum: number; nodes: number }>>();
  for (const { load, profile } of views) {
    for (const { route } of profile.durations) {
      const key = formatKey(load.service, route);
      nodeCounts.set(key, (nodeCounts.get(key) ?? 0) + 1);
    }
    for (const { ran, called, perRun } of profile.calls) {
      const key = formatKey(load.service, ran);
      const callSums = sums.get(key) ?? new Map<string, { sum: number; nodes: number }>();
      const { sum, nodes } = callSums.get(called) ?? { sum: 0, nodes: 0 };
      sums.set(key, callSums.set(called, { sum: sum + perRun, nodes: nodes + 1 }));
    }
  }
  const merged = new Map<string, MergedCall[]>();
  for (const [key, callSums] of sums) {
    const minNodes = MIN_AGREEMENT * (nodeCounts.get(key) ?? 1);
    const calls = [...callSums].flatMap(([called, { sum, nodes }]) =>
      nodes >= minNodes ? [{ called, perRun: sum / nodes }] : [],
    );
    merged.set(key, calls);
  }
  return merged;
}

/**
 * Merges the durations (ms) of each route at each service into a mean weighted such that slots / duration is the total
 * rate of the targets. For runs that make downstream calls the lowest mean is used, which contains no waits for
 * overloaded downstream services: their overload is limited there.
 */
function mergeDurations(
  views: readonly NodeView[],
  calls: ReadonlyMap<string, readonly MergedCall[]>,
): Map<string, number> {
  const sums = new Map<string, { slots: number; perMs: number }>();
  for (const { load, profile } of views) {
    for (const { route, meanMs, leastMs } of profile.durations) {
      const key = formatKey(load.service, route);
      const sum = sums.get(key) ?? { slots: 0, perMs: 0 };
      const slots = computeUsableSlots(load);
      sum.slots += slots;
      sum.perMs += slots / Math.max(1, calls.has(key) ? leastMs : meanMs);
      sums.set(key, sum);
    }
  }
  return new Map([...sums].map(([key, { slots, perMs }]) => [key, slots / perMs]));
}
