import type { LimitObservation, LimitState } from '../schema/state.js';

/** What the local target did since the last adjustment. */
export interface LimitWindow extends LimitObservation {
  /** Most calls in flight at once. */
  peakConcurrency: number;
  /** Calls that the target refused or that were lost with it. */
  refusals: number;
}

export interface LimitOptions {
  minConcurrency: number;
  maxConcurrency: number;
  /** Growth of own time over its least value up to which the limit rises. */
  tolerance: number;
  /** Growth of own time that starts a trial at once: the limit is far too high, or the target became slower. */
  trialGrowth: number;
  /** Factor of the limit in a trial. */
  trialFactor: number;
  /** Calls that a trial observes. With 80 exponential service times the standard error is 11%. */
  trialCalls: number;
  /** Longest trial, for targets with few calls (ms). */
  trialMs: number;
  /** Pause between trials while the limit is in use (ms). */
  trialPeriodMs: number;
  /** Number of calls over which own time is smoothed. */
  smoothingCalls: number;
}

export const limitDefaults: LimitOptions = {
  minConcurrency: 1,
  maxConcurrency: 10_000,
  tolerance: 1.35,
  trialGrowth: 1.8,
  trialFactor: 0.65,
  trialCalls: 80,
  trialMs: 1000,
  trialPeriodMs: 6000,
  smoothingCalls: 80,
};

/** Growth of own time within noise of its least value. */
const NOISE = 1.1;
const REFUSAL_FACTOR = 0.9;
/** Fall of own time below its least value that is more than noise. */
const REAL_FALL = 0.8;
/** Windows with fewer finished calls may be those of a stalled target. */
const FEW_CALLS = 4;
/** Calls before the first least own time is kept. */
const FIRST_CALLS = 50;
/** Fall of own time in a trial that only a target that became faster explains. */
const RECOVERED_FALL = 0.4;
/** A trial that lowered the calls inside the target by less shows nothing but noise. */
const CONCLUSIVE_FALL = 0.88;
const CLEAR_GROWTH = 2.5;
const LEAST_STEP = 1.15;
const TRIAL_WEIGHT = 0.3;

/** An observation of nothing. */
export function createObservation(): LimitObservation {
  return { count: 0, declaredCostMs: 0, activeMs: 0, durationMs: 0 };
}

/**
 * Computes the next concurrency limit from own time. The limit rises while calls are served as fast as when uncontended
 * and the limit is in use. When own time grows, the limit is lowered as a trial: if own time falls with it, calls queued
 * inside the target and the lower limit stays; if not, the target itself is slower, and the limit is restored with the
 * new own time as the least one.
 *
 * @example
 * state = adjustLimit(state, window);
 */
export function adjustLimit(state: LimitState, window: LimitWindow, options: LimitOptions = limitDefaults): LimitState {
  if (window.refusals > 0 && window.refusals * 10 > window.count) {
    const concurrency = applyBounds(state.concurrency * REFUSAL_FACTOR, options);
    return { ...state, trial: undefined, isSlowStart: false, concurrency };
  }
  if (window.declaredCostMs <= 0 && window.activeMs <= 0) return state;
  const observed = buildObservation(state, window);
  if (state.trial !== undefined) return updateTrial(state, state.trial, window, observed, options);
  const recent = addObservation(decayObservation(state.recent, observed.count, options.smoothingCalls), observed);
  const costFactor = computeCostFactor(recent);
  const isInUse = window.peakConcurrency >= 0.85 * Math.floor(state.concurrency);
  const leastCostFactor = computeLeast(state, costFactor, window, isInUse);
  const next = { ...state, recent, costFactor, leastCostFactor, sinceTrialMs: state.sinceTrialMs + window.durationMs };
  if (!isInUse) return next;
  const growth = costFactor / leastCostFactor;
  // A limit that keeps falling rests on a least own time that may be wrong, so that is tried sooner.
  const periodMs = growth > options.tolerance ? options.trialPeriodMs / 3 : options.trialPeriodMs;
  const isTrialDue = next.sinceTrialMs > periodMs && growth > NOISE;
  if (isTrialDue || growth > options.trialGrowth) return startTrial(next, options);
  if (growth <= options.tolerance) return { ...next, ...computeRaise(next, options) };
  const concurrency = applyBounds(state.concurrency * Math.sqrt(options.tolerance / growth), options);
  return { ...next, concurrency, isSlowStart: false };
}

/** Doubles up to the published hint after a start; beyond it the limit feels its way. */
function computeRaise(state: LimitState, options: LimitOptions): Pick<LimitState, 'concurrency' | 'isSlowStart'> {
  if (state.isSlowStart && state.concurrency < state.hint) {
    return { concurrency: applyBounds(Math.min(state.hint, state.concurrency * 2), options), isSlowStart: true };
  }
  // The rise fades towards the tolerance, since own time is known only some calls later.
  const growth = state.costFactor / state.leastCostFactor;
  const step = (Math.sqrt(state.concurrency) / 2) * Math.min(1, (options.tolerance - growth) / (options.tolerance - 1));
  return { concurrency: applyBounds(state.concurrency + step, options), isSlowStart: false };
}

/** A window as an observation; with too few finished calls the one that is overdue counts as finished now. */
function buildObservation(state: LimitState, window: LimitWindow): LimitObservation {
  const { count, declaredCostMs, activeMs, durationMs } = window;
  if (count >= FEW_CALLS) return { count, declaredCostMs, activeMs, durationMs };
  const meanCostMs = count > 0 ? declaredCostMs / count : state.meanCostMs;
  return { count: count + 1, declaredCostMs: declaredCostMs + meanCostMs, activeMs, durationMs };
}

function addObservation(left: LimitObservation, right: LimitObservation): LimitObservation {
  return {
    count: left.count + right.count,
    declaredCostMs: left.declaredCostMs + right.declaredCostMs,
    activeMs: left.activeMs + right.activeMs,
    durationMs: left.durationMs + right.durationMs,
  };
}

/** Forgets as much of earlier calls as new ones replace. A stalled target finishes few, so a few more are assumed. */
function decayObservation(observation: LimitObservation, newCalls: number, keptCalls: number): LimitObservation {
  const kept = keptCalls / (keptCalls + Math.max(newCalls, FEW_CALLS * 2));
  return {
    count: observation.count * kept,
    declaredCostMs: observation.declaredCostMs * kept,
    activeMs: observation.activeMs * kept,
    durationMs: observation.durationMs * kept,
  };
}

function computeCostFactor({ activeMs, declaredCostMs }: LimitObservation): number {
  return activeMs / Math.max(0.001, declaredCostMs);
}

function computeLeast(state: LimitState, costFactor: number, window: LimitWindow, isInUse: boolean): number {
  // The first calls after a start are too few to take their own time for the least one.
  if (state.recent.count < FIRST_CALLS) return costFactor;
  if (costFactor < REAL_FALL * state.leastCostFactor) return costFactor;
  if (isInUse) return state.leastCostFactor;
  // Uncontended calls show the own time itself; a slow average keeps noise from pulling the least value down.
  const weight = window.count / (window.count + 300);
  return state.leastCostFactor + weight * (costFactor - state.leastCostFactor);
}

function startTrial(state: LimitState, options: LimitOptions): LimitState {
  const growth = state.costFactor / state.leastCostFactor;
  const factor = Math.max(0.5, Math.min(options.trialFactor, options.tolerance / growth));
  const trial = { concurrency: state.concurrency, observed: createObservation(), isSettled: false };
  const concurrency = applyBounds(state.concurrency * factor, options);
  return { ...state, trial, isSlowStart: false, concurrency, sinceTrialMs: 0 };
}

function updateTrial(
  state: LimitState,
  trial: NonNullable<LimitState['trial']>,
  window: LimitWindow,
  latest: LimitObservation,
  options: LimitOptions,
): LimitState {
  if (computeCostFactor(latest) < RECOVERED_FALL * state.costFactor)
    return cancelTrial(state, trial.concurrency, latest);
  const observed = addObservation(trial.observed, latest);
  if (!trial.isSettled) {
    // Calls admitted under the old limit still contend; they say nothing about the lower one.
    const isSettled = window.peakConcurrency <= Math.ceil(state.concurrency) || observed.durationMs > options.trialMs;
    return { ...state, trial: { ...trial, isSettled, observed: isSettled ? createObservation() : observed } };
  }
  if (observed.count < options.trialCalls && observed.durationMs < options.trialMs) {
    return { ...state, trial: { ...trial, observed } };
  }
  return endTrial(state, trial.concurrency, observed, options);
}

/** The target became faster in the middle of a trial: what was seen before no longer counts. */
function cancelTrial(state: LimitState, concurrency: number, latest: LimitObservation): LimitState {
  const costFactor = computeCostFactor(latest);
  const leastCostFactor = Math.min(state.leastCostFactor, costFactor);
  return { ...state, trial: undefined, recent: latest, costFactor, leastCostFactor, concurrency, sinceTrialMs: 0 };
}

function endTrial(
  state: LimitState,
  concurrencyBefore: number,
  observed: LimitObservation,
  options: LimitOptions,
): LimitState {
  const costFactor = computeCostFactor(observed);
  const ended = { ...state, trial: undefined, recent: observed, costFactor, sinceTrialMs: 0 };
  // If calls queued inside the target, own time fell as much as the number of calls there.
  const expectedIfQueued = computeActive(observed) / Math.max(0.001, computeActive(state.recent));
  if (expectedIfQueued > CONCLUSIVE_FALL) {
    // The limit did not bind inside the target, as where calls mostly wait for onward calls.
    const isContended = costFactor > options.tolerance * state.leastCostFactor;
    return isContended ? ended : { ...ended, concurrency: applyBounds(concurrencyBefore, options) };
  }
  const isQueued = costFactor / state.costFactor < (1 + expectedIfQueued) / 2;
  if (isQueued)
    return { ...ended, leastCostFactor: computeLeastAfterTrial(state.leastCostFactor, costFactor, options) };
  // Trials err by noise now and then. Only a large growth is believed at once; small ones are followed in steps.
  const isClear = state.costFactor > CLEAR_GROWTH * state.leastCostFactor;
  const leastCostFactor = isClear ? costFactor : Math.min(costFactor, state.leastCostFactor * LEAST_STEP);
  return { ...ended, leastCostFactor, concurrency: applyBounds(concurrencyBefore, options) };
}

/** The lowered limit shows the uncontended own time, unless calls still queue under it. */
function computeLeastAfterTrial(least: number, costFactor: number, options: LimitOptions): number {
  return costFactor > options.tolerance * least ? least : least + TRIAL_WEIGHT * (costFactor - least);
}

/** Mean number of calls that the target worked on. */
function computeActive({ activeMs, durationMs }: LimitObservation): number {
  return activeMs / Math.max(0.001, durationMs);
}

function applyBounds(concurrency: number, options: LimitOptions): number {
  return Math.max(options.minConcurrency, Math.min(options.maxConcurrency, concurrency));
}
