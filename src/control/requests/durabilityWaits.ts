import type { RequestContext } from './context.js';

/** Time for which the store alone counts (ms): in its usual state it has a record within a few milliseconds. */
const STORE_WAIT_MS = 600;
/** Number of peers that must hold a record which the store lacks: it survives the loss of this host and one of them. */
const MIN_COPIES = 2;
/** Time after which nobody waits for an acknowledgement any more (ms). */
const MAX_WAIT_MS = 1000;

interface DurabilityWait {
  readonly revision: number;
  readonly sinceMs: number;
  readonly run: () => void;
}

/** Acknowledgements that wait until a later process of this host will learn of what they confirm. */
export interface DurabilityWaits {
  /** Calls `run` once the record of that revision is durable, or never if that takes too long. */
  add(revision: number, run: () => void): void;
  /** Records that the store has this node's own record up to a revision; -1 if it has none. */
  setWrittenRevision(revision: number): void;
  /** Runs what has become durable. */
  check(): void;
}

/** Creates the waits for this node's own record. */
export function createDurabilityWaits({ board, clock }: RequestContext): DurabilityWaits {
  let waits: DurabilityWait[] = [];
  let writtenRevision = -1;

  const countCopies = (revision: number): number => {
    const { incarnation } = board.read('members').self;
    let copies = 0;
    for (const { held, lanes } of board.read('links').byHost.values())
      if (lanes.routine.phase === 'up' && held?.incarnation === incarnation && held.revision >= revision) copies++;
    return copies;
  };
  const isDurable = ({ revision, sinceMs }: DurabilityWait): boolean => {
    if (revision <= writtenRevision) return true;
    return clock.now() - sinceMs >= STORE_WAIT_MS && countCopies(revision) >= MIN_COPIES;
  };
  const report = (outcome: string, { revision, sinceMs }: DurabilityWait): void => {
    const waitedMs = Math.round(clock.now() - sinceMs);
    const inputs = { revision, writtenRevision, copies: countCopies(revision), waitedMs };
    board.post('decisions', { kind: 'storeChanged', outcome, inputs });
  };
  const finish = (wait: DurabilityWait): void => {
    if (wait.revision > writtenRevision) report('acknowledged with copies at peers', wait);
    wait.run();
  };
  const check = (): void => {
    if (waits.length === 0) return;
    const durable = waits.filter(isDurable);
    waits = waits.filter((wait) => !durable.includes(wait));
    durable.forEach(finish);
  };
  const expire = (wait: DurabilityWait): void => {
    if (!waits.includes(wait)) return;
    waits = waits.filter((other) => other !== wait);
    report('not acknowledged: neither the store nor enough peers have the record', wait);
  };
  return {
    add: (revision, run) => {
      const wait = { revision, sinceMs: clock.now(), run };
      waits.push(wait);
      clock.schedule(STORE_WAIT_MS, check);
      clock.schedule(MAX_WAIT_MS, () => {
        expire(wait);
      });
      check();
    },
    setWrittenRevision: (revision) => {
      writtenRevision = revision;
      check();
    },
    check,
  };
}
