import { scheduleRepeated } from '../../core/clock.js';
import { addCallSample, estimateCalls } from '../../policy/callGraph.js';
import { collectServiceRates, computeLowMedian } from '../../policy/fleetDemand.js';
import type { NodeView } from '../../policy/fleetDemand.js';
import type { Profile } from '../../schema/linkFrame.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';

/** Interval of the samples of demand and calls (ms). */
const DEMAND_TICK_MS = 250;
/** Samples after which the calls are estimated anew: they change slowly. */
const ESTIMATE_TICKS = 8;
/** Weight of a new interval in the smoothed demand. */
const SMOOTHING = 0.5;
/** Routes with fewer requests are left out of the profile. */
const LEAST_PER_SECOND = 0.2;

/**
 * Writes the demand that enters here and the calls that the local target makes. Calls name no parent, so they are told from
 * requests of clients by how they vary with the runs of the local target, and by what enters at hosts of other services.
 */
export function createDemandController({ board, clock }: RequestContext): Controller {
  const demand = board.claim('demand', 'demandController');
  const { section } = demand;
  const perSecond = new Map<string, number>();
  const seenArrived = new Map<string, number>();
  const seenBegun = new Map<string, number>();
  let calls: Profile['calls'] = [];
  let ticks = 0;
  let stopTicks = (): void => undefined;

  const readChanges = (counts: ReadonlyMap<string, number>, seen: Map<string, number>): Map<string, number> => {
    const changes = new Map<string, number>();
    for (const [route, count] of counts) {
      changes.set(route, count - (seen.get(route) ?? 0));
      seen.set(route, count);
    }
    return changes;
  };
  const updateDemand = (arrived: ReadonlyMap<string, number>): void => {
    for (const [route, count] of arrived) {
      const rate = (count * 1000) / DEMAND_TICK_MS;
      const known = perSecond.get(route);
      perSecond.set(route, known === undefined ? rate : known + SMOOTHING * (rate - known));
    }
  };
  /** Requests per second at hosts of other services in the same data centre: by service, and by route. */
  const readOtherServices = (): Map<string, number>[] => {
    const { self, byHost: members } = board.read('members');
    const views: NodeView[] = [];
    for (const { host, profile, load } of board.read('links').byHost.values()) {
      if (members.get(host)?.dataCenter !== self.dataCenter || load.service === self.service) continue;
      if (profile.demand.length > 0) views.push({ load, profile: profile as Profile, weight: 1 });
    }
    return collectServiceRates(views);
  };
  const buildProfile = (): Profile => {
    const { durationByRoute } = board.read('runs');
    return {
      demand: [...perSecond].flatMap(([route, rate]) =>
        rate < LEAST_PER_SECOND ? [] : [{ route, perSecond: formatRate(rate) }],
      ),
      calls,
      durations: [...durationByRoute].map(([route, { meanMs, leastMs }]) => ({
        route,
        meanMs: formatRate(meanMs),
        leastMs: formatRate(Math.min(leastMs, meanMs)),
      })),
    };
  };
  const updateCalls = (): void => {
    calls = estimateCalls(section.learner).map((call) => ({ ...call, perRun: formatRate(call.perRun) }));
  };
  const runTick = (): void => {
    const arrived = readChanges(board.read('entries').arrived, seenArrived);
    const ran = readChanges(board.read('runs').begun, seenBegun);
    updateDemand(arrived);
    const others = readOtherServices();
    const perTick = DEMAND_TICK_MS / 1000;
    const net = [...arrived].map(([route, count]): [string, number] => [
      route,
      count - perTick * computeLowMedian(others.map((rates) => rates.get(route) ?? 0)),
    ]);
    addCallSample(section.learner, { ran, arrived: new Map(net), isClientTrafficExcluded: others.length > 0 });
    if (ticks++ % ESTIMATE_TICKS === 0) updateCalls();
    section.profile = buildProfile();
    demand.publishChange();
  };
  return {
    start: () => {
      stopTicks = scheduleRepeated(clock, DEMAND_TICK_MS, runTick);
    },
    stop: () => {
      stopTicks();
    },
  };
}

/** Rounds to one tenth, which keeps messages short. */
function formatRate(value: number): number {
  return Math.round(value * 10) / 10;
}
