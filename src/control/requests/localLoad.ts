import type { ReadView } from '../../core/blackboard.js';
import { readFailureShare } from '../../policy/failureShare.js';
import { computeRunLimit } from '../../policy/runLimit.js';
import type { LoadReport } from '../../schema/linkFrame.js';
import type { TargetPhase } from '../../schema/nodeMember.js';
import type { RequestBoard, RequestSections } from './sections.js';

/** Time without answers, in mean durations, after which a target with running requests counts as unresponsive. */
const UNRESPONSIVE_DURATIONS = 5;

/** Returns the phase of the local target that is reported to other nodes. */
export function readAdvertisedPhase(board: RequestBoard, nowMs: number): TargetPhase {
  const { phase, ejectedUntilMs } = board.read('target');
  if (phase !== 'ready') return phase;
  if (board.read('node').phase === 'stopping') return 'draining';
  return ejectedUntilMs > nowMs ? 'none' : 'ready';
}

/**
 * Returns the expected duration of a run (ms). For an unresponsive target it is the time since its last answer, or since
 * the start of the oldest running request if that is later.
 */
function computeExpectedDuration(
  { running, duration, answeredAtMs }: ReadView<RequestSections['runs']>,
  nowMs: number,
): number {
  const [oldest] = running;
  if (oldest === undefined) return duration.meanMs;
  const sinceAnswerMs = nowMs - Math.max(answeredAtMs, oldest.startedAtMs);
  return sinceAnswerMs > UNRESPONSIVE_DURATIONS * duration.meanMs ? sinceAnswerMs : duration.meanMs;
}

/** Returns the load of the local target. */
export function readLocalLoad(board: RequestBoard, nowMs: number): LoadReport {
  const { service, id, slots } = board.read('target');
  const runs = board.read('runs');
  const { queue, running, failures } = runs;
  return {
    phase: readAdvertisedPhase(board, nowMs),
    service,
    targetId: id,
    running: running.size,
    queued: queue.length,
    limit: computeRunLimit(slots),
    durationMs: Math.round(computeExpectedDuration(runs, nowMs)),
    failureShare: Math.round(readFailureShare(failures, nowMs) * 100) / 100,
  };
}
