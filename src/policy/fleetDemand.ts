import type { LoadReport, Profile } from '../schema/linkFrame.js';
import type { RouteDemand, ServiceCapacity } from './admission.js';
import { createWorkEstimator } from './routeWork.js';

/** What one node tells of its demand and its target. */
export interface NodeView {
  load: LoadReport;
  profile: Profile;
  /** How many nodes like this one it stands for, since each node hears only some others. */
  weight: number;
}

/** A route as far as its demand is concerned. */
export interface DemandRoute {
  priority: number;
  parts: readonly { service: string; weight: number }[];
}

/** Share of a route's requests that are calls of targets, from which on none of them is refused at the entry. */
const INNER_SHARE = 0.5;
/** Duration assumed for a run that was not seen yet (ms). */
const UNKNOWN_DURATION_MS = 20;
const NEGLIGIBLE = 1e-9;
/** Share of the nodes that run a route that must have seen its calls. */
const LEAST_AGREEMENT = 0.5;

/** Change of a route's demand that peers are told at once: both as a share and in requests per second. */
const CHANGED_SHARE = 0.4;
const CHANGED_PER_SECOND = 4;

/** True when the demand of some route differs enough to be told before the next regular time. */
export function hasDemandChanged(profile: Profile, sent: Profile): boolean {
  const known = new Map(sent.demand.map(({ route, perSecond }) => [route, perSecond]));
  return profile.demand.some(({ route, perSecond }) => {
    const change = Math.abs(perSecond - (known.get(route) ?? 0));
    return change > CHANGED_PER_SECOND && change > CHANGED_SHARE * perSecond;
  });
}

/**
 * Lets the nodes that are heard stand for all nodes of their services.
 *
 * @param counts By service: all nodes, heard or not.
 */
export function weighViews(
  views: readonly Omit<NodeView, 'weight'>[],
  counts: ReadonlyMap<string, number>,
): NodeView[] {
  const heard = new Map<string, number>();
  for (const { load } of views) heard.set(load.service, (heard.get(load.service) ?? 0) + 1);
  return views.map((view) => {
    const { service } = view.load;
    return { ...view, weight: Math.max(1, (counts.get(service) ?? 0) / (heard.get(service) ?? 1)) };
  });
}

/** Sums the targets of each service. */
export function computeCapacities(views: readonly NodeView[]): ServiceCapacity[] {
  const byService = new Map<string, { slots: number; queued: number; perMs: number }>();
  for (const { load, weight } of views) {
    if (load.phase !== 'ready') continue;
    const sum = byService.get(load.service) ?? { slots: 0, queued: 0, perMs: 0 };
    sum.slots += weight * load.limit;
    sum.queued += weight * load.queued;
    sum.perMs += (weight * load.limit) / Math.max(1, load.durationMs);
    byService.set(load.service, sum);
  }
  return [...byService].map(([service, { slots, queued, perMs }]) => {
    const rate = Math.max(perMs, NEGLIGIBLE);
    return { service, slots, queueMs: queued / rate, durationMs: slots / rate };
  });
}

/**
 * Computes the demand of clients for each route, with the run time that one request takes at each service below it.
 *
 * @param findRoute The route of a name; undefined when it is no longer configured.
 */
export function computeClientDemands(
  views: readonly NodeView[],
  findRoute: (name: string) => DemandRoute | undefined,
): RouteDemand[] {
  const rates = collectRates(views);
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
    durations.get(formatKey(service, route)) ?? UNKNOWN_DURATION_MS;
  const inner = new Map<string, number>();
  for (const [route, rate] of rates) {
    for (const { service, share } of listParts(route)) {
      for (const { called, perRun } of listCalls(service, route))
        inner.set(called, (inner.get(called) ?? 0) + rate * share * perRun);
    }
  }
  const computeWork = createWorkEstimator({ listParts, listCalls, getDuration });
  return [...rates].flatMap(([route, perSecond]) => {
    const found = findRoute(route);
    if (found === undefined || (inner.get(route) ?? 0) > INNER_SHARE * perSecond) return [];
    return [{ route, priority: found.priority, perSecond, work: computeWork(route) }];
  });
}

/** Mean requests per second and node of each service, by route. */
export function collectServiceRates(views: readonly NodeView[]): Map<string, number>[] {
  const byService = new Map<string, NodeView[]>();
  for (const view of views) byService.set(view.load.service, [...(byService.get(view.load.service) ?? []), view]);
  return [...byService.values()].map((ofService) => {
    const nodes = ofService.reduce((sum, { weight }) => sum + weight, 0);
    return new Map([...collectRates(ofService)].map(([route, rate]) => [route, rate / nodes]));
  });
}

/** The middle value, the lower one of two; 0 of none. A route's calls raise the rates of few services, so it leaves them out. */
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

/**
 * Calls per run at each service, as the mean of the nodes that saw some; calls that only a few of the nodes that run the
 * route saw are taken as a mistake.
 */
function mergeCalls(views: readonly NodeView[]): Map<string, MergedCall[]> {
  const running = new Map<string, number>();
  const sums = new Map<string, Map<string, { sum: number; nodes: number }>>();
  for (const { load, profile } of views) {
    for (const { route } of profile.durations) {
      const key = formatKey(load.service, route);
      running.set(key, (running.get(key) ?? 0) + 1);
    }
    for (const { ran, called, perRun } of profile.calls) {
      const key = formatKey(load.service, ran);
      const ofRun = sums.get(key) ?? new Map<string, { sum: number; nodes: number }>();
      const { sum, nodes } = ofRun.get(called) ?? { sum: 0, nodes: 0 };
      sums.set(key, ofRun.set(called, { sum: sum + perRun, nodes: nodes + 1 }));
    }
  }
  const merged = new Map<string, MergedCall[]>();
  for (const [key, ofRun] of sums) {
    const least = LEAST_AGREEMENT * (running.get(key) ?? 1);
    const calls = [...ofRun].flatMap(([called, { sum, nodes }]) =>
      nodes >= least ? [{ called, perRun: sum / nodes }] : [],
    );
    merged.set(key, calls);
  }
  return merged;
}

/**
 * Mean durations (ms) at each service, such that its slots over them give the rate at which its targets work. Runs that
 * make calls are taken as long as they are when no call waits: what waits further down is limited there.
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
      sum.slots += load.limit;
      sum.perMs += load.limit / Math.max(1, calls.has(key) ? leastMs : meanMs);
      sums.set(key, sum);
    }
  }
  return new Map([...sums].map(([key, { slots, perMs }]) => [key, slots / perMs]));
}
