import { scheduleRepeated } from '../core/clock.js';
import { createObservation } from '../policy/limit.js';
import type { LimitWindow } from '../policy/limit.js';
import { serviceConfigurationDefaults } from '../schema/serviceConfiguration.js';
import type { Operation } from '../schema/serviceConfiguration.js';
import type { Sample } from '../schema/state.js';
import { computeActiveMs } from './activeTime.js';
import type { Controller, ControllerContext } from './context.js';

/** Interval between adjustments of the limit (ms). */
const ADJUST_INTERVAL_MS = 100;
/** Number of finished calls with which a window is closed at once. */
const FULL_WINDOW_CALLS = 8;
/**
 * Active time, in multiples of the mean own time, after which a window is closed although few calls finished: the
 * target stalls.
 */
const STALLED_WINDOW_OWN_TIMES = 16;
/** Time after which a window is closed, however few calls finished. */
const MAX_WINDOW_MS = 1000;
/** Slow start begins at this share of the hint, so that a host much slower than the hint is not overloaded at once. */
const SLOW_START_SHARE = 0.5;
/** Weight of one call in the mean own time of its operation. */
const OWN_TIME_SMOOTHING = 0.05;
/** Weight of one call in the estimated cost of its operation. */
const COST_SMOOTHING = 0.01;

/**
 * Cost of an operation: as declared in the configuration, and as estimated from own times and scaled to the declared
 * costs.
 */
interface CostEstimate {
  declaredMs: number;
  estimatedMs: number;
}

/** Writes the concurrency limit of the local target from the own times of its calls. */
export function createLimitController(context: ControllerContext): Controller {
  const { board, clock, policies } = context;
  const limits = board.claim('limits', 'limitController');
  const samples = board.read('samples').ring;
  const costs = new Map<string, CostEstimate>();
  let cursor = samples.end;
  let window = createWindow();
  /** Sum of the own times of the calls that finished in the window (ms). */
  let finishedOwnTimeMs = 0;
  let lastActiveMs = 0;
  let lastAtMs = clock.now();
  let stopTimer = (): void => undefined;

  const restart = (hint: number): void => {
    Object.assign(limits.section, {
      concurrency: Math.max(1, hint * SLOW_START_SHARE),
      hint,
      isSlowStart: true,
      costFactor: 0,
      leastCostFactor: 0,
      sinceTrialMs: 0,
      trial: undefined,
      recent: createObservation(),
      ownTimeMs: Object.create(null) as Record<string, number>,
    });
    costs.clear();
    window = createWindow();
    finishedOwnTimeMs = 0;
    limits.publishChange();
  };
  limits.handlePosts((post) => {
    restart(post.concurrency);
  });

  const getOperations = (): Readonly<Record<string, Operation | undefined>> => {
    const service = board.read('target').announcement?.service ?? '';
    const operations = board.read('configuration').services.get(service)?.document.operations;
    return operations ?? {};
  };
  const updateWindow = (): void => {
    const operations = getOperations();
    for (let at = Math.max(cursor, samples.start); at < samples.end; at++) {
      const sample = samples.get(at);
      if (sample?.role === 'run') addSample(sample, operations[sample.operation]?.expectedCostMs ?? 1);
    }
    cursor = samples.end;
    const nowMs = clock.now();
    const calls = board.read('calls');
    const activeMs = computeActiveMs(calls, nowMs);
    window.activeMs += activeMs - lastActiveMs;
    window.durationMs += nowMs - lastAtMs;
    const isQueueing = board.read('queue').length > 0;
    window.callsInFlight = Math.max(calls.inFlight, isQueueing ? Math.floor(limits.section.concurrency) : 0);
    lastActiveMs = activeMs;
    lastAtMs = nowMs;
  };
  /** Estimates the relative costs of operations, so that a changed mix of them does not look like a slower target. */
  const updateCost = (sample: Sample, declaredMs: number): number => {
    let cost = costs.get(sample.operation);
    if (cost === undefined) {
      cost = { declaredMs, estimatedMs: declaredMs };
      costs.set(sample.operation, cost);
    }
    const { costFactor } = limits.section;
    if (costFactor > 0) cost.estimatedMs += COST_SMOOTHING * (sample.ownTimeMs / costFactor - cost.estimatedMs);
    return cost.estimatedMs;
  };
  /**
   * Scales the estimates so that their sum equals that of the declared costs: they express only the ratios between
   * operations, while `costFactor` expresses how slow the target is.
   */
  const normalizeCosts = (): void => {
    let declaredMs = 0;
    let estimatedMs = 0;
    for (const cost of costs.values()) {
      declaredMs += cost.declaredMs;
      estimatedMs += cost.estimatedMs;
    }
    if (estimatedMs > 0) for (const cost of costs.values()) cost.estimatedMs *= declaredMs / estimatedMs;
  };
  const addSample = (sample: Sample, declaredCostMs: number): void => {
    if (sample.result === 'failed' && sample.ran !== 'yes') {
      if (sample.failureKind !== 'deadlineExceeded') window.refusals++;
      return;
    }
    window.count++;
    finishedOwnTimeMs += sample.ownTimeMs;
    window.declaredCostMs += updateCost(sample, declaredCostMs);
    const { ownTimeMs } = limits.section;
    const known = ownTimeMs[sample.operation] ?? sample.ownTimeMs;
    ownTimeMs[sample.operation] = known + OWN_TIME_SMOOTHING * (sample.ownTimeMs - known);
  };
  const isWindowFull = (): boolean => {
    const { costFactor, meanCostMs } = limits.section;
    if (window.count >= FULL_WINDOW_CALLS || window.durationMs >= MAX_WINDOW_MS) return true;
    return costFactor > 0 && window.activeMs > STALLED_WINDOW_OWN_TIMES * costFactor * meanCostMs;
  };
  const adjust = (): void => {
    updateWindow();
    if (!isWindowFull()) return;
    const { section } = limits;
    const before = Math.floor(section.concurrency);
    normalizeCosts();
    if (window.count > 0) section.meanCostMs = window.declaredCostMs / window.count;
    // Calls that wait long for downstream calls are active in earlier windows than the one in which they finish. When
    // few calls were started, the active time of this window alone would yield an own time near 0, which would become
    // the baseline and lower the limit.
    window.activeMs = Math.max(window.activeMs, finishedOwnTimeMs);
    Object.assign(section, policies.adjustLimit(section, window));
    window = createWindow();
    finishedOwnTimeMs = 0;
    const after = Math.floor(section.concurrency);
    if (after === before) return;
    limits.publishChange();
    const ownTimeMs = section.costFactor * section.meanCostMs;
    board.post('events', {
      kind: 'limitChanged',
      data: { before, after, ownTimeMs, isTrial: section.trial !== undefined },
    });
  };
  return {
    start: () => {
      restart(serviceConfigurationDefaults.concurrencyHint);
      stopTimer = scheduleRepeated(clock, ADJUST_INTERVAL_MS, adjust);
    },
    stop: () => {
      stopTimer();
    },
  };
}

function createWindow(): LimitWindow {
  return { ...createObservation(), callsInFlight: 0, refusals: 0 };
}
