import {
  advanceFencingTokens,
  createFencingTokens,
  recordAcceptedToken,
  takeFencingToken,
} from '../../policy/fencingTokens.js';
import { findPublishedTargetFault } from '../../policy/ownTarget.js';
import { isWriteOfEra } from '../../policy/storeEra.js';
import type { StoreEra } from '../../policy/storeEra.js';
import { isStoreReadByFew } from '../../policy/storeReaders.js';
import type { StoreWrite } from '../../schema/keyedStore.js';
import type { NodeMember } from '../../schema/nodeMember.js';
import type { RequestContext } from './context.js';
import type { DurabilityWaits } from './durabilityWaits.js';
import { isHistoryKnown } from './hostHistory.js';
import type { RequestBoard } from './sections.js';
import { observeStoreEra, STORE_SOURCE } from './storeReading.js';

/** Mean pause before a failed write to the store is retried (ms). */
export const WRITE_RETRY_MS = 400;
/**
 * Time after its start in which a node of a large fleet waits for its target before it writes its record (ms), so that one
 * write suffices.
 */
export const FIRST_WRITE_WAIT_MS = 2500;

/** Keeps this node's own record in the platform's store up to date. */
export interface OwnRecordWriter {
  /** Writes the record unless the store has its last revision. */
  write(): void;
  /**
   * Notes what the store has under the key of this host at an offset; undefined for a deletion or a malformed record. The last
   * record counts, whatever was written before it: a store may carry out a write without a response over a newer one. The next
   * `write` writes the present record again if the store has another one.
   */
  observe(record: NodeMember | undefined, offset: number): void;
  /** Writes the record again, since the store has lost what was written after the copy that it was restored from. */
  restart(): void;
  stop(): void;
}

/** True when what was written or deleted is part of the records that the store has now. */
export function isInStore(board: RequestBoard, outcome: StoreWrite, begun: StoreEra): boolean {
  const received = outcome.type === 'unknown' ? undefined : outcome.era;
  observeStoreEra(board, received, STORE_SOURCE);
  return outcome.type === 'written' && isWriteOfEra({ begun, received, known: board.read('store').era });
}

/** Creates the writer of the record in the section `members`; tells `durability` which revisions the store has. */
export function createOwnRecordWriter(context: RequestContext, durability: DurabilityWaits): OwnRecordWriter {
  const { board, clock, random, io } = context;
  const startedAtMs = clock.now();
  const tokens = createFencingTokens();
  let writtenRevision = -1;
  /** Offset of the last record under the key of this host that this process knows of; -1 if there is none. */
  let lastOffset = -1;
  let hasWritten = false;
  let isWriting = false;
  /** The revision that was refused, until its next attempt is due. */
  let failedRevision = -1;
  let cancelRetry = (): void => undefined;
  let isStopped = false;

  /** The first record replaces that of an earlier process, so it has to say what that one said of the target. */
  const isFirstWriteDelayed = (): boolean => {
    const { self, previousTarget, byHost } = board.read('members');
    if (hasWritten) return false;
    if (!isHistoryKnown(board, clock.now())) return true;
    if (self.target !== undefined) return false;
    // What cannot be restored is not waited for.
    const isRestorable =
      previousTarget !== undefined &&
      findPublishedTargetFault(previousTarget, board.read('settings').current) === undefined;
    if (isRestorable) return true;
    const isUnused = self.departures === undefined && isStoreReadByFew(byHost);
    return isUnused && clock.now() - startedAtMs < FIRST_WRITE_WAIT_MS;
  };
  const setWrittenRevision = (revision: number): void => {
    writtenRevision = revision;
    durability.setWrittenRevision(revision);
  };
  const observeWritten = (revision: number, outcome: StoreWrite): void => {
    const offset = outcome.type === 'written' ? outcome.offset : undefined;
    // A later record was read before the response arrived.
    if (offset !== undefined && offset < lastOffset) return;
    lastOffset = offset ?? lastOffset;
    setWrittenRevision(revision);
  };
  const write = (): void => {
    const { self } = board.read('members');
    if (isWriting || isStopped || failedRevision === self.revision || writtenRevision >= self.revision) return;
    if (isFirstWriteDelayed()) return;
    isWriting = true;
    const begun = board.read('store').era;
    const fencingToken = takeFencingToken(tokens, self.startedAtMs);
    io.writeMember({ member: self as NodeMember, fencingToken }, (outcome) => {
      isWriting = false;
      if (outcome.type === 'written') {
        hasWritten = true;
        recordAcceptedToken(tokens);
      } else if (outcome.type === 'fenced') advanceFencingTokens(tokens);
      if (isInStore(board, outcome, begun)) observeWritten(self.revision, outcome);
      else if (begun === board.read('store').era) {
        scheduleRetry(self.revision, fencingToken, outcome);
        return;
      }
      write();
    });
  };
  const scheduleRetry = (revision: number, fencingToken: number, outcome: StoreWrite): void => {
    const detail = outcome.type === 'written' ? 'response of an earlier era' : outcome.detail;
    const inputs = { revision, fencingToken, detail };
    board.post('decisions', { kind: 'storeChanged', outcome: `own record ${outcome.type}`, inputs });
    cancelRetry();
    cancelRetry = clock.schedule(WRITE_RETRY_MS * (0.5 + random()), () => {
      failedRevision = -1;
      write();
    });
    failedRevision = revision;
  };
  return {
    write,
    observe: (record, offset) => {
      if (offset <= lastOffset) return;
      lastOffset = offset;
      const { incarnation, revision } = board.read('members').self;
      const isOwn = record?.incarnation === incarnation && record.revision <= revision;
      const storedRevision = isOwn ? record.revision : -1;
      if (storedRevision < writtenRevision) {
        const inputs = { offset, storedRevision, writtenRevision, incarnation: record?.incarnation };
        board.post('decisions', { kind: 'storeChanged', outcome: 'own record replaced in the store', inputs });
      }
      setWrittenRevision(storedRevision);
    },
    restart: () => {
      lastOffset = -1;
      cancelRetry();
      failedRevision = -1;
      setWrittenRevision(-1);
      write();
    },
    stop: () => {
      isStopped = true;
    },
  };
}
