import { createHash } from 'node:crypto';
import { snapshotRecordSchema } from '../schema/logRecord.js';
import type { LogEntry, SnapshotRecord } from '../schema/logRecord.js';
import type { ServiceConfiguration } from '../schema/serviceConfiguration.js';
import { compileSchema } from '../schema/validate.js';
import { formatCanonical } from './canonicalJson.js';
import { createFoldState, validateServiceDocument } from './configurationFold.js';
import type { FoldState } from './configurationFold.js';

const snapshotValidator = compileSchema(snapshotRecordSchema);

/**
 * Builds a snapshot record, which allows a reader to start without the earlier records.
 *
 * @example
 * appendLog(buildSnapshot(reader.fold, { author: settings.host }), done);
 */
export function buildSnapshot(
  fold: FoldState,
  options: {
    author: string;
    /** Offsets of snapshots that the author found wrong. */
    refutes?: readonly number[];
  },
): SnapshotRecord {
  const documents = [...fold.documents]
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([service, folded]) => ({ service, ...folded }));
  const recentChangeIds = [...fold.decided].map(([changeId, { offset, isAccepted }]): [string, number, boolean] => [
    changeId,
    offset,
    isAccepted,
  ]);
  const content = { upTo: fold.appliedOffset, documents, recentChangeIds };
  const { author, refutes = [] } = options;
  return { kind: 'snapshot', ...content, author, refutes: [...refutes], digest: computeDigest(content) };
}

/**
 * Parses the snapshot in a log record. Returns undefined when the record is not a snapshot or is inconsistent: a wrong
 * digest, an invalid document or a version after the end of the snapshot.
 */
export function parseSnapshot(entry: LogEntry): SnapshotRecord | undefined {
  const { offset, value } = entry;
  if (!snapshotValidator.isValid(value) || value.upTo >= offset) return undefined;
  const services = new Set(value.documents.map(({ service }) => service));
  const isConsistent =
    services.size === value.documents.length &&
    value.documents.every(({ version }) => version <= value.upTo) &&
    value.recentChangeIds.every(([, decidedAt]) => decidedAt <= value.upTo) &&
    value.documents.every(({ service, document }) => validateServiceDocument(service, document).length === 0);
  // Only valid documents are sure to have a canonical form.
  return isConsistent && value.digest === computeDigest(value) ? value : undefined;
}

/** Creates the fold state from a snapshot. */
export function createFoldFromSnapshot(snapshot: SnapshotRecord): FoldState {
  const fold = createFoldState();
  fold.appliedOffset = snapshot.upTo;
  for (const { service, version, changeId, operator, document } of snapshot.documents) {
    fold.documents.set(service, { version, changeId, operator, document: document as ServiceConfiguration });
  }
  for (const [changeId, offset, isAccepted] of snapshot.recentChangeIds) {
    fold.decided.set(changeId, { offset, isAccepted });
  }
  return fold;
}

/**
 * Compares a snapshot with the state of a reader that has applied at least the records up to the end of the snapshot.
 *
 * @returns A description of the difference for the operator; undefined when the snapshot is right.
 */
export function findSnapshotFault(fold: FoldState, snapshot: SnapshotRecord): string | undefined {
  const expected = listVersionsAt(fold, snapshot.upTo);
  const found = new Map(snapshot.documents.map((document) => [document.service, document]));
  for (const [service, { version, changeId }] of expected) {
    const other = found.get(service);
    if (other?.version !== version || other.changeId !== changeId) {
      return `in the snapshot ${service} has version ${other?.version ?? 'none'}, but version ${version} was in force`;
    }
    const local = fold.documents.get(service);
    if (local?.version === version && formatCanonical(local.document) !== formatCanonical(other.document)) {
      return `the document of ${service} in the snapshot differs from version ${version}`;
    }
  }
  for (const service of found.keys()) {
    if (!expected.has(service)) return `the snapshot contains ${service}, for which no change was accepted`;
  }
  return findDecisionFault(fold, snapshot);
}

function listVersionsAt(fold: FoldState, upTo: number): Map<string, { version: number; changeId: string }> {
  const versions = new Map<string, { version: number; changeId: string }>();
  for (const replaced of fold.replaced) {
    if (replaced.version <= upTo) versions.set(replaced.service, replaced);
  }
  for (const [service, folded] of fold.documents) {
    if (folded.version <= upTo) versions.set(service, folded);
  }
  return versions;
}

function findDecisionFault(fold: FoldState, snapshot: SnapshotRecord): string | undefined {
  for (const [changeId, offset, isAccepted] of snapshot.recentChangeIds) {
    const local = fold.decided.get(changeId);
    if (local !== undefined && (local.offset !== offset || local.isAccepted !== isAccepted)) {
      return `the snapshot has another decision on change ${changeId}`;
    }
  }
  return undefined;
}

function computeDigest({
  upTo,
  documents,
  recentChangeIds,
}: Pick<SnapshotRecord, 'upTo' | 'documents' | 'recentChangeIds'>): string {
  const text = formatCanonical([upTo, documents, recentChangeIds]);
  return createHash('sha256').update(text).digest('hex');
}
