import { adjustCorrection, computeAdmission } from '../../policy/admission.js';
import type { ServiceCapacity } from '../../policy/admission.js';
import { computeCapacities, computeClientDemands, weighViews } from '../../policy/fleetDemand.js';
import type { NodeView } from '../../policy/fleetDemand.js';
import { listParts } from '../../policy/routeTable.js';
import type { Profile } from '../../schema/linkFrame.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';
import { readLocalLoad } from './localLoad.js';

/**
 * Writes the share of each route's requests that is admitted, computed from the demand, the calls and the capacity that
 * all reachable nodes report. Only client requests are refused; calls made by targets belong to admitted requests.
 */
export function createAdmissionController({ board, clock }: RequestContext): Controller {
  const admission = board.claim('admission', 'admissionController');
  const { section } = admission;
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
    const demands = computeClientDemands(views, (name) => {
      const route = table.byName.get(name);
      return route === undefined ? undefined : { priority: route.priority, parts: listParts(route) };
    });
    const fractions = computeAdmission(demands, capacities, section.corrections);
    reportChanges(fractions, capacities);
    section.fractions = fractions;
  };
  const reportChanges = (fractions: ReadonlyMap<string, number>, capacities: readonly ServiceCapacity[]): void => {
    for (const [route, fraction] of fractions) {
      if (section.fractions.has(route)) continue;
      const limiting = capacities.filter(({ service }) => section.corrections.get(service)?.isLimiting === true);
      const inputs = {
        route,
        fraction: Math.round(fraction * 100) / 100,
        services: limiting.map(({ service }) => service).join(' '),
        queueMs: Math.round(Math.max(0, ...limiting.map(({ queueMs }) => queueMs))),
      };
      board.post('decisions', { kind: 'admissionChanged', outcome: 'limited', inputs });
    }
    for (const route of section.fractions.keys()) {
      if (fractions.has(route)) continue;
      board.post('decisions', { kind: 'admissionChanged', outcome: 'no longer limited', inputs: { route } });
    }
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
