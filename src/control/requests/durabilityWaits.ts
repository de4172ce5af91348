import type { RequestContext } from './context.js';

/** Time after which nobody waits for an acknowledgement any more (ms). */
const MAX_WAIT_MS = 1000;

interface DurabilityWait {
  readonly revision: number;
  readonly sinceMs: number;
  readonly run: () => void;
}

/**
 * Acknowledgements that wait until the store has what they confirm. Copies in the memory of peers do not count, however many
 * there are: all processes may end at the same time.
 */
export interface DurabilityWaits {
  /** Calls `run` once the store has the record of that revision, or never if that takes too long. */
  add(revision: number, run: () => void): void;
  /** Records that the store has this node's own record up to a revision, and runs what waited for it; -1 if it has none. */
  setWrittenRevision(revision: number): void;
}

/** Creates the waits for this node's own record. */
export function createDurabilityWaits({ board, clock }: RequestContext): DurabilityWaits {
  let waits: DurabilityWait[] = [];
  let writtenRevision = -1;

  const check = (): void => {
    if (waits.length === 0) return;
    const durable = waits.filter(({ revision }) => revision <= writtenRevision);
    waits = waits.filter((wait) => !durable.includes(wait));
    for (const { run } of durable) run();
  };
  const expire = (wait: DurabilityWait): void => {
    if (!waits.includes(wait)) return;
    waits = waits.filter((other) => other !== wait);
    const inputs = { revision: wait.revision, writtenRevision, waitedMs: Math.round(clock.now() - wait.sinceMs) };
    const outcome = 'not acknowledged: the store does not have the record';
    board.post('decisions', { kind: 'storeChanged', outcome, inputs });
  };
  return {
    add: (revision, run) => {
      const wait = { revision, sinceMs: clock.now(), run };
      waits.push(wait);
      clock.schedule(MAX_WAIT_MS, () => {
        expire(wait);
      });
      check();
    },
    setWrittenRevision: (revision) => {
      writtenRevision = revision;
      check();
    },
  };
}
