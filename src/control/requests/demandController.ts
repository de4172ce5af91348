import { scheduleRepeated } from '../../core/clock.js';
import { addCallSample, estimateCalls } from '../../policy/callGraph.js';
import { addMatchSample, estimateMatchedCalls, mergeCallEstimates } from '../../policy/callMatches.js';
import type { MatchCount, MatchCounts } from '../../policy/callMatches.js';
import { splitEffectivePriority } from '../../policy/excessRequests.js';
import { collectCallers } from '../../policy/parentRun.js';
import { countRecentSamples } from '../../policy/durationEstimate.js';
import { collectServiceRates, computeLowMedian } from '../../policy/fleetDemand.js';
import type { NodeView } from '../../policy/fleetDemand.js';
import type { Profile } from '../../schema/linkFrame.js';
import type { ReadView } from '../../core/blackboard.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';

/** Interval between samples of demand and calls (ms). */
const SAMPLE_INTERVAL_MS = 250;
/** Number of samples between two estimates of the calls, which change slowly. */
const SAMPLES_PER_ESTIMATE = 8;
/** Number of samples after the start in which calls are estimated each time, so that they are known soon. */
const FIRST_SAMPLES = 24;
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
  const startedPerSecond = new Map<string, number>();
  const priorityRates = new Map<string, { route: string; priority: number; perSecond: number; count: number }>();
  const previousArrived = new Map<string, number>();
  const previousStarted = new Map<string, number>();
  const previousMatches: MatchCounts = new Map();
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
  const computeMatchIncrements = (counts: ReadView<MatchCounts>): MatchCounts => {
    const increments: MatchCounts = new Map();
    for (const [route, byCalled] of counts) {
      let previous = previousMatches.get(route);
      if (previous === undefined) previousMatches.set(route, (previous = new Map()));
      const increment = new Map<string, MatchCount>();
      increments.set(route, increment);
      for (const [called, { net, gross }] of byCalled) {
        const known = previous.get(called) ?? { net: 0, gross: 0 };
        increment.set(called, { net: net - known.net, gross: gross - known.gross });
        previous.set(called, { net, gross });
      }
    }
    return increments;
  };
  /** Updates the rates of the requests whose effective priority is not that of the route. */
  const updatePriorityRates = (arrived: ReadView<ReadonlyMap<string, ReadonlyMap<number, number>>>): void => {
    for (const [route, counts] of arrived) {
      for (const [priority, count] of counts) {
        const name = `${priority} ${route}`;
        let known = priorityRates.get(name);
        if (known === undefined) priorityRates.set(name, (known = { route, priority, perSecond: 0, count: 0 }));
        const rate = ((count - known.count) * 1000) / SAMPLE_INTERVAL_MS;
        known.perSecond += SMOOTHING_WEIGHT * (rate - known.perSecond);
        known.count = count;
      }
    }
  };
  const listPriorityRates = (options: { isExcess: boolean }): NonNullable<Profile['priorities']> =>
    [...priorityRates.values()].flatMap(({ route, priority: effective, perSecond: rate }) => {
      const { priority, isExcess } = splitEffectivePriority(effective);
      if (rate < MIN_RATE_PER_SECOND || isExcess !== options.isExcess) return [];
      return [{ route, priority, perSecond: limitDecimals(rate) }];
    });
  const updateRates = (rates: Map<string, number>, counts: ReadonlyMap<string, number>): void => {
    for (const [route, count] of counts) {
      const rate = (count * 1000) / SAMPLE_INTERVAL_MS;
      const known = rates.get(route);
      rates.set(route, known === undefined ? rate : known + SMOOTHING_WEIGHT * (rate - known));
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
    const priorities = listPriorityRates({ isExcess: false });
    const excess = listPriorityRates({ isExcess: true });
    return {
      demand: [...perSecond].flatMap(([route, rate]) =>
        rate < MIN_RATE_PER_SECOND ? [] : [{ route, perSecond: limitDecimals(rate) }],
      ),
      ...(priorities.length === 0 ? {} : { priorities }),
      ...(excess.length === 0 ? {} : { excess }),
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
    const { callEstimator, matchEstimator } = section;
    const matched = estimateMatchedCalls(matchEstimator);
    const merged = mergeCallEstimates(estimateCalls(callEstimator), matched, matchEstimator.ran);
    calls = merged.map((call) => ({ ...call, perRun: limitDecimals(call.perRun) }));
    section.callersByRoute = collectCallers(calls, { startedPerSecond, arrivedPerSecond: perSecond });
  };
  const runTick = (): void => {
    const arrived = computeIncrements(board.read('entries').arrivedByRoute, previousArrived);
    const ran = computeIncrements(board.read('runs').startedByRoute, previousStarted);
    updateRates(perSecond, arrived);
    updateRates(startedPerSecond, ran);
    updatePriorityRates(board.read('entries').arrivedByPriority);
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
    addMatchSample(section.matchEstimator, ran, computeMatchIncrements(board.read('entries').matchedCalls));
    if (samples < FIRST_SAMPLES || samples % SAMPLES_PER_ESTIMATE === 0) updateCalls();
    samples++;
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
