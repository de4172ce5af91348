import type { Random } from '../core/random.js';
import type { MemberRecord } from '../schema/member.js';
import type { RouteState } from '../schema/state.js';

/** One target that could take a call. */
export interface RouteCandidate {
  member: MemberRecord;
  /** Own observations; undefined for a target never called from here. */
  state: RouteState | undefined;
  isLocalDataCenter: boolean;
}

export interface RouteQuestion {
  candidates: readonly RouteCandidate[];
  nowMs: number;
  random: Random;
}

const UNKNOWN_LATENCY_MS = 1;

/**
 * Chooses a target: of two random ones in the local data centre the one with less expected waiting; other data centres
 * only when no local target can take calls.
 */
export function chooseRoute(question: RouteQuestion): MemberRecord | undefined {
  const usable = question.candidates.filter((candidate) => !isEjected(candidate.state, question.nowMs));
  const local = usable.filter((candidate) => candidate.isLocalDataCenter && !isSaturated(candidate.state));
  const pool = local.length > 0 ? local : usable;
  const first = pool[Math.floor(question.random() * pool.length)];
  const second = pool[Math.floor(question.random() * pool.length)];
  if (first === undefined || second === undefined) return undefined;
  return computeCost(first.state) <= computeCost(second.state) ? first.member : second.member;
}

/** True while a target gets no calls because of what this node observed. */
export function isEjected(state: RouteState | undefined, nowMs: number): boolean {
  return state !== undefined && state.ejectedUntilMs > nowMs;
}

function isSaturated(state: RouteState | undefined): boolean {
  const load = state?.load;
  return load !== undefined && load.inFlight >= load.limit && load.queued >= load.limit;
}

function computeCost(state: RouteState | undefined): number {
  if (state === undefined) return UNKNOWN_LATENCY_MS;
  const latencyMs = Math.max(state.latencyMs, UNKNOWN_LATENCY_MS);
  return ((state.inFlight + 1) * latencyMs) / Math.max(0.05, 1 - state.failureRate);
}
