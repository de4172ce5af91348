import type { ReadView } from '../../core/blackboard.js';
import { readFailureShare } from '../../policy/failureShare.js';
import { computeRunLimit } from '../../policy/runLimit.js';
import type { LoadReport } from '../../schema/linkFrame.js';
import type { TargetPhase } from '../../schema/nodeMember.js';
import type { RequestBoard, RequestSections } from './sections.js';

/** Silence of a target with running requests that is out of the ordinary, in mean durations. */
const UNRESPONSIVE_DURATIONS = 5;

/** The phase in which other nodes shall see the local target. */
export function readAdvertisedPhase(board: RequestBoard, nowMs: number): TargetPhase {
  const { phase, ejectedUntilMs } = board.read('target');
  if (phase !== 'ready') return phase;
  if (board.read('node').phase === 'stopping') return 'draining';
  return ejectedUntilMs > nowMs ? 'none' : 'ready';
}

/**
 * How long a run is expected to take (ms). A target that answers nothing while requests run there is taken to need at least
 * as long as it has been silent.
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

/** The load of the local target. */
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
