import { getKind } from './admission.js';
import type { RouteDemand } from './admission.js';
import type { TreeChance } from './treeChance.js';

/** Client demand for one kind of requests, with the chance that they finish. */
export interface TreeDemand extends RouteDemand {
  chance: TreeChance;
}

/** Share of the runs that may be wasted while a service loses requests. */
const MAX_WASTED_SHARE = 0.1;
/**
 * Chance below which requests are limited. Losses at random are not fewer when less is admitted, so callers whose requests
 * often finish would be refused for nothing.
 */
const MAX_LIMITED_CHANCE = 0.2;
/** The same for requests that are limited already, so that they are not admitted and limited by turns. */
const MAX_KEPT_CHANCE = 0.5;
/**
 * Share of the requests of a kind that is admitted however small their chance, so that a service that serves again is
 * noticed. A target needs some 25 results to show it; of 800 trees a second, this share gives four targets as many within a
 * second.
 */
const PROBE_SHARE = 0.03;
/** The same where requests without other calls reach that service anyway and show it, so that probes waste less. */
const MIN_SHARE = 0.005;
/** Rate of such requests above which no others are needed (per second). */
const MIN_DIRECT_RATE = 20;
/** Share from which a limited kind grows again. */
const FIRST_SHARE = 0.125;
/** Growth of a limited share per interval. */
const MAX_GROWTH = 2;

/**
 * Computes the share of each kind of requests to admit so that at most `MAX_WASTED_SHARE` of the runs belong to requests
 * that hardly ever finish. It answers a load in which a service rejects or fails a share of the calls of running requests.
 * The kinds that are mostly lost get what the others leave of the allowed waste, the most urgent first. A rejected request
 * did not run and wastes nothing, so requests without calls are not limited.
 *
 * @param previous The shares of the previous interval: shares may fall at once and at most double per interval.
 * @returns The admitted share by kind; kinds that are admitted in full are left out.
 * @example
 * wasteLimits = limitWaste(computeClientDemands(views, findRoute, chances), wasteLimits);
 */
export function limitWaste(demands: readonly TreeDemand[], previous: ReadonlyMap<string, number>): Map<string, number> {
  const affected = demands.filter(({ chance, perSecond }) => chance.whole < 1 && perSecond > 0);
  affected.sort((left, right) => left.priority - right.priority || right.chance.whole - left.chance.whole);
  const directRates = collectDirectRates(affected);
  const getExcess = (demand: TreeDemand): number =>
    computeExcessWaste(demand, previous.has(getKind(demand)) ? MAX_KEPT_CHANCE : MAX_LIMITED_CHANCE);
  const getMinShare = ({ chance: { weakest } }: TreeDemand): number =>
    (directRates.get(weakest?.service ?? '') ?? 0) >= MIN_DIRECT_RATE ? MIN_SHARE : PROBE_SHARE;
  // Negative excess is what a kind leaves of the allowed waste; the probes of all kinds come first.
  let allowance = 0;
  for (const demand of affected) {
    const excess = getExcess(demand);
    allowance -= excess > 0 ? getMinShare(demand) * excess : excess;
  }
  const shares = new Map<string, number>();
  const limitKind = (demand: TreeDemand, affordable: number): number => {
    const kind = getKind(demand);
    const known = previous.get(kind);
    const share = known === undefined ? affordable : Math.min(affordable, Math.max(FIRST_SHARE, known * MAX_GROWTH));
    if (share < 1) shares.set(kind, share);
    return share;
  };
  for (const demand of affected) {
    const excess = getExcess(demand);
    const minShare = getMinShare(demand);
    const affordable = excess <= 0 ? 1 : Math.min(1, minShare + Math.max(0, allowance) / excess);
    const share = limitKind(demand, affordable);
    if (excess > 0) allowance -= (share - minShare) * excess;
  }
  for (const demand of demands) if (!affected.includes(demand)) limitKind(demand, 1);
  return shares;
}

/** Collects the rates of the requests without calls to each service that loses requests (per second). */
function collectDirectRates(demands: readonly TreeDemand[]): Map<string, number> {
  const rates = new Map<string, number>();
  for (const { perSecond, chance } of demands) {
    const { served, whole, weakest } = chance;
    if (whole < served || weakest === undefined) continue;
    rates.set(weakest.service, (rates.get(weakest.service) ?? 0) + perSecond);
  }
  return rates;
}

/**
 * Computes the wasted runs per second beyond the allowed share, if all requests are admitted; negative if there are less, and
 * not above 0 for requests with a chance from `maxChance` on.
 */
function computeExcessWaste({ perSecond, chance: { served, whole, runs } }: TreeDemand, maxChance: number): number {
  const wasted = (served - whole) * runs;
  const excess = perSecond * (wasted - MAX_WASTED_SHARE * served * runs);
  return whole >= maxChance * served ? Math.min(0, excess) : excess;
}
