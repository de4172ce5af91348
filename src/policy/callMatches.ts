import type { CallEstimate } from './callGraph.js';
import { MAX_EXCESS_MS, MAX_SHORTFALL_MS } from './parentRun.js';
import type { RunUnderWay } from './parentRun.js';

/** Requests that entered with the time left of a run, less those expected to match by chance. */
export interface MatchCount {
  net: number;
  /** Sum of the absolute weights, which is the variance of `net` if all matches are by chance. */
  gross: number;
}

/** Counts by route of the runs and route of the requests. */
export type MatchCounts = Map<string, Map<string, MatchCount>>;

/** Sums over recent intervals. */
export interface CallMatchEstimator {
  readonly matches: MatchCounts;
  /** Runs started, by route. */
  readonly ran: Map<string, number>;
}

/** Distance of the two windows in which matches by chance are counted (ms). */
const CONTROL_DISTANCE_MS = 20;
/**
 * Weights of the windows of older and of younger runs. There are no younger ones beside a run that has just started, or a
 * request of a client with the full time limit, so the older ones count for that part of the window that is left: 6 of 8 ms.
 */
const OLDER_WEIGHT = -0.75;
const YOUNGER_WEIGHT = -0.25;
/** Factor by which the sums decay per interval. */
const DECAY_FACTOR = 0.97;
/** Number of matches from which they count. */
const MIN_MATCHES = 10;
/** Number of standard errors by which matches must exceed what chance explains. */
const MIN_STANDARD_ERRORS = 3;
/** Estimates below this number of calls per run are treated as noise. */
const MIN_CALLS_PER_RUN = 0.1;
/** Share of the calls estimated otherwise from which matches replace that estimate. */
const MIN_MATCHED_SHARE = 0.6;
/** Ratio of both estimates within which the total of the other one holds, since chance matches add noise to this one. */
const MAX_TOTAL_RATIO = 1.35;

/**
 * Counts the runs under way that a request matches by its time left. As calls often carry the time that their run has
 * left, this shows within a second which routes call which, where correlations of counts need several and take the runs
 * of two routes at one service for each other. What matches in two windows beside the expected one is subtracted.
 *
 * @example
 * addMatches(counts, runs, { called: 'scan', timeLeftMs: 812, nowMs: clock.now() });
 */
export function addMatches(
  counts: MatchCounts,
  runs: Iterable<RunUnderWay>,
  request: { called: string; timeLeftMs: number; nowMs: number },
): void {
  const { called, timeLeftMs, nowMs } = request;
  for (const { route, deadlineAtMs } of runs) addMatch(counts, route, called, timeLeftMs - (deadlineAtMs - nowMs));
}

/**
 * Counts one run as `addMatches` does, for code that goes through the runs for another purpose as well.
 *
 * @param ran Route of the run.
 * @param called Route of the request.
 * @param excessMs How much more time than the run the request has left.
 * @example
 * addMatch(counts, run.route, 'scan', timeLeftMs - (run.deadlineAtMs - clock.now()));
 */
export function addMatch(counts: MatchCounts, ran: string, called: string, excessMs: number): void {
  const weight = computeMatchWeight(excessMs);
  if (weight === 0 || ran === called) return;
  const count = getCount(counts, ran, called);
  count.net += weight;
  count.gross += Math.abs(weight);
}

/** Creates an estimator without matches. */
export function createCallMatchEstimator(): CallMatchEstimator {
  return { matches: new Map(), ran: new Map() };
}

/**
 * Adds the runs started and the matches counted in one interval.
 *
 * @example
 * addMatchSample(estimator, startedSinceLast, matchesSinceLast);
 * const calls = estimateMatchedCalls(estimator);
 */
export function addMatchSample(
  estimator: CallMatchEstimator,
  ran: ReadonlyMap<string, number>,
  counts: ReadonlyMap<string, ReadonlyMap<string, MatchCount>>,
): void {
  for (const [route, sum] of estimator.ran) estimator.ran.set(route, sum * DECAY_FACTOR);
  for (const [route, count] of ran) estimator.ran.set(route, (estimator.ran.get(route) ?? 0) + count);
  for (const byCalled of estimator.matches.values()) {
    for (const sum of byCalled.values()) {
      sum.net *= DECAY_FACTOR;
      sum.gross *= DECAY_FACTOR;
    }
  }
  for (const [route, byCalled] of counts) {
    for (const [called, { net, gross }] of byCalled) {
      const sum = getCount(estimator.matches, route, called);
      sum.net += net;
      sum.gross += gross;
    }
  }
}

/**
 * Estimates the calls per run from the matches; those that chance may explain are left out.
 *
 * @example
 * estimateMatchedCalls(estimator); // [{ ran: 'ledger', called: 'scan', perRun: 0.97 }]
 */
export function estimateMatchedCalls({ matches, ran }: CallMatchEstimator): CallEstimate[] {
  return [...matches].flatMap(([route, byCalled]) =>
    [...byCalled].flatMap(([called, { net, gross }]) => {
      const perRun = net / Math.max(1, ran.get(route) ?? 0);
      const isCertain = net >= MIN_MATCHES && net > MIN_STANDARD_ERRORS * Math.sqrt(gross);
      return isCertain && perRun >= MIN_CALLS_PER_RUN ? [{ ran: route, called, perRun }] : [];
    }),
  );
}

/**
 * Combines both estimates. For a called route whose calls mostly carry the time left of their run, the matches show which
 * routes call it; others carry the time limit of their own route, and the matches are too few.
 *
 * @example
 * const calls = mergeCallEstimates(estimateCalls(callEstimator), estimateMatchedCalls(matchEstimator), matchEstimator.ran);
 */
export function mergeCallEstimates(
  correlated: readonly CallEstimate[],
  matched: readonly CallEstimate[],
  ran: ReadonlyMap<string, number>,
): CallEstimate[] {
  const correlatedSums = computeCallSums(correlated, ran);
  const matchedSums = computeCallSums(matched, ran);
  const getRatio = (called: string): number =>
    (correlatedSums.get(called) ?? 0) / Math.max(Number.MIN_VALUE, matchedSums.get(called) ?? 0);
  const isMatched = (called: string): boolean => getRatio(called) <= 1 / MIN_MATCHED_SHARE;
  const computeScale = (ratio: number): number => (ratio > 1 / MAX_TOTAL_RATIO && ratio < MAX_TOTAL_RATIO ? ratio : 1);
  return [
    ...matched
      .filter(({ called }) => isMatched(called))
      .map((call) => ({ ...call, perRun: call.perRun * computeScale(getRatio(call.called)) })),
    ...correlated.filter(({ called }) => !isMatched(called)),
  ];
}

/** Sums the calls to each route over the runs of all routes. */
function computeCallSums(calls: readonly CallEstimate[], ran: ReadonlyMap<string, number>): Map<string, number> {
  const sums = new Map<string, number>();
  for (const call of calls) {
    sums.set(call.called, (sums.get(call.called) ?? 0) + call.perRun * (ran.get(call.ran) ?? 0));
  }
  return sums;
}

function computeMatchWeight(excessMs: number): number {
  // Most runs are in none of the windows.
  if (excessMs > CONTROL_DISTANCE_MS + MAX_EXCESS_MS || excessMs < -CONTROL_DISTANCE_MS - MAX_SHORTFALL_MS) return 0;
  if (isInWindow(excessMs)) return 1;
  if (isInWindow(excessMs - CONTROL_DISTANCE_MS)) return OLDER_WEIGHT;
  return isInWindow(excessMs + CONTROL_DISTANCE_MS) ? YOUNGER_WEIGHT : 0;
}

function isInWindow(excessMs: number): boolean {
  return excessMs >= -MAX_SHORTFALL_MS && excessMs <= MAX_EXCESS_MS;
}

function getCount(counts: MatchCounts, route: string, called: string): MatchCount {
  let byCalled = counts.get(route);
  if (byCalled === undefined) counts.set(route, (byCalled = new Map()));
  let count = byCalled.get(called);
  if (count === undefined) byCalled.set(called, (count = { net: 0, gross: 0 }));
  return count;
}
