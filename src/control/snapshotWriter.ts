import type { CancelScheduled } from '../core/clock.js';
import { createFoldState } from '../policy/configurationFold.js';
import type { PublishedDocument, FoldState } from '../policy/configurationFold.js';
import type { LogReader } from '../policy/logReader.js';
import { buildSnapshot } from '../policy/snapshot.js';
import type { ControllerContext } from './context.js';

/** Appends snapshots of the folded log to the log when they are due. */
export interface SnapshotWriter {
  /** Schedules a snapshot after a random delay if one is due. */
  update(): void;
  /** Records that the snapshot at this offset is wrong, so that the next snapshot refutes it. */
  refute(offset: number): void;
  stop(): void;
}

/** Maximum age of the last snapshot, as a share of the retention. */
const DUE_SHARE = 1 / 4;
/** The same for a reader whose state is unconfirmed, so that confirmed readers write first. */
const UNCONFIRMED_DUE_SHARE = 1 / 2;
/** Maximum random delay as a share of the retention. Of several writers with a due snapshot, the first one writes. */
const DELAY_SHARE = 1 / 32;
/**
 * If expired records leave this reader without a complete state for this share of the retention, no other reader is
 * complete either: it would have written two snapshots by then. The documents in force here then become the state.
 */
const RECOVERY_TIMEOUT_SHARE = 1 / 2;
/** Maximum number of wrong snapshots that one snapshot names; the latest are named. */
const MAX_REFUTED = 64;
/** Short, since a reader that starts before a wrong snapshot is refuted may adopt it. */
const REFUTE_DELAY_MS = 2000;

/** Creates a writer of snapshots of the state of a log reader. */
export function createSnapshotWriter(
  context: ControllerContext,
  reader: LogReader,
  options: {
    canWrite: () => boolean;
    /** Documents in force at this node, from the log or from peers. */
    documents: ReadonlyMap<string, PublishedDocument>;
  },
): SnapshotWriter {
  const { board, clock, io, random, settings } = context;
  const retentionMs = settings.logRetentionMs;
  /** Offsets of wrong snapshots. Those that the log already refutes are not refuted again. */
  const wrongOffsets = new Set<number>();
  let cancelPending: CancelScheduled | undefined;

  const listRefuted = (): number[] =>
    [...wrongOffsets].filter((offset) => !reader.refuted.has(offset)).slice(-MAX_REFUTED);
  let lastCompleteMs = clock.now();
  const chooseFold = (): FoldState => {
    if (reader.isComplete) return reader.state;
    const versions = [...options.documents.values()].map(({ version }) => version);
    return {
      ...createFoldState(),
      appliedOffset: Math.max(reader.bufferedAfter, ...versions),
      documents: new Map(options.documents),
    };
  };
  const isDue = (): boolean => {
    if (!options.canWrite()) return false;
    if (!reader.isComplete) return clock.now() - lastCompleteMs >= retentionMs * RECOVERY_TIMEOUT_SHARE;
    if (reader.state.appliedOffset === 0) return false;
    const last = reader.lastSnapshot;
    if (listRefuted().length > 0) return true;
    const dueMs = retentionMs * (reader.isConfirmed ? DUE_SHARE : UNCONFIRMED_DUE_SHARE);
    return last === undefined || clock.wallTime() - last.appendedAtMs >= dueMs;
  };
  const writeSnapshot = (): void => {
    cancelPending = undefined;
    if (!isDue() || io.appendLog === undefined) return;
    const snapshot = buildSnapshot(chooseFold(), { author: settings.host, refutes: listRefuted() });
    // After a failed append the next update retries; a duplicate snapshot after a lost response does no harm.
    io.appendLog(snapshot, (outcome) => {
      if (outcome.type !== 'appended') return;
      board.post('events', { kind: 'snapshotWritten', data: { offset: outcome.offset, upTo: snapshot.upTo } });
    });
  };
  return {
    update: () => {
      if (reader.isComplete || !options.canWrite()) lastCompleteMs = clock.now();
      if (cancelPending !== undefined || !isDue()) return;
      const delayMs = listRefuted().length > 0 ? REFUTE_DELAY_MS : retentionMs * DELAY_SHARE;
      cancelPending = clock.schedule(random() * delayMs, writeSnapshot);
    },
    refute: (offset) => {
      if (reader.isConfirmed) wrongOffsets.add(offset);
    },
    stop: () => {
      cancelPending?.();
      cancelPending = undefined;
    },
  };
}
