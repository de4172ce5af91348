import { isStoreReader } from '../../policy/storeReaders.js';
import type { RequestBoard } from './sections.js';

/** Time without frames after which a linked host counts as silent (ms); idle links carry a status every two seconds. */
const SILENT_AFTER_MS = 3000;

/** True when this node waits for changes at the store; otherwise it learns of them from its peers. */
export function isReadingStore(board: RequestBoard, nowMs: number): boolean {
  const { self, byHost } = board.read('members');
  const { byHost: peers } = board.read('links');
  const isSilent = (host: string): boolean => {
    const lane = peers.get(host)?.lanes.routine;
    return lane !== undefined && (lane.phase !== 'up' || nowMs - lane.lastReceivedMs > SILENT_AFTER_MS);
  };
  return isStoreReader({ self, members: byHost, isSilent });
}
