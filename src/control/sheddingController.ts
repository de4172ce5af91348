import { scheduleRepeated } from '../core/clock.js';
import {
  adjustCapacity,
  computeAllowedCalls,
  estimateDemand,
  hasSpareCapacity,
  allocateCapacity,
} from '../policy/shedding.js';
import type { FractionState } from '../schema/state.js';
import type { Controller, ControllerContext } from './context.js';

/** Interval between adjustments of the fractions (ms). */
const ADJUST_INTERVAL_MS = 100;
/** Maximum number of adjustments until a changed fraction takes effect on the calls of all entry nodes. */
const MAX_LAG_INTERVALS = 4;
/** Weight of one interval in the smoothed throughput and number of calls in flight. */
const THROUGHPUT_SMOOTHING = 0.5;
/** Desired queue time as a share of its bound. */
const DESIRED_QUEUE_SHARE = 0.3;
/** Weight of one reply in a downstream fraction: replies come from different targets of a service, which differ. */
const REPLY_SMOOTHING = 0.3;
/** Time after which a downstream fraction is raised if no reply reported it again. */
const DOWNSTREAM_DECAY_MS = 500;
/** Factor by which such a fraction is raised per interval. */
const RECOVERY_FACTOR = 1.25;
/** Minimum relative change of a fraction that is recorded as an event. */
const MIN_EVENT_CHANGE = 0.1;
/** Demand, as a share of the capacity, up to which a queue counts as a random burst; both are estimates. */
const SAFE_DEMAND = 0.7;

/** Writes the admitted fractions: of the local target, from its demand, and of called operations, from replies. */
export function createSheddingController(context: ControllerContext): Controller {
  const { board, clock, policies } = context;
  const shedding = board.claim('shedding', 'sheddingController');
  const { local, downstream } = shedding.section;
  const histories = new Map<string, number[]>();
  const published = new Map<string, number>();
  let lastStartedCount = 0;
  let throughput = 0;
  let inFlight = 0;
  let capacity = 0;
  let stopTimer = (): void => undefined;

  const addArrival = (priority: string, worth: number, shedKey: number): void => {
    let state = local.get(priority);
    if (state === undefined) {
      state = { fraction: 1, minRecentFraction: 1, maxRecentFraction: 1, arrivals: 0, demand: 0, worth };
      local.set(priority, state);
    }
    if (shedKey < state.minRecentFraction) state.arrivals++;
  };
  shedding.handlePosts((post) => {
    if (post.type === 'arrival') {
      addArrival(post.priority, post.worth, post.shedKey);
      return;
    }
    const entry = downstream.get(post.key);
    if (entry === undefined) {
      if (post.fraction < 1) downstream.set(post.key, { fraction: post.fraction, receivedAtMs: clock.now() });
      return;
    }
    // The older the stored value, the higher the weight of the new one.
    const elapsedPeriods = (clock.now() - entry.receivedAtMs) / DOWNSTREAM_DECAY_MS;
    const weight = Math.min(1, Math.max(REPLY_SMOOTHING, elapsedPeriods));
    entry.fraction += weight * (post.fraction - entry.fraction);
    entry.receivedAtMs = clock.now();
  });

  const getShare = (priority: string): number => {
    const service = board.read('target').announcement?.service ?? '';
    const priorities = board.read('configuration').services.get(service)?.document.priorities;
    return priorities?.find(({ name }) => name === priority)?.guaranteedShare ?? 0;
  };
  const updateThroughput = (): void => {
    const { started, inFlight: inFlightNow } = board.read('calls');
    inFlight += THROUGHPUT_SMOOTHING * (inFlightNow - inFlight);
    throughput += THROUGHPUT_SMOOTHING * (started - lastStartedCount - throughput);
    const isSaturated = board.read('queue').length > 0;
    capacity = adjustCapacity(capacity, started - lastStartedCount, throughput, isSaturated);
    lastStartedCount = started;
  };
  /** Estimated time until the queued calls of at least this worth have started (ms). */
  const computeQueueTimeMs = (minWorth: number): number => {
    let length = 0;
    for (const entry of board.read('queue').nonEmpty) if (entry.worth >= minWorth) length += entry.length;
    return (length / Math.max(0.1, throughput, capacity)) * ADJUST_INTERVAL_MS;
  };
  const computeQueueTimes = (): { queueTimeMs: number; desiredQueueTimeMs: number } => {
    const { costFactor, meanCostMs } = board.read('limits');
    return {
      queueTimeMs: computeQueueTimeMs(-Infinity),
      desiredQueueTimeMs: DESIRED_QUEUE_SHARE * policies.computeQueueTimeBound(costFactor * meanCostMs),
    };
  };
  /** Age of the oldest queued call (ms). Shows a standing queue even if the throughput is unknown, as after a start. */
  const computeOldestWaitMs = (): number => {
    let arrivedAtMs = clock.now();
    for (const { headArrivedAtMs } of board.read('queue').nonEmpty)
      arrivedAtMs = Math.min(arrivedAtMs, headArrivedAtMs);
    return clock.now() - arrivedAtMs;
  };
  // Calls whose demand is well below the capacity queue only briefly, in random bursts, so shedding them would waste
  // capacity.
  const isDelayed = (worth: number, desiredQueueTimeMs: number): boolean => {
    let demand = 0;
    for (const state of local.values()) if (state.worth >= worth) demand += state.demand;
    return demand > SAFE_DEMAND * capacity || computeQueueTimeMs(worth) > desiredQueueTimeMs / DESIRED_QUEUE_SHARE;
  };
  const adjustLocal = (): void => {
    updateThroughput();
    const { queueTimeMs, desiredQueueTimeMs } = computeQueueTimes();
    const limit = board.read('limits').concurrency;
    const entries = [...local];
    for (const [, state] of entries) {
      state.demand = estimateDemand(state);
      state.arrivals = 0;
    }
    const isShedding =
      (queueTimeMs > desiredQueueTimeMs && computeOldestWaitMs() > desiredQueueTimeMs) ||
      entries.some(([, { fraction }]) => fraction < 1);
    if (!isShedding) return;
    const demands = entries.map(([priority, state]) => ({
      demand: state.demand,
      worth: state.worth,
      guaranteedShare: getShare(priority),
      isDelayed: isDelayed(state.worth, desiredQueueTimeMs),
    }));
    const load = { throughput, capacity, inFlight, limit, queueTimeMs, desiredQueueTimeMs };
    const hasSpare = hasSpareCapacity(load);
    const allocated = allocateCapacity(computeAllowedCalls(load), capacity, demands);
    for (const [index, [priority, state]] of entries.entries()) {
      state.fraction = policies.adjustFraction(state.fraction, state.demand, allocated[index] ?? 0, hasSpare);
      updateHistory(priority, state);
      recordChange(priority, state.fraction);
    }
  };
  const updateHistory = (priority: string, state: FractionState): void => {
    const history = histories.get(priority) ?? [];
    histories.set(priority, history);
    history.push(state.fraction);
    if (history.length > MAX_LAG_INTERVALS) history.shift();
    state.minRecentFraction = Math.min(...history);
    state.maxRecentFraction = Math.max(...history);
  };
  const recordChange = (priority: string, fraction: number): void => {
    const before = published.get(priority) ?? 1;
    const isEnd = fraction === 1 && before < 1;
    if (!isEnd && Math.abs(fraction - before) < MIN_EVENT_CHANGE * before) return;
    published.set(priority, fraction);
    board.post('events', { kind: 'sheddingChanged', priority, data: { before, after: fraction } });
  };
  const decayDownstream = (): void => {
    const staleBeforeMs = clock.now() - DOWNSTREAM_DECAY_MS;
    for (const [key, entry] of downstream) {
      if (entry.receivedAtMs <= staleBeforeMs) entry.fraction = Math.min(1, entry.fraction * RECOVERY_FACTOR);
      if (entry.fraction > 0.995) downstream.delete(key);
    }
  };
  return {
    start: () => {
      stopTimer = scheduleRepeated(clock, ADJUST_INTERVAL_MS, () => {
        adjustLocal();
        decayDownstream();
      });
    },
    stop: () => {
      stopTimer();
    },
  };
}
