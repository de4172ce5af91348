import type { Random } from '../core/random.js';
import type { LoadReport } from '../schema/linkFrame.js';

/** A node whose target could run a request. */
export interface TargetCandidate {
  host: string;
  isOwnHost: boolean;
  isLocalDataCenter: boolean;
  load: LoadReport;
  /** True when this node has not sent a request to the target, so it has no observations of its own. */
  isUntried: boolean;
  /** Requests sent to the target that its load report does not include yet. */
  sentSinceReport: number;
}

export interface TargetChoiceInput {
  candidates: readonly TargetCandidate[];
  /** Time within which the answer has its full worth (ms). */
  targetLatencyMs: number;
  random: Random;
}

/** Duration assumed when no target has reported one (ms). */
const DEFAULT_DURATION_MS = 20;
/** Cost of sending a request to another data centre, as a share of the target latency. */
const CROSS_DATA_CENTER_COST = 0.1;
/** Cost of one failed attempt, in multiples of the target latency. */
const FAILURE_COST = 2;
/** Candidates whose costs differ by up to this share are ties. */
const TIE_TOLERANCE = 0.05;

/**
 * Chooses the target with the lowest cost: the expected waiting time and duration, plus penalties for its failures and
 * for sending to another data centre. Ties are broken at random, so that nodes with the same load reports do not all
 * choose the same target.
 *
 * @example
 * const chosen = chooseTarget({ candidates, targetLatencyMs: 300, random });
 */
export function chooseTarget({ candidates, targetLatencyMs, random }: TargetChoiceInput): TargetCandidate | undefined {
  const fallbackMs = computeMeanDuration(candidates);
  let best: TargetCandidate | undefined;
  let bestMs = Infinity;
  let ties = 0;
  for (const candidate of candidates) {
    const costMs = estimateCost(candidate, targetLatencyMs, fallbackMs);
    if (costMs < bestMs * (1 - TIE_TOLERANCE)) {
      best = candidate;
      bestMs = costMs;
      ties = 1;
    } else if (costMs <= bestMs * (1 + TIE_TOLERANCE)) {
      ties++;
      if (random() * ties < 1) best = candidate;
      bestMs = Math.min(bestMs, costMs);
    }
  }
  return best;
}

/** Estimates the time until a new request starts at a target (ms). */
export function estimateWait(load: LoadReport, sentSinceReport: number, durationMs: number): number {
  const ahead = load.running + load.queued + sentSinceReport + 1 - load.limit;
  return ahead <= 0 ? 0 : (ahead / Math.max(1, load.limit)) * durationMs;
}

function estimateCost(candidate: TargetCandidate, targetLatencyMs: number, fallbackMs: number): number {
  const { load } = candidate;
  const durationMs = load.durationMs > 0 ? load.durationMs : fallbackMs;
  const waitMs = estimateWait(load, candidate.sentSinceReport, durationMs);
  const crossingMs = candidate.isLocalDataCenter ? 0 : CROSS_DATA_CENTER_COST * targetLatencyMs;
  return waitMs + durationMs + crossingMs + FAILURE_COST * load.failureShare * targetLatencyMs;
}

function computeMeanDuration(candidates: readonly TargetCandidate[]): number {
  let sum = 0;
  let count = 0;
  for (const { load } of candidates) {
    if (load.durationMs <= 0) continue;
    sum += load.durationMs;
    count++;
  }
  return count === 0 ? DEFAULT_DURATION_MS : sum / count;
}
