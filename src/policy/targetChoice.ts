import type { Random } from '../core/random.js';
import type { LoadReport } from '../schema/linkFrame.js';
import { decaySlowdown } from './paceHint.js';
import { computeTokenWait } from './rateGate.js';
import type { TargetSpeed } from './targetSpeed.js';

/** A node whose target could run a request. */
export interface TargetCandidate {
  host: string;
  isOwnHost: boolean;
  isLocalDataCenter: boolean;
  load: LoadReport;
  speed: TargetSpeed;
  /** True when this node has not sent a request to the target, so it has no observations of its own. */
  isUntried: boolean;
  /** Age of the load report (ms). */
  loadAgeMs: number;
  /** Requests sent to the target that its load report does not include yet. */
  sentSinceReport: number;
}

/** What is known of a request and of the targets that may run it. */
export interface TargetChoiceInput {
  candidates: readonly TargetCandidate[];
  /** Mean duration of a run of the request's route at the service (ms). */
  routeDurationMs: number;
  /** Mean duration of a run of the service's routes, which is how long a waiting request blocks those behind it (ms). */
  serviceDurationMs: number;
  /** Time within which the answer has its full worth (ms). */
  targetLatencyMs: number;
  /** Large bodies or answers, which cost more to send to another data centre. */
  isBulk: boolean;
  random: Random;
}

/** Cost of sending a request to another data centre, as a share of the target latency. */
const CROSS_DATA_CENTER_COST = 0.2;
/** The same for large bodies or answers. */
const BULK_CROSS_DATA_CENTER_COST = 0.4;
/** Cost of one failed attempt, in multiples of the target latency. */
const FAILURE_COST = 2;
/** Cost of a target whose slots are all in use but that has no queue, as a share of the duration of a run. */
const FULL_TARGET_COST = 0.5;
/** Excess over the lowest cost, as a share of it, at which a target is chosen e times less often than the best one. */
const CHOICE_SPREAD = 0.08;
/** Cost of any target (ms), which keeps the lowest cost above 0. */
const MIN_COST_MS = 1;
/** Share of the requests that may be sent as trials to targets that seemed slow. */
const TRIAL_SHARE = 0.01;
/** Number of recent runs below which the speed of a target counts as unknown. */
const MIN_KNOWN_SAMPLES = 2;
/** Slowness below which a target without recent runs needs no trial, since it is chosen anyway. */
const MIN_DOUBTED_SLOWNESS = 1.1;

/**
 * Chooses a target at random, with a probability that falls steeply with its cost: the expected waiting time and
 * duration, plus penalties for occupied slots, failures and sending to another data centre. As load reports are stale,
 * nodes that all chose the target with the lowest cost would overload it together.
 *
 * @example
 * const input = { candidates, routeDurationMs: 40, serviceDurationMs: 60, targetLatencyMs: 300, random };
 * const chosen = chooseTarget(input);
 */
export function chooseTarget(input: TargetChoiceInput): TargetCandidate | undefined {
  const { candidates, random } = input;
  const costs = candidates.map((candidate) => estimateCost(candidate, input));
  const leastMs = Math.min(...costs);
  const weights = costs.map((costMs) => Math.exp(-(costMs - leastMs) / (CHOICE_SPREAD * leastMs)));
  let remaining = random() * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, weight] of weights.entries()) {
    remaining -= weight;
    if (remaining < 0) return candidates[index];
  }
  return candidates[costs.indexOf(leastMs)];
}

/**
 * Returns a target to which a request should be sent as a trial: one without any request from this node, or, for a small
 * share of the requests, one that seemed slow but ran too few requests lately to know whether it still is.
 *
 * @example
 * const target = chooseTrial(candidates, random) ?? chooseTarget({ candidates, ...request, random });
 */
export function chooseTrial(candidates: readonly TargetCandidate[], random: Random): TargetCandidate | undefined {
  const untried = candidates.find(({ isUntried }) => isUntried);
  if (untried !== undefined || random() >= TRIAL_SHARE) return untried;
  return candidates.find(({ speed }) => speed.samples < MIN_KNOWN_SAMPLES && speed.slowness > MIN_DOUBTED_SLOWNESS);
}

/**
 * Estimates the time until a new request starts at a target (ms).
 *
 * @example
 * estimateWait(peer.load, peer.sentSinceReport, 20); // 0 while a slot is free
 */
export function estimateWait(load: LoadReport, sentSinceReport: number, durationMs: number): number {
  const ahead = load.running + load.queued + sentSinceReport + 1 - load.limit;
  const slotMs = ahead <= 0 ? 0 : (ahead / Math.max(1, load.limit)) * durationMs;
  return Math.max(slotMs, estimateRateWait(load, sentSinceReport));
}

/** Estimates the time until a target that named a limit takes a new request (ms). */
function estimateRateWait({ ratePerSecond, rateTokens = 0, queued }: LoadReport, sentSinceReport: number): number {
  if (ratePerSecond === undefined) return 0;
  return computeTokenWait({ perSecond: ratePerSecond, tokens: rateTokens }, queued + sentSinceReport);
}

function estimateCost(candidate: TargetCandidate, input: TargetChoiceInput): number {
  const { load, sentSinceReport } = candidate;
  const { routeDurationMs, serviceDurationMs, targetLatencyMs, isBulk } = input;
  const slowness = candidate.speed.slowness * decaySlowdown(load.slowdown ?? 1, candidate.loadAgeMs);
  const stalledMs = load.stalledMs ?? 0;
  const waitMs = estimateWait(load, sentSinceReport, Math.max(stalledMs, slowness * serviceDurationMs));
  const durationMs = Math.max(stalledMs, slowness * routeDurationMs);
  const usedShare = Math.min(1, (load.running + load.queued + sentSinceReport) / Math.max(1, load.limit));
  const crossingCost = isBulk ? BULK_CROSS_DATA_CENTER_COST : CROSS_DATA_CENTER_COST;
  const crossingMs = candidate.isLocalDataCenter ? 0 : crossingCost * targetLatencyMs;
  const failureMs = FAILURE_COST * load.failureShare * targetLatencyMs;
  return MIN_COST_MS + waitMs + durationMs * (1 + FULL_TARGET_COST * usedShare) + crossingMs + failureMs;
}
