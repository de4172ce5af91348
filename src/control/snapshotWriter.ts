import type { CancelScheduled } from '../core/clock.js';
import { createFoldState } from '../policy/configurationFold.js';
import type { FoldedDocument, FoldState } from '../policy/configurationFold.js';
import type { LogReader } from '../policy/logReader.js';
import { buildSnapshot } from '../policy/snapshot.js';
import type { ControllerContext } from './context.js';

/** Appends snapshots when they are due. */
export interface SnapshotWriter {
  /** Looks whether one is due, and schedules it after a random delay. */
  update(): void;
  /** Notes a snapshot that the own fold contradicts, so that the next one names it. */
  refute(offset: number): void;
  stop(): void;
}

const DUE_SHARE = 1 / 4;
/** A reader whose state nobody confirmed leaves the writing to others for this long. */
const UNCONFIRMED_DUE_SHARE = 1 / 2;
/** Writers that find a snapshot due at once spread over this share of the retention; the first one satisfies all. */
const DELAY_SHARE = 1 / 32;
/**
 * When expired records leave the log without a complete state for this share of the retention, no complete reader is
 * left: it would have written a snapshot twice by then. What is in force becomes the state.
 */
const RECOVERY_TIMEOUT_SHARE = 1 / 2;
const MAX_REFUTED = 64;
/** A wrong snapshot is contradicted soon: a reader that starts meanwhile may take it over. */
const REFUTE_DELAY_MS = 2000;

/** Creates the writer of snapshots over the state of a log reader. */
export function createSnapshotWriter(
  context: ControllerContext,
  reader: LogReader,
  options: {
    canWrite: () => boolean;
    /** What is in force at this node, from whatever source. */
    documents: ReadonlyMap<string, FoldedDocument>;
  },
): SnapshotWriter {
  const { board, clock, io, random, settings } = context;
  const retentionMs = settings.logRetentionMs;
  /** Snapshots that the own fold contradicts; those that the log's readers know of are not named again. */
  const wrongOffsets = new Set<number>();
  let cancelPending: CancelScheduled | undefined;

  const listRefuted = (): number[] =>
    [...wrongOffsets].filter((offset) => !reader.refuted.has(offset)).slice(-MAX_REFUTED);
  let lastCompleteMs = clock.now();
  const chooseFold = (): FoldState => {
    if (reader.isComplete) return reader.fold;
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
    if (reader.fold.appliedOffset === 0) return false;
    const last = reader.lastSnapshot;
    if (listRefuted().length > 0) return true;
    const dueMs = retentionMs * (reader.isConfirmed ? DUE_SHARE : UNCONFIRMED_DUE_SHARE);
    return last === undefined || clock.wallTime() - last.appendedAtMs >= dueMs;
  };
  const writeSnapshot = (): void => {
    cancelPending = undefined;
    if (!isDue() || io.appendLog === undefined) return;
    const snapshot = buildSnapshot(chooseFold(), { author: settings.host, refutes: listRefuted() });
    // The next update writes again when the append failed; two snapshots after a lost answer do no harm.
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
