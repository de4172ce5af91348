import type { Random } from '../core/random.js';
import type { MemberRecord } from '../schema/member.js';
import type { RouteState } from '../schema/state.js';

/** One target that could take a call. */
export interface MemberCandidate {
  member: MemberRecord;
  /** Own observations; undefined for a target never called from here. */
  state: RouteState | undefined;
  isLocalDataCenter: boolean;
}

export interface RouteQuestion {
  candidates: readonly MemberCandidate[];
  nowMs: number;
  random: Random;
}

const UNKNOWN_LATENCY_MS = 1;

/**
 * Chooses a target: of two random ones in the local data centre the one with less expected waiting. Other data centres
 * get calls only from a saturated one, and only where their last load hint shows room, so that overload does not spread.
 * Where every target is ejected, each gets single trial calls, so that a service that returns is found at once.
 */
export function chooseTargetMember(question: RouteQuestion): MemberRecord | undefined {
  const { candidates, nowMs, random } = question;
  const usable = candidates.filter(({ state }) => !isEjected(state, nowMs));
  if (usable.length === 0) return candidates.find(({ state }) => state?.inFlight === 0)?.member;
  const local = usable.filter(({ isLocalDataCenter }) => isLocalDataCenter);
  const roomy = local.filter(({ state }) => !isSaturated(state));
  if (roomy.length > 0) return chooseOfTwo(roomy, random);
  const remote = usable.filter(({ state, isLocalDataCenter }) => !isLocalDataCenter && hasRoom(state));
  if (remote.length > 0) return chooseOfTwo(remote, random);
  return chooseOfTwo(local.length > 0 ? local : usable, random);
}

function chooseOfTwo(pool: readonly MemberCandidate[], random: Random): MemberRecord | undefined {
  const first = pool[Math.floor(random() * pool.length)];
  const second = pool[Math.floor(random() * pool.length)];
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

/** Share of the limit up to which a target of another data centre takes calls that its own one cannot. */
const ROOM_SHARE = 0.7;

/** A target never heard of takes a call, which brings its first load hint. */
function hasRoom(state: RouteState | undefined): boolean {
  if (state?.load === undefined) return (state?.inFlight ?? 0) === 0;
  return state.load.queued === 0 && state.load.inFlight < ROOM_SHARE * state.load.limit;
}

function computeCost(state: RouteState | undefined): number {
  if (state === undefined) return UNKNOWN_LATENCY_MS;
  const latencyMs = Math.max(state.latencyMs, UNKNOWN_LATENCY_MS);
  return ((state.inFlight + 1) * latencyMs) / Math.max(0.05, 1 - state.failureRate);
}
