import type { RequestBoard } from './sections.js';

/** Time within which peers send a new process the state that its predecessor published (ms). */
export const RESTORE_WAIT_MS = 800;

/** True once this node has an answer, or the failure of a first attempt, from each peer that it knows. */
export function hasTriedLinks(board: RequestBoard): boolean {
  const { byHost: peers } = board.read('links');
  if (peers.size === 0 && board.read('members').byHost.size > 0) return false;
  for (const { lanes } of peers.values()) if (lanes.routine.phase === 'dialling') return false;
  return true;
}

/**
 * True once this process knows what earlier processes of its host acknowledged. The store may be late with a record that
 * the peers have, and the peers may have been restarted, so both are heard.
 */
export function isHistoryKnown(board: RequestBoard, nowMs: number): boolean {
  const { isComplete, storeReadAtMs } = board.read('members');
  if (!isComplete) return false;
  if (nowMs - board.read('node').startedAtMs > RESTORE_WAIT_MS) return true;
  return storeReadAtMs !== undefined && hasTriedLinks(board);
}
