import type { LogEntry, LogPage, SnapshotRecord } from '../schema/logRecord.js';
import { applyEntry, createFoldState, DECISION_RETENTION_OFFSETS } from './configurationFold.js';
import type { PublishedDocument, FoldState, Verdict } from './configurationFold.js';
import { createFoldFromSnapshot, findSnapshotFault, parseSnapshot } from './snapshot.js';

/** State of one reader of the configuration log. */
export interface LogReader {
  /** State folded from the records; decides changes only while `isComplete`. */
  state: FoldState;
  /** True when no record that the state depends on was missed. */
  isComplete: boolean;
  /** Last offset read. */
  readUpTo: number;
  /** Records read since the last gap, buffered until a snapshot covers all records before them. */
  bufferedEntries: LogEntry[];
  /** Offset after which all records are buffered. */
  bufferedAfter: number;
  /**
   * Snapshot from which the state was restored (offset 0: from a peer); undefined when folded from the first record.
   */
  adopted: { offset: number; upTo: number; author: string } | undefined;
  /** True when folded from the first record, or when a snapshot by another author matched the state. */
  isConfirmed: boolean;
  lastSnapshot: { offset: number; appendedAtMs: number } | undefined;
  /** Offsets of snapshots that confirmed readers reported as wrong. */
  refuted: Set<number>;
}

/** Result of checking one snapshot. */
export interface SnapshotVerdict {
  type: 'adopted' | 'verified' | 'wrong' | 'older';
  offset: number;
  author: string;
  /** Description of the error; only for `wrong`. */
  fault?: string;
}

/**
 * Result of applying a page. `restarted`: the log ends before an offset that was already read, so the page is not used.
 */
export type PageOutcome =
  { type: 'applied'; verdicts: Verdict[]; snapshots: SnapshotVerdict[] } | { type: 'restarted'; message: string };

/** Options of `applyPage`. */
export interface ApplyPageOptions {
  /** Versions in force at this node, from any source; a snapshot that lacks one of them is wrong. */
  knownVersions?: ReadonlyMap<string, { version: number }>;
  /** Host of the reader; its own snapshots do not confirm its state. */
  self?: string;
  /** Maximum number of buffered records. Default: 16,384. */
  maxBuffered?: number;
}

/** Default of `maxBuffered`. */
const MAX_BUFFERED_ENTRIES = 16_384;

/** Creates a reader at the start of the log. */
export function createLogReader(): LogReader {
  return {
    state: createFoldState(),
    isComplete: true,
    readUpTo: 0,
    bufferedEntries: [],
    bufferedAfter: 0,
    adopted: undefined,
    isConfirmed: true,
    lastSnapshot: undefined,
    refuted: new Set(),
  };
}

/**
 * Applies one page of the log. If records expired before they were read, the reader buffers the following records until
 * a snapshot covers the expired ones.
 *
 * @example
 * const outcome = applyPage(reader, page);
 * readLog(reader.readUpTo + 1, handlePage);
 */
export function applyPage(reader: LogReader, page: LogPage, options: ApplyPageOptions = {}): PageOutcome {
  if (page.nextOffset <= reader.readUpTo) {
    const message = `the log ends before offset ${page.nextOffset}, but offset ${reader.readUpTo} was read from it before`;
    return { type: 'restarted', message };
  }
  if (page.oldestOffset > reader.readUpTo + 1) startGap(reader, page.oldestOffset);
  const verdicts: Verdict[] = [];
  const snapshots: SnapshotVerdict[] = [];
  for (const entry of page.entries) {
    if (entry.offset <= reader.readUpTo) continue;
    reader.readUpTo = entry.offset;
    const snapshot = parseSnapshot(entry);
    if (snapshot !== undefined) reader.lastSnapshot = { offset: entry.offset, appendedAtMs: entry.appendedAtMs };
    if (reader.isComplete) {
      verdicts.push(applyEntry(reader.state, entry));
      if (snapshot === undefined) continue;
      if (isRefuted(reader, snapshot)) {
        restartReader(reader);
        break;
      }
      snapshots.push(verifySnapshot(reader, entry.offset, snapshot, options.self));
    } else {
      addBufferedEntry(reader, entry, options.maxBuffered ?? MAX_BUFFERED_ENTRIES);
      if (snapshot === undefined) continue;
      const verdict = checkAdoption(reader, entry.offset, snapshot, options.knownVersions);
      snapshots.push(verdict);
      if (verdict.type === 'adopted') verdicts.push(...applySnapshot(reader, entry.offset, snapshot));
    }
  }
  return { type: 'applied', verdicts, snapshots };
}

/**
 * Restores the state from the documents of a peer if they cover the records that expired before they were read. The
 * decided change ids are not part of it, which only turns `repeated` verdicts into `rejected` ones.
 *
 * @returns The verdicts on the buffered records; undefined when the documents do not cover the expired records.
 */
export function applyPeerState(
  reader: LogReader,
  documents: ReadonlyMap<string, PublishedDocument>,
  upTo: number,
): Verdict[] | undefined {
  if (reader.isComplete || upTo < reader.bufferedAfter || upTo < reader.state.appliedOffset) return undefined;
  const fold = createFoldState();
  fold.appliedOffset = upTo;
  for (const [service, folded] of documents) fold.documents.set(service, folded);
  return adoptFold(reader, fold, { offset: 0, upTo, author: '' });
}

function startGap(reader: LogReader, oldestOffset: number): void {
  reader.isComplete = false;
  reader.bufferedEntries = [];
  reader.bufferedAfter = oldestOffset - 1;
  reader.readUpTo = oldestOffset - 1;
}

function addBufferedEntry(reader: LogReader, entry: LogEntry, maxBuffered: number): void {
  reader.bufferedEntries.push(entry);
  if (reader.bufferedEntries.length > maxBuffered)
    reader.bufferedAfter = reader.bufferedEntries.shift()?.offset ?? reader.bufferedAfter;
}

function checkAdoption(
  reader: LogReader,
  offset: number,
  snapshot: SnapshotRecord,
  knownVersions: ApplyPageOptions['knownVersions'],
): SnapshotVerdict {
  const { author, upTo } = snapshot;
  if (reader.refuted.has(offset)) return { type: 'wrong', offset, author, fault: 'refuted by another reader' };
  if (upTo < reader.bufferedAfter || upTo < reader.state.appliedOffset) return { type: 'older', offset, author };
  const versions = new Map(snapshot.documents.map(({ service, version }) => [service, version]));
  for (const [service, { version }] of [...reader.state.documents, ...(knownVersions ?? [])]) {
    if (version <= upTo && (versions.get(service) ?? 0) < version) {
      const fault = `in the snapshot ${service} has version ${versions.get(service) ?? 'none'}, but version ${version} is in force`;
      return { type: 'wrong', offset, author, fault };
    }
  }
  return { type: 'adopted', offset, author };
}

function applySnapshot(reader: LogReader, offset: number, snapshot: SnapshotRecord): Verdict[] {
  const { upTo, author } = snapshot;
  return adoptFold(reader, createFoldFromSnapshot(snapshot), { offset, upTo, author });
}

function adoptFold(reader: LogReader, fold: FoldState, adopted: NonNullable<LogReader['adopted']>): Verdict[] {
  reader.state = fold;
  reader.isComplete = true;
  reader.isConfirmed = false;
  reader.adopted = adopted;
  reader.readUpTo = Math.max(reader.readUpTo, adopted.upTo);
  const { bufferedEntries } = reader;
  reader.bufferedEntries = [];
  return bufferedEntries.map((entry) => applyEntry(reader.state, entry));
}

function verifySnapshot(
  reader: LogReader,
  offset: number,
  snapshot: SnapshotRecord,
  self: string | undefined,
): SnapshotVerdict {
  const { author, upTo } = snapshot;
  const knownFrom = Math.max(reader.adopted?.upTo ?? 0, reader.state.appliedOffset - DECISION_RETENTION_OFFSETS);
  if (upTo < knownFrom) return { type: 'older', offset, author };
  const fault = findSnapshotFault(reader.state, snapshot);
  if (fault !== undefined) return { type: 'wrong', offset, author, fault };
  if (author !== reader.adopted?.author && author !== self) reader.isConfirmed = true;
  return { type: 'verified', offset, author };
}

/** Records the refuted offsets. True when they include the snapshot from which this unconfirmed state was restored. */
function isRefuted(reader: LogReader, { refutes }: SnapshotRecord): boolean {
  for (const offset of refutes) reader.refuted.add(offset);
  return reader.adopted !== undefined && !reader.isConfirmed && reader.refuted.has(reader.adopted.offset);
}

/** Resets the reader to the start of the log; the refuted snapshots will not be adopted again. */
function restartReader(reader: LogReader): void {
  const { refuted } = reader;
  Object.assign(reader, createLogReader(), { refuted });
}
