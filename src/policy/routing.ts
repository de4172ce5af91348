import type { Random } from '../core/random.js';
import type { MemberRecord } from '../schema/member.js';
import type { RouteState } from '../schema/state.js';

/** A member whose target may get a call. */
export interface MemberCandidate {
  member: MemberRecord;
  /** Observations of this node; undefined when it has never called the target. */
  state: RouteState | undefined;
  isLocalDataCenter: boolean;
}

export interface RoutingInput {
  candidates: readonly MemberCandidate[];
  nowMs: number;
  random: Random;
}

/** Minimum latency in comparisons, also assumed for targets without observations. */
const MIN_LATENCY_MS = 1;

/**
 * Chooses a target by the power of two choices: the cheaper one of two random targets in the local data centre. Targets
 * in other data centres get calls only when the local ones are saturated and the last load hint of the remote target
 * shows spare capacity, so that overload does not propagate. If all targets are ejected, each gets one trial call at a
 * time, so that a recovered service is detected at once.
 */
export function chooseTargetMember(input: RoutingInput): MemberRecord | undefined {
  const { candidates, nowMs, random } = input;
  const usable = candidates.filter(({ state }) => !isEjected(state, nowMs));
  if (usable.length === 0) return candidates.find(({ state }) => state?.inFlight === 0)?.member;
  const local = usable.filter(({ isLocalDataCenter }) => isLocalDataCenter);
  const unsaturated = local.filter(({ state }) => !isSaturated(state));
  if (unsaturated.length > 0) return chooseCheaperOfTwo(unsaturated, random);
  const remote = usable.filter(({ state, isLocalDataCenter }) => !isLocalDataCenter && hasSpareCapacity(state));
  if (remote.length > 0) return chooseCheaperOfTwo(remote, random);
  return chooseCheaperOfTwo(local.length > 0 ? local : usable, random);
}

function chooseCheaperOfTwo(pool: readonly MemberCandidate[], random: Random): MemberRecord | undefined {
  const first = pool[Math.floor(random() * pool.length)];
  const second = pool[Math.floor(random() * pool.length)];
  if (first === undefined || second === undefined) return undefined;
  return computeCost(first.state) <= computeCost(second.state) ? first.member : second.member;
}

/** True while a target gets no calls because this node ejected it. */
export function isEjected(state: RouteState | undefined, nowMs: number): boolean {
  return state !== undefined && state.ejectedUntilMs > nowMs;
}

function isSaturated(state: RouteState | undefined): boolean {
  const load = state?.load;
  return load !== undefined && load.inFlight >= load.limit && load.queued >= load.limit;
}

/** Share of the limit up to which a target in another data centre gets calls from a saturated data centre. */
const REMOTE_LOAD_SHARE = 0.7;

/**
 * True when a remote target can take a call. Without a load hint it gets one call at a time, whose reply brings one.
 */
function hasSpareCapacity(state: RouteState | undefined): boolean {
  if (state?.load === undefined) return (state?.inFlight ?? 0) === 0;
  return state.load.queued === 0 && state.load.inFlight < REMOTE_LOAD_SHARE * state.load.limit;
}

function computeCost(state: RouteState | undefined): number {
  if (state === undefined) return MIN_LATENCY_MS;
  const latencyMs = Math.max(state.latencyMs, MIN_LATENCY_MS);
  return ((state.inFlight + 1) * latencyMs) / Math.max(0.05, 1 - state.failureRate);
}
