import type { ReadView } from '../../core/blackboard.js';
import { readFailureShare } from '../../policy/failureShare.js';
import { countTokens } from '../../policy/rateGate.js';
import { readSlowdown } from '../../policy/paceHint.js';
import { computeRunLimit } from '../../policy/runLimit.js';
import type { LoadReport } from '../../schema/linkFrame.js';
import type { TargetPhase } from '../../schema/nodeMember.js';
import type { RequestBoard, RequestSections } from './sections.js';

/** Time without answers, in mean durations, after which a target with running requests counts as unresponsive. */
const UNRESPONSIVE_DURATIONS = 5;
/** Slowdown of the target below which load reports do not name it. */
const MIN_REPORTED_SLOWDOWN = 1.15;

/** Returns the phase of the local target that is reported to other nodes. */
export function readAdvertisedPhase(board: RequestBoard, nowMs: number): TargetPhase {
  const { phase, ejectedUntilMs } = board.read('target');
  if (phase !== 'ready') return phase;
  if (board.read('node').phase === 'stopping') return 'draining';
  return ejectedUntilMs > nowMs ? 'none' : 'ready';
}

/**
 * Returns for an unresponsive target the time since its last answer, or since the start of the oldest running request if
 * that is later (ms); 0 for others.
 */
function computeStalledTime(
  { running, duration, durationByRoute, answeredAtMs }: ReadView<RequestSections['runs']>,
  nowMs: number,
): number {
  const [oldest] = running;
  if (oldest === undefined) return 0;
  const sinceAnswerMs = nowMs - Math.max(answeredAtMs, oldest.startedAtMs);
  // The oldest request may be of a route that takes much longer than most.
  const expectedMs = Math.max(duration.meanMs, durationByRoute.get(oldest.request.route)?.meanMs ?? 0);
  return sinceAnswerMs > UNRESPONSIVE_DURATIONS * expectedMs ? Math.round(sinceAnswerMs) : 0;
}

/** Returns how many requests may run at the local target at once. */
export function readRunLimit(board: RequestBoard): number {
  return computeRunLimit(board.read('target').slots, board.read('runs').recovery);
}

/** Returns the load of the local target. */
export function readLocalLoad(board: RequestBoard, nowMs: number): LoadReport {
  const { service, id } = board.read('target');
  const runs = board.read('runs');
  const { queue, running, failures, unserved, duration, gate, paceHint } = runs;
  const slowdown = readSlowdown(paceHint, nowMs);
  const stalledMs = computeStalledTime(runs, nowMs);
  const unservedShare = limitDecimals(readFailureShare(unserved, nowMs));
  return {
    phase: readAdvertisedPhase(board, nowMs),
    service,
    targetId: id,
    running: running.size,
    queued: queue.length,
    limit: readRunLimit(board),
    durationMs: Math.round(Math.max(stalledMs, duration.meanMs)),
    failureShare: limitDecimals(readFailureShare(failures, nowMs)),
    ...(unservedShare > 0 ? { unservedShare } : {}),
    ...(stalledMs > 0 ? { stalledMs } : {}),
    ...(slowdown > MIN_REPORTED_SLOWDOWN ? { slowdown: Math.round(slowdown * 10) / 10 } : {}),
    ...(gate === undefined ? {} : { ratePerSecond: gate.perSecond, rateTokens: countTokens(gate, nowMs) }),
  };
}

/** Rounds to two decimals to keep messages short. */
function limitDecimals(value: number): number {
  return Math.round(value * 100) / 100;
}
