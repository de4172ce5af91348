import type { LimitObservation, LimitState } from '../schema/state.js';

/** Observations of the local target since the last adjustment. */
export interface LimitWindow extends LimitObservation {
  /** Calls in flight at the end of the window; at least the limit while calls are queued. */
  callsInFlight: number;
  /**
   * Calls that the target refused or that failed because it became unreachable. If they exceed a tenth of `count`, the
   * limit is lowered.
   */
  refusals: number;
}

export interface LimitOptions {
  minConcurrency: number;
  maxConcurrency: number;
  /** Ratio of own time to its baseline up to which the limit rises. */
  tolerance: number;
  /**
   * Ratio of own time to its baseline that starts a trial at once: the limit is far too high, or the target became
   * slower.
   */
  trialGrowth: number;
  /** Factor by which the limit is lowered in a trial. */
  trialFactor: number;
  /** Calls observed in a trial. With 80 exponential service times the standard error is 11%. */
  trialCalls: number;
  /** Maximum duration of a trial, for targets with few calls (ms). */
  trialMs: number;
  /** Time between trials while the limit is in use (ms). */
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

/** Ratio of own time to its baseline that is within noise. */
const NOISE_GROWTH = 1.1;
/** Factor by which the limit is lowered when the target refuses calls. */
const REFUSAL_FACTOR = 0.9;
/** Ratio of own time to its baseline below which noise cannot explain the drop: the target became faster. */
const FASTER_TARGET_RATIO = 0.8;
/** Windows with fewer finished calls may come from a stalled target. */
const MIN_WINDOW_CALLS = 4;
/** Calls required before the first baseline is kept. */
const MIN_BASELINE_CALLS = 50;
/** Ratio of own time in a trial to that before it, below which the target must have become faster. */
const TRIAL_RECOVERY_RATIO = 0.4;
/** Ratio of active calls in a trial to those before it, up to which the trial is conclusive. */
const MAX_CONCLUSIVE_RATIO = 0.88;
/** Ratio of own time to its baseline above which the own time becomes the new baseline after a single trial. */
const CLEAR_GROWTH = 2.5;
/** Maximum factor by which the baseline grows after a trial if the ratio is at most `CLEAR_GROWTH`. */
const MAX_BASELINE_STEP = 1.15;
/** Weight of the own time in a trial when it updates the baseline. */
const TRIAL_BASELINE_WEIGHT = 0.3;

/** Creates an observation without calls. */
export function createObservation(): LimitObservation {
  return { count: 0, declaredCostMs: 0, activeMs: 0, durationMs: 0 };
}

/**
 * Computes the next concurrency limit from own time: the time a call spends in the target itself, without its
 * downstream calls. The baseline (`leastCostFactor`) is the own time of uncontended calls per declared cost; it is
 * measured in trials and while the limit is not in use, so it may also rise. The limit rises while it is in use and own
 * time is near the baseline. When own time grows, the limit is lowered for a trial. If own time falls with it, calls
 * were queued inside the target, and the lower limit stays. If not, the target itself is slower: the limit is restored,
 * and the new own time becomes the baseline.
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
  const isInUse = window.callsInFlight >= 0.85 * Math.floor(state.concurrency);
  const leastCostFactor = computeBaseline(state, costFactor, window, isInUse);
  const next = { ...state, recent, costFactor, leastCostFactor, sinceTrialMs: state.sinceTrialMs + window.durationMs };
  if (!isInUse) return next;
  const growth = costFactor / leastCostFactor;
  // Above the tolerance the limit falls, possibly because of a wrong baseline, so the next trial starts sooner.
  const periodMs = growth > options.tolerance ? options.trialPeriodMs / 3 : options.trialPeriodMs;
  const isTrialDue = next.sinceTrialMs > periodMs && growth > NOISE_GROWTH;
  if (isTrialDue || growth > options.trialGrowth) return startTrial(next, options);
  if (growth <= options.tolerance) return { ...next, ...computeIncrease(next, options) };
  const concurrency = applyBounds(state.concurrency * Math.sqrt(options.tolerance / growth), options);
  return { ...next, concurrency, isSlowStart: false };
}

/** Computes the raised limit: doubled up to the hint during slow start, beyond it raised in small steps. */
function computeIncrease(state: LimitState, options: LimitOptions): Pick<LimitState, 'concurrency' | 'isSlowStart'> {
  if (state.isSlowStart && state.concurrency < state.hint) {
    return { concurrency: applyBounds(Math.min(state.hint, state.concurrency * 2), options), isSlowStart: true };
  }
  // The step shrinks towards the tolerance, since own time reflects a change of the limit only some calls later.
  const growth = state.costFactor / state.leastCostFactor;
  const step = (Math.sqrt(state.concurrency) / 2) * Math.min(1, (options.tolerance - growth) / (options.tolerance - 1));
  return { concurrency: applyBounds(state.concurrency + step, options), isSlowStart: false };
}

/**
 * Converts a window to an observation. With too few finished calls, one call in progress counts as finished, so that
 * the own time of a stalled target grows although no call finishes.
 */
function buildObservation(state: LimitState, window: LimitWindow): LimitObservation {
  const { count, declaredCostMs, activeMs, durationMs } = window;
  if (count >= MIN_WINDOW_CALLS) return { count, declaredCostMs, activeMs, durationMs };
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

/**
 * Decays earlier calls as new calls replace them. A minimum number of new calls is assumed, so that earlier calls decay
 * even while a stalled target finishes few.
 */
function decayObservation(observation: LimitObservation, newCalls: number, keptCalls: number): LimitObservation {
  const kept = keptCalls / (keptCalls + Math.max(newCalls, MIN_WINDOW_CALLS * 2));
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

function computeBaseline(state: LimitState, costFactor: number, window: LimitWindow, isInUse: boolean): number {
  // The first calls after a start are too few for a baseline.
  if (state.recent.count < MIN_BASELINE_CALLS) return costFactor;
  if (costFactor < FASTER_TARGET_RATIO * state.leastCostFactor) return costFactor;
  if (isInUse) return state.leastCostFactor;
  // Uncontended calls show the baseline directly; a slow average keeps noise from lowering it.
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
  if (computeCostFactor(latest) < TRIAL_RECOVERY_RATIO * state.costFactor)
    return cancelTrial(state, trial.concurrency, latest);
  const observed = addObservation(trial.observed, latest);
  if (!trial.isSettled) {
    // Calls admitted under the old limit still contend, so they are not counted in the trial.
    const isSettled = window.callsInFlight <= Math.ceil(state.concurrency) || observed.durationMs > options.trialMs;
    return { ...state, trial: { ...trial, isSettled, observed: isSettled ? createObservation() : observed } };
  }
  if (observed.count < options.trialCalls && observed.durationMs < options.trialMs) {
    return { ...state, trial: { ...trial, observed } };
  }
  return endTrial(state, trial.concurrency, observed, options);
}

/**
 * Ends a trial during which the target became faster: earlier observations are discarded, and the limit is restored.
 */
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
  // If calls queued inside the target, own time falls in proportion to the active calls.
  const expectedRatioIfQueued =
    computeMeanActiveCalls(observed) / Math.max(0.001, computeMeanActiveCalls(state.recent));
  if (expectedRatioIfQueued > MAX_CONCLUSIVE_RATIO) {
    // The lower limit hardly reduced the active calls, for example because calls mostly wait for downstream calls.
    const isContended = costFactor > options.tolerance * state.leastCostFactor;
    return isContended ? ended : { ...ended, concurrency: applyBounds(concurrencyBefore, options) };
  }
  const isQueued = costFactor / state.costFactor < (1 + expectedRatioIfQueued) / 2;
  if (isQueued) return { ...ended, leastCostFactor: updateBaseline(state.leastCostFactor, costFactor, options) };
  // A single trial may be wrong because of noise, so only a large growth is adopted at once, a small one in steps.
  const isClear = state.costFactor > CLEAR_GROWTH * state.leastCostFactor;
  const leastCostFactor = isClear ? costFactor : Math.min(costFactor, state.leastCostFactor * MAX_BASELINE_STEP);
  return { ...ended, leastCostFactor, concurrency: applyBounds(concurrencyBefore, options) };
}

/** Updates the baseline from the own time under the lowered limit, unless calls still queue under it. */
function updateBaseline(baseline: number, costFactor: number, options: LimitOptions): number {
  return costFactor > options.tolerance * baseline
    ? baseline
    : baseline + TRIAL_BASELINE_WEIGHT * (costFactor - baseline);
}

/** Computes the mean number of calls that the target worked on. */
function computeMeanActiveCalls({ activeMs, durationMs }: LimitObservation): number {
  return activeMs / Math.max(0.001, durationMs);
}

function applyBounds(concurrency: number, options: LimitOptions): number {
  return Math.max(options.minConcurrency, Math.min(options.maxConcurrency, concurrency));
}
