import type { LogEntry, LogPage, SnapshotRecord } from '../schema/logRecord.js';
import { applyEntry, createFoldState, DECISION_RETENTION_OFFSETS } from './configurationFold.js';
import type { FoldedDocument, FoldState, Verdict } from './configurationFold.js';
import { createFoldFromSnapshot, findSnapshot, findSnapshotFault } from './snapshot.js';

/** What one reader of the log holds. */
export interface LogReader {
  /** The folded state; decides changes only while `isComplete`. */
  fold: FoldState;
  /** True when no record that the state depends on is missing. */
  isComplete: boolean;
  /** Last offset read. */
  readUpTo: number;
  /** Records read since the last gap, kept until a snapshot reaches back to the first of them. */
  bufferedEntries: LogEntry[];
  /** Offset after which all records are held. */
  bufferedAfter: number;
  /** The snapshot that the state comes from (offset 0: from peers); undefined when folded from the first record. */
  adopted: { offset: number; upTo: number; author: string } | undefined;
  /** True when folded from the first record, or when a second writer's snapshot agreed with the state. */
  isConfirmed: boolean;
  lastSnapshot: { offset: number; appendedAtMs: number } | undefined;
  /** Offsets of snapshots that a confirmed reader found wrong. */
  refuted: Set<number>;
}

export interface SnapshotVerdict {
  type: 'adopted' | 'verified' | 'wrong' | 'older';
  offset: number;
  author: string;
  /** What is wrong; only for `wrong`. */
  fault?: string;
}

/** What a page came to. `restarted`: the log ends before what was read from it, so nothing of it is used. */
export type PageOutcome =
  { type: 'applied'; verdicts: Verdict[]; snapshots: SnapshotVerdict[] } | { type: 'restarted'; message: string };

export interface ApplyPageOptions {
  /** Versions in force at this node, from whatever source: a snapshot that lacks one of them is wrong. */
  knownVersions?: ReadonlyMap<string, { version: number }>;
  /** The host that reads: its own snapshots confirm nothing. */
  self?: string;
  /** Most records held back. Default: 16,384. */
  maxBuffered?: number;
}

const MAX_HELD = 16_384;

/** Creates a reader that has read nothing. */
export function createLogReader(): LogReader {
  return {
    fold: createFoldState(),
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
 * Applies what one read returned. Records that expired unread make the reader hold back until a snapshot covers them.
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
  if (page.oldestOffset > reader.readUpTo + 1) openGap(reader, page.oldestOffset);
  const verdicts: Verdict[] = [];
  const snapshots: SnapshotVerdict[] = [];
  for (const entry of page.entries) {
    if (entry.offset <= reader.readUpTo) continue;
    reader.readUpTo = entry.offset;
    const snapshot = findSnapshot(entry);
    if (snapshot !== undefined) reader.lastSnapshot = { offset: entry.offset, appendedAtMs: entry.appendedAtMs };
    if (reader.isComplete) {
      verdicts.push(applyEntry(reader.fold, entry));
      if (snapshot === undefined) continue;
      if (isRefuted(reader, snapshot)) {
        restartReader(reader);
        break;
      }
      snapshots.push(verifySnapshot(reader, entry.offset, snapshot, options.self));
    } else {
      addHeldEntry(reader, entry, options.maxBuffered ?? MAX_HELD);
      if (snapshot === undefined) continue;
      const verdict = checkAdoption(reader, entry.offset, snapshot, options.knownVersions);
      snapshots.push(verdict);
      if (verdict.type === 'adopted') verdicts.push(...applySnapshot(reader, entry.offset, snapshot));
    }
  }
  return { type: 'applied', verdicts, snapshots };
}

/**
 * Goes on from the documents that a peer vouches for, when they cover the records that expired unread. Which change ids
 * were decided is not known then; that turns `repeated` verdicts into `rejected` ones and changes nothing else.
 *
 * @returns the verdicts on the records that were held back; undefined when the state does not reach far enough.
 */
export function applyPeerState(
  reader: LogReader,
  documents: ReadonlyMap<string, FoldedDocument>,
  upTo: number,
): Verdict[] | undefined {
  if (reader.isComplete || upTo < reader.bufferedAfter || upTo < reader.fold.appliedOffset) return undefined;
  const fold = createFoldState();
  fold.appliedOffset = upTo;
  for (const [service, folded] of documents) fold.documents.set(service, folded);
  return takeOver(reader, fold, { offset: 0, upTo, author: '' });
}

function openGap(reader: LogReader, oldestOffset: number): void {
  reader.isComplete = false;
  reader.bufferedEntries = [];
  reader.bufferedAfter = oldestOffset - 1;
  reader.readUpTo = oldestOffset - 1;
}

function addHeldEntry(reader: LogReader, entry: LogEntry, maxHeld: number): void {
  reader.bufferedEntries.push(entry);
  if (reader.bufferedEntries.length > maxHeld)
    reader.bufferedAfter = reader.bufferedEntries.shift()?.offset ?? reader.bufferedAfter;
}

function checkAdoption(
  reader: LogReader,
  offset: number,
  snapshot: SnapshotRecord,
  knownVersions: ApplyPageOptions['knownVersions'],
): SnapshotVerdict {
  const { author, upTo } = snapshot;
  if (reader.refuted.has(offset)) return { type: 'wrong', offset, author, fault: 'another reader refuted it' };
  if (upTo < reader.bufferedAfter || upTo < reader.fold.appliedOffset) return { type: 'older', offset, author };
  const versions = new Map(snapshot.documents.map(({ service, version }) => [service, version]));
  for (const [service, { version }] of [...reader.fold.documents, ...(knownVersions ?? [])]) {
    if (version <= upTo && (versions.get(service) ?? 0) < version) {
      const fault = `it gives ${service} version ${versions.get(service) ?? 'none'}, but version ${version} is in force`;
      return { type: 'wrong', offset, author, fault };
    }
  }
  return { type: 'adopted', offset, author };
}

function applySnapshot(reader: LogReader, offset: number, snapshot: SnapshotRecord): Verdict[] {
  const { upTo, author } = snapshot;
  return takeOver(reader, createFoldFromSnapshot(snapshot), { offset, upTo, author });
}

function takeOver(reader: LogReader, fold: FoldState, adopted: NonNullable<LogReader['adopted']>): Verdict[] {
  reader.fold = fold;
  reader.isComplete = true;
  reader.isConfirmed = false;
  reader.adopted = adopted;
  reader.readUpTo = Math.max(reader.readUpTo, adopted.upTo);
  const { bufferedEntries: held } = reader;
  reader.bufferedEntries = [];
  return held.map((entry) => applyEntry(reader.fold, entry));
}

function verifySnapshot(
  reader: LogReader,
  offset: number,
  snapshot: SnapshotRecord,
  self: string | undefined,
): SnapshotVerdict {
  const { author, upTo } = snapshot;
  const knownFrom = Math.max(reader.adopted?.upTo ?? 0, reader.fold.appliedOffset - DECISION_RETENTION_OFFSETS);
  if (upTo < knownFrom) return { type: 'older', offset, author };
  const fault = findSnapshotFault(reader.fold, snapshot);
  if (fault !== undefined) return { type: 'wrong', offset, author, fault };
  if (author !== reader.adopted?.author && author !== self) reader.isConfirmed = true;
  return { type: 'verified', offset, author };
}

/** True when a confirmed reader found the snapshot wrong that this reader's state comes from. */
function isRefuted(reader: LogReader, { refutes }: SnapshotRecord): boolean {
  for (const offset of refutes) reader.refuted.add(offset);
  return reader.adopted !== undefined && !reader.isConfirmed && reader.refuted.has(reader.adopted.offset);
}

/** Reads the log anew from its oldest record, without the snapshots that were refuted. */
function restartReader(reader: LogReader): void {
  const { refuted } = reader;
  Object.assign(reader, createLogReader(), { refuted });
}
