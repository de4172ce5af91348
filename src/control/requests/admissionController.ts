import { adjustCorrection, computeAdmission, getKind } from '../../policy/admission.js';
import type { ServiceCapacity } from '../../policy/admission.js';
import { computeRetryShare } from '../../policy/fleetBudget.js';
import { computeCapacities, computeClientDemands, weighViews } from '../../policy/fleetDemand.js';
import type { DemandRoute, NodeView } from '../../policy/fleetDemand.js';
import {
  createOrganisationRates,
  splitAmongOrganisations,
  updateOrganisationRates,
} from '../../policy/organisationShares.js';
import type { OrganisationRates } from '../../policy/organisationShares.js';
import { listParts } from '../../policy/routeTable.js';
import { computeServiceChances } from '../../policy/servedShare.js';
import type { ServiceChance } from '../../policy/servedShare.js';
import { limitWaste } from '../../policy/wasteLimit.js';
import type { TreeDemand } from '../../policy/wasteLimit.js';
import type { Decision } from '../../schema/decision.js';
import type { Profile } from '../../schema/linkFrame.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';
import { readLocalLoad } from './localLoad.js';

/** Minimum interval between two updates of the rates of organisations (s). */
const MIN_RATE_SECONDS = 0.05;

type DecisionInputs = Decision['inputs'];

/** The limits of one interval and what they follow from. */
interface AdmissionResult {
  fractions: ReadonlyMap<string, number>;
  wasteLimits: ReadonlyMap<string, number>;
  demands: readonly TreeDemand[];
  capacities: readonly ServiceCapacity[];
  chances: ReadonlyMap<string, ServiceChance>;
}

/**
 * Writes the share of each route's requests that is admitted, computed from the demand, the calls and the capacity that
 * all reachable nodes report. Only client requests are refused; calls made by targets belong to admitted requests.
 */
export function createAdmissionController({ board, clock }: RequestContext): Controller {
  const admission = board.claim('admission', 'admissionController');
  const { section } = admission;
  const ratesByKind = new Map<string, OrganisationRates>();
  let ratesUpdatedAtMs = clock.now();
  const nodeCountByService = new Map<string, number>();
  let stopUpdates = (): void => undefined;

  const readViews = (): NodeView[] => {
    const own = { load: readLocalLoad(board, clock.now()), profile: board.read('demand').profile as Profile };
    const views = [own];
    for (const { lanes, load, profile } of board.read('links').byHost.values()) {
      if (lanes.routine.phase === 'up') views.push({ load, profile: profile as Profile });
    }
    return weighViews(views, nodeCountByService);
  };
  const updateNodeCounts = (): void => {
    const { self, byHost } = board.read('members');
    nodeCountByService.clear();
    for (const { service, target } of [self, ...byHost.values()]) {
      if (target?.phase !== 'left') nodeCountByService.set(service, (nodeCountByService.get(service) ?? 0) + 1);
    }
  };
  const updateFractions = (): void => {
    const { table } = board.read('routes');
    if (table === undefined) return;
    const views = readViews();
    const capacities = computeCapacities(views);
    for (const capacity of capacities) {
      const known = section.corrections.get(capacity.service);
      section.corrections.set(capacity.service, adjustCorrection(known, capacity));
    }
    const { retryRatio } = board.read('settings').current.bounds;
    const chances = computeServiceChances(views, computeRetryShare(retryRatio));
    const findRoute = (name: string): DemandRoute | undefined => {
      const route = table.byName.get(name);
      return route === undefined ? undefined : { priority: route.priority, parts: listParts(route) };
    };
    const demands = computeClientDemands(views, findRoute, chances);
    const wasteLimits = limitWaste(demands, section.wasteLimits);
    const remaining = demands.map((demand) => ({
      ...demand,
      perSecond: demand.perSecond * (wasteLimits.get(getKind(demand)) ?? 1),
    }));
    const roomLimits = computeAdmission(remaining, capacities, section.corrections);
    const fractions = mergeLimits(wasteLimits, roomLimits);
    reportChanges({ fractions, wasteLimits, demands, capacities, chances });
    section.fractions = fractions;
    section.organisationFractions = splitFractions(fractions);
    section.wasteLimits = wasteLimits;
    section.chances = chances;
  };
  /** Divides the admitted shares among the organisations whose requests enter here. */
  const splitFractions = (fractions: ReadonlyMap<string, number>): Map<string, ReadonlyMap<string, number>> => {
    const nowMs = clock.now();
    const seconds = Math.max(MIN_RATE_SECONDS, (nowMs - ratesUpdatedAtMs) / 1000);
    ratesUpdatedAtMs = nowMs;
    const split = new Map<string, ReadonlyMap<string, number>>();
    for (const [kind, counts] of board.read('entries').arrivedByOrganisation) {
      let rates = ratesByKind.get(kind);
      if (rates === undefined) ratesByKind.set(kind, (rates = createOrganisationRates()));
      updateOrganisationRates(rates, counts, seconds);
      const fraction = fractions.get(kind);
      if (fraction !== undefined) split.set(kind, splitAmongOrganisations(fraction, rates.perSecond));
    }
    return split;
  };
  const reportChanges = (next: AdmissionResult): void => {
    for (const [kind, fraction] of next.fractions) {
      if (section.fractions.has(kind)) continue;
      const inputs = { ...describeLimit(kind, next), fraction: limitDecimals(fraction) };
      board.post('decisions', { kind: 'admissionChanged', outcome: 'limited', inputs });
    }
    for (const kind of section.fractions.keys()) {
      if (next.fractions.has(kind)) continue;
      board.post('decisions', { kind: 'admissionChanged', outcome: 'no longer limited', inputs: { route: kind } });
    }
  };
  /** Describes why a kind of requests is limited: for lack of slots, or since the calls of most requests would fail. */
  const describeLimit = (kind: string, next: AdmissionResult): DecisionInputs => {
    const { demands, capacities, wasteLimits } = next;
    const demand = demands.find((candidate) => getKind(candidate) === kind);
    const limiting = capacities.filter(({ service }) => section.corrections.get(service)?.isLimiting === true);
    const losing = [...next.chances].filter(([, { served, succeeded }]) => served * succeeded < 1);
    const isWasted = wasteLimits.has(kind);
    const services = isWasted ? losing.map(([service]) => service) : limiting.map(({ service }) => service);
    return {
      route: kind,
      reason: isWasted ? 'calls fail' : 'no room',
      services: services.join(' '),
      queueMs: Math.round(Math.max(0, ...limiting.map(({ queueMs }) => queueMs))),
      perSecond: Math.round(demand?.perSecond ?? 0),
      chance: limitDecimals(demand?.chance.whole ?? 1),
      served: losing.map(([service, { served }]) => `${service}:${limitDecimals(served)}`).join(' '),
    };
  };
  return {
    start: () => {
      board.subscribe('members', updateNodeCounts);
      stopUpdates = board.subscribe('demand', updateFractions);
    },
    stop: () => {
      stopUpdates();
    },
  };
}

/** Combines two limits by kind; the second one applies to what the first one admits. */
function mergeLimits(first: ReadonlyMap<string, number>, second: ReadonlyMap<string, number>): Map<string, number> {
  const merged = new Map(first);
  for (const [kind, share] of second) merged.set(kind, (first.get(kind) ?? 1) * share);
  return merged;
}

/** Rounds to two decimals for log lines. */
function limitDecimals(value: number): number {
  return Math.round(value * 100) / 100;
}
