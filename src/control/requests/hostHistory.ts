import { isHistoryNews } from '../../policy/targetHistory.js';
import type { NodeMember } from '../../schema/nodeMember.js';
import type { LinkConnection } from './context.js';
import type { RequestBoard } from './sections.js';

/** Time within which peers send a new process the state that its predecessor published (ms). */
export const RESTORE_WAIT_MS = 800;
/**
 * The same once the store was read (ms). A peer that is alive responds sooner; a host without power leaves a connection
 * attempt open for longer, and all hosts may come back from such a loss at once.
 */
export const LINK_WAIT_MS = 150;

/** True once this node has an answer, or the failure of a first attempt, from each peer that it knows. */
export function hasTriedLinks(board: RequestBoard): boolean {
  const { byHost: peers } = board.read('links');
  if (peers.size === 0 && board.read('members').byHost.size > 0) return false;
  for (const { lanes } of peers.values()) if (lanes.routine.phase === 'dialling') return false;
  return true;
}

/** Lets a restarted process restore its published state from its peers, even while the store is unavailable. */
export function sendHistory(board: RequestBoard, connection: LinkConnection, member: NodeMember): void {
  const record = board.read('members').byHost.get(member.host) as NodeMember | undefined;
  if (record !== undefined && isHistoryNews(record, member)) connection.send({ type: 'members', members: [record] });
}

/**
 * True once this process knows what earlier processes of its host acknowledged. The store may be late with a record that
 * the peers have, and the peers may have been restarted, so both are heard.
 */
export function isHistoryKnown(board: RequestBoard, nowMs: number): boolean {
  const { completeAtMs, storeReadAtMs } = board.read('members');
  if (completeAtMs === undefined) return false;
  if (nowMs - board.read('node').startedAtMs > RESTORE_WAIT_MS) return true;
  return storeReadAtMs !== undefined && (nowMs - completeAtMs > LINK_WAIT_MS || hasTriedLinks(board));
}
