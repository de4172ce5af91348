import type { WorkInput } from './routeWork.js';
import type { ServiceChance } from './servedShare.js';

interface WeakestService {
  service: string;
  /** Share of its requests that succeed. */
  share: number;
}

/** What is expected of one request of a route and all calls that it causes. */
export interface TreeChance {
  /** Chance that it is run at all. */
  served: number;
  /** Chance that it is run and that all calls of the run succeed. */
  whole: number;
  /** The same, and its own service does not fail it. Only services without calls count as failing by themselves. */
  succeeded: number;
  /** Runs of a complete tree. */
  runs: number;
  /** The service of the tree that loses the greatest share of its requests; undefined if none loses any. */
  weakest: WeakestService | undefined;
}

/** What is known of the calls of each route and of the services that serve them. */
export interface TreeChanceInput extends Pick<WorkInput, 'listParts' | 'listCalls'> {
  /** Returns the chances of a request at a service; undefined if nothing is known of it. */
  getChance: (service: string) => ServiceChance | undefined;
}

/**
 * Estimated calls per run below which a route counts as making no such calls: estimates up to 0.2 are seen for routes that
 * share a service with one that makes the calls, and would limit requests that do not need the short service.
 */
const MIN_CALLS_PER_RUN = 0.5;
const CERTAIN: ServiceChance = { served: 1, succeeded: 1 };
const UNKNOWN_TREE: TreeChance = { ...CERTAIN, whole: 1, runs: 1, weakest: undefined };

/**
 * Creates a function that computes the chance that a request of a route finishes with all its calls. A request that needs
 * four calls to a service that serves half of them finishes once in 16 times, and most of its runs are wasted. The result
 * of each route is cached; calls back to a route that is being computed are left out.
 *
 * @example
 * const computeChance = createTreeChanceEstimator(input);
 * computeChance('lookup').whole; // 0.06
 */
export function createTreeChanceEstimator(input: TreeChanceInput): (route: string) => TreeChance {
  const cache = new Map<string, TreeChance>();
  const ancestors = new Set<string>();

  const computePart = (service: string, route: string): TreeChance => {
    const { served, succeeded } = input.getChance(service) ?? CERTAIN;
    const calls = input.listCalls(service, route);
    let callsChance = 1;
    let runs = 1;
    const share = calls.length > 0 ? served : served * succeeded;
    let weakest = share < 1 ? { service, share } : undefined;
    for (const { called, perRun } of calls) {
      if (ancestors.has(called) || perRun < MIN_CALLS_PER_RUN) continue;
      const call = computeChance(called);
      callsChance *= computeCallsChance(call.succeeded, perRun);
      runs += perRun * call.runs;
      weakest = chooseWeaker(weakest, call.weakest);
    }
    const whole = served * callsChance;
    return { served, whole, succeeded: calls.length > 0 ? whole : whole * succeeded, runs, weakest };
  };
  const computeChance = (route: string): TreeChance => {
    const cached = cache.get(route);
    if (cached !== undefined) return cached;
    const parts = input.listParts(route);
    const sum: TreeChance = { served: 0, whole: 0, succeeded: 0, runs: 0, weakest: undefined };
    ancestors.add(route);
    for (const { service, share } of parts) {
      const part = computePart(service, route);
      sum.served += share * part.served;
      sum.whole += share * part.whole;
      sum.succeeded += share * part.succeeded;
      sum.runs += share * part.runs;
      sum.weakest = chooseWeaker(sum.weakest, part.weakest);
    }
    ancestors.delete(route);
    const chance = parts.length === 0 ? UNKNOWN_TREE : sum;
    cache.set(route, chance);
    return chance;
  };
  return computeChance;
}

/** Computes the chance that all calls to one route succeed; a part of a call is made by that part of the runs. */
function computeCallsChance(chance: number, perRun: number): number {
  const certain = Math.floor(perRun);
  return chance ** certain * (1 - (perRun - certain) * (1 - chance));
}

function chooseWeaker(left: WeakestService | undefined, right: WeakestService | undefined): WeakestService | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return right.share < left.share ? right : left;
}
