import { findReaderPlace, hasLostReaders } from '../../policy/storeReaders.js';
import type { StoreReaderInput } from '../../policy/storeReaders.js';
import type { StoreEra } from '../../policy/storeEra.js';
import type { RequestBoard } from './sections.js';

/** Time without frames after which a linked host counts as silent (ms); idle links within a data centre carry a status each second. */
const SILENT_AFTER_MS = 3000;

/** Source of records and eras that came from the store, in place of the host that sent them. */
export const STORE_SOURCE = 'store';

/** Records the era that the store or a peer named, if any. */
export function observeStoreEra(board: RequestBoard, era: StoreEra, source: string): void {
  if (era !== undefined) board.post('store', { era, source });
}

/** True when the store turns away the readers from which this node learns of changes. */
export function isReadingTurnedAway(board: RequestBoard, nowMs: number): boolean {
  const { byHost: peers } = board.read('links');
  return hasLostReaders(buildReaderInput(board, nowMs), (host) => {
    const peer = peers.get(host);
    return peer?.lanes.routine.phase === 'up' ? peer.isStoreLost : undefined;
  });
}

/** Returns the place of this node among the readers of the store; undefined when it learns of changes from its peers. */
export function readReaderPlace(board: RequestBoard, nowMs: number): number | undefined {
  return findReaderPlace(buildReaderInput(board, nowMs));
}

function buildReaderInput(board: RequestBoard, nowMs: number): StoreReaderInput {
  const { self, byHost } = board.read('members');
  const { byHost: peers } = board.read('links');
  const isSilent = (host: string): boolean => {
    const lane = peers.get(host)?.lanes.routine;
    return lane !== undefined && (lane.phase !== 'up' || nowMs - lane.lastReceivedMs > SILENT_AFTER_MS);
  };
  return { self, members: byHost, isSilent };
}
