import { scheduleRepeated } from '../../core/clock.js';
import { addCallSample, estimateCalls } from '../../policy/callGraph.js';
import { countRecentSamples } from '../../policy/durationEstimate.js';
import { collectServiceRates, computeLowMedian } from '../../policy/fleetDemand.js';
import type { NodeView } from '../../policy/fleetDemand.js';
import type { Profile } from '../../schema/linkFrame.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';

/** Interval between samples of demand and calls (ms). */
const SAMPLE_INTERVAL_MS = 250;
/** Number of samples between two estimates of the calls, which change slowly. */
const SAMPLES_PER_ESTIMATE = 8;
/** Weight of a new sample in the smoothed demand. */
const SMOOTHING_WEIGHT = 0.5;
/** Routes with a lower request rate are left out of the profile. */
const MIN_RATE_PER_SECOND = 0.2;

/**
 * Writes the demand that enters at this node and the calls that the local target makes. Calls do not name the request
 * that caused them, so they are distinguished from client requests by their correlation with the runs of the local
 * target and by comparison with the demand at hosts of other services.
 */
export function createDemandController({ board, clock }: RequestContext): Controller {
  const demand = board.claim('demand', 'demandController');
  const { section } = demand;
  const perSecond = new Map<string, number>();
  const previousArrived = new Map<string, number>();
  const previousStarted = new Map<string, number>();
  let calls: Profile['calls'] = [];
  let samples = 0;
  let stopTicks = (): void => undefined;

  const computeIncrements = (
    counts: ReadonlyMap<string, number>,
    previous: Map<string, number>,
  ): Map<string, number> => {
    const increments = new Map<string, number>();
    for (const [route, count] of counts) {
      increments.set(route, count - (previous.get(route) ?? 0));
      previous.set(route, count);
    }
    return increments;
  };
  const updateDemand = (arrived: ReadonlyMap<string, number>): void => {
    for (const [route, count] of arrived) {
      const rate = (count * 1000) / SAMPLE_INTERVAL_MS;
      const known = perSecond.get(route);
      perSecond.set(route, known === undefined ? rate : known + SMOOTHING_WEIGHT * (rate - known));
    }
  };
  /** Returns one map per other service in this data centre: the mean requests per second per host, by route. */
  const readOtherServiceRates = (): Map<string, number>[] => {
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
        rate < MIN_RATE_PER_SECOND ? [] : [{ route, perSecond: limitDecimals(rate) }],
      ),
      calls,
      durations: [...durationByRoute].map(([route, estimate]) => ({
        route,
        meanMs: limitDecimals(estimate.meanMs),
        leastMs: limitDecimals(Math.min(estimate.leastMs, estimate.meanMs)),
        samples: limitDecimals(countRecentSamples(estimate, clock.now())),
      })),
    };
  };
  const updateCalls = (): void => {
    calls = estimateCalls(section.callEstimator).map((call) => ({ ...call, perRun: limitDecimals(call.perRun) }));
  };
  const runTick = (): void => {
    const arrived = computeIncrements(board.read('entries').arrivedByRoute, previousArrived);
    const ran = computeIncrements(board.read('runs').startedByRoute, previousStarted);
    updateDemand(arrived);
    const others = readOtherServiceRates();
    const sampleSeconds = SAMPLE_INTERVAL_MS / 1000;
    // Hosts of other services receive client requests like this one, but not the calls of the local target. The low
    // median is robust against services whose own targets call the same route.
    const netArrived = [...arrived].map(([route, count]): [string, number] => [
      route,
      count - sampleSeconds * computeLowMedian(others.map((rates) => rates.get(route) ?? 0)),
    ]);
    addCallSample(section.callEstimator, {
      ran,
      arrived: new Map(netArrived),
      isClientTrafficExcluded: others.length > 0,
    });
    if (samples++ % SAMPLES_PER_ESTIMATE === 0) updateCalls();
    section.profile = buildProfile();
    demand.publishChange();
  };
  return {
    start: () => {
      stopTicks = scheduleRepeated(clock, SAMPLE_INTERVAL_MS, runTick);
    },
    stop: () => {
      stopTicks();
    },
  };
}

/** Rounds to one decimal to keep messages short. */
function limitDecimals(value: number): number {
  return Math.round(value * 10) / 10;
}
