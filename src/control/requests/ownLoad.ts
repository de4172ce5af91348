import type { ReadView } from '../../core/blackboard.js';
import { readFailureShare } from '../../policy/failureShare.js';
import { computeRunLimit } from '../../policy/runLimit.js';
import type { LoadReport } from '../../schema/linkFrame.js';
import type { TargetPhase } from '../../schema/nodeMember.js';
import type { RequestBoard, RequestSections } from './sections.js';

/** Silence of a target with running requests that is out of the ordinary, in mean durations. */
const SILENT_DURATIONS = 5;

/** The phase in which other nodes shall see the local target. */
export function readOwnPhase(board: RequestBoard, nowMs: number): TargetPhase {
  const { phase, shunnedUntilMs } = board.read('target');
  if (phase !== 'ready') return phase;
  if (board.read('node').phase === 'stopping') return 'draining';
  return shunnedUntilMs > nowMs ? 'none' : 'ready';
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
  const silentMs = nowMs - Math.max(answeredAtMs, oldest.startedAtMs);
  return silentMs > SILENT_DURATIONS * duration.meanMs ? silentMs : duration.meanMs;
}

/** The load of the local target. */
export function readOwnLoad(board: RequestBoard, nowMs: number): LoadReport {
  const { service, id, slots } = board.read('target');
  const runs = board.read('runs');
  const { queue, running, failures } = runs;
  return {
    phase: readOwnPhase(board, nowMs),
    service,
    targetId: id,
    running: running.size,
    queued: queue.length,
    limit: computeRunLimit(slots),
    durationMs: Math.round(computeExpectedDuration(runs, nowMs)),
    failureShare: Math.round(readFailureShare(failures, nowMs) * 100) / 100,
  };
}
