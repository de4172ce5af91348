import type { RequestContext } from './context.js';
import { isInStore, WRITE_RETRY_MS } from './ownRecordWriter.js';

/** Deletes the store records of earlier hosts at this node's address. */
export interface PredecessorRemoval {
  remove(host: string): void;
  /** Lets what was deleted be deleted again, since the store has come back from an older copy. */
  restart(): void;
  stop(): void;
}

/** Creates the removal; a deletion that fails is retried. */
export function createPredecessorRemoval({ board, clock, random, io }: RequestContext): PredecessorRemoval {
  const removed = new Set<string>();
  let isStopped = false;

  const remove = (host: string): void => {
    if (removed.has(host)) return;
    removed.add(host);
    const begun = board.read('store').era;
    io.dropMember(host, (outcome) => {
      if (!isInStore(board, outcome, begun)) scheduleRetry(host);
      const inputs = { host, address: board.read('members').self.linkAddress };
      board.post('decisions', {
        kind: 'memberChanged',
        outcome: `tombstone for the earlier host at this address: ${outcome.type}`,
        inputs,
      });
    });
  };
  const scheduleRetry = (host: string): void => {
    removed.delete(host);
    clock.schedule(WRITE_RETRY_MS * (0.5 + random()), () => {
      if (!isStopped) remove(host);
    });
  };
  return {
    remove,
    restart: () => {
      removed.clear();
    },
    stop: () => {
      isStopped = true;
    },
  };
}
