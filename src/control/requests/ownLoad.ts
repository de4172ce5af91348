import { computeRunLimit } from '../../policy/runLimit.js';
import type { LoadReport } from '../../schema/linkFrame.js';
import type { TargetPhase } from '../../schema/nodeMember.js';
import type { RequestBoard } from './sections.js';

/** The phase in which other nodes shall see the local target. */
export function readOwnPhase(board: RequestBoard, nowMs: number): TargetPhase {
  const { phase, shunnedUntilMs } = board.read('target');
  if (phase !== 'ready') return phase;
  if (board.read('node').phase === 'stopping') return 'draining';
  return shunnedUntilMs > nowMs ? 'none' : 'ready';
}

/** The load of the local target. */
export function readOwnLoad(board: RequestBoard, nowMs: number): LoadReport {
  const { service, id, slots } = board.read('target');
  const { queue, running, duration, failureShare } = board.read('runs');
  return {
    phase: readOwnPhase(board, nowMs),
    service,
    targetId: id,
    running: running.size,
    queued: queue.length,
    limit: computeRunLimit(slots),
    durationMs: Math.round(duration.meanMs),
    failureShare: Math.round(failureShare * 100) / 100,
  };
}
