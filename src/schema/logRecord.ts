import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** A published change of a service's document. The version of the document is the log offset of this record. */
export const changeRecordSchema = Type.Object({
  kind: Type.Literal('change'),
  changeId: Type.String({ minLength: 1, maxLength: 64 }),
  service: Type.String({ minLength: 1, maxLength: 64 }),
  /** Version of the document that the operator edited; 0 for a new service. */
  baseVersion: Type.Integer({ minimum: 0 }),
  operator: Type.String({ maxLength: 128 }),
  /** Validated when the record is applied, not by this schema, so that the rejection can name service and change. */
  document: Type.Unknown(),
});
export type ChangeRecord = Static<typeof changeRecordSchema>;

/** An accepted document with its version. */
export const acceptedDocumentSchema = Type.Object({
  service: Type.String(),
  version: Type.Integer({ minimum: 1 }),
  changeId: Type.String(),
  operator: Type.String(),
  document: Type.Unknown(),
});
export type AcceptedDocument = Static<typeof acceptedDocumentSchema>;

/** State of the log up to and including an offset; any node may append one. */
export const snapshotRecordSchema = Type.Object({
  kind: Type.Literal('snapshot'),
  upTo: Type.Integer({ minimum: 0 }),
  documents: Type.Array(acceptedDocumentSchema),
  /** Recently decided changes in log order: change id, offset of the deciding record, whether it was accepted. */
  recentChangeIds: Type.Array(Type.Tuple([Type.String(), Type.Integer(), Type.Boolean()])),
  /** Host that wrote the snapshot. */
  author: Type.String({ maxLength: 255 }),
  /** Offsets of earlier snapshots that differ from the state computed by the author. */
  refutes: Type.Array(Type.Integer({ minimum: 1 }), { maxItems: 64 }),
  /** SHA-256 of `upTo`, `documents` and `recentChangeIds` in canonical JSON. */
  digest: Type.String({ maxLength: 64 }),
});
export type SnapshotRecord = Static<typeof snapshotRecordSchema>;

export const logRecordSchema = Type.Union([changeRecordSchema, snapshotRecordSchema]);
export type LogRecord = Static<typeof logRecordSchema>;

/** One record as returned by the platform's log. `value` is not validated and may be malformed. */
export const logEntrySchema = Type.Object({
  offset: Type.Integer({ minimum: 1 }),
  appendedAtMs: Type.Number(),
  value: Type.Unknown(),
});
export type LogEntry = Static<typeof logEntrySchema>;

/** Result of one read. Offsets start at 1; `oldestOffset` is the offset of the oldest retained record. */
export const logPageSchema = Type.Object({
  entries: Type.Array(logEntrySchema),
  oldestOffset: Type.Integer({ minimum: 1 }),
  nextOffset: Type.Integer({ minimum: 1 }),
});
export type LogPage = Static<typeof logPageSchema>;

export const logAppendAnswerSchema = Type.Object({ offset: Type.Integer({ minimum: 1 }) });

/** Outcome of a read from the log. */
export const logReadOutcomeSchema = Type.Union([
  Type.Object({ type: Type.Literal('page'), page: logPageSchema }),
  Type.Object({ type: Type.Literal('unavailable'), message: Type.String() }),
]);
export type LogReadOutcome = Static<typeof logReadOutcomeSchema>;

/** Outcome of an append. `unavailable`: not written; `unknown`: may have been written, no answer was received. */
export const logAppendOutcomeSchema = Type.Union([
  Type.Object({ type: Type.Literal('appended'), offset: Type.Integer() }),
  Type.Object({ type: Type.Literal('unavailable'), message: Type.String() }),
  Type.Object({ type: Type.Literal('unknown'), message: Type.String() }),
]);
export type LogAppendOutcome = Static<typeof logAppendOutcomeSchema>;

/**
 * State of the platform's log as seen by a node. Only gateways, the nodes that link their data centre to others, read
 * the log; at other nodes the state stays `unread`.
 */
export const logStateSchema = Type.Object({
  state: Type.Union([Type.Literal('unread'), Type.Literal('up'), Type.Literal('down')]),
  /** Wall time (ms) of the last change of `state`. */
  sinceMs: Type.Number(),
  message: Type.String(),
  /** False while records that the configuration depends on are missing and not covered by a snapshot. */
  isComplete: Type.Boolean(),
  /** Retention of the log from the settings (ms); determines how often snapshots are written. */
  retentionMs: Type.Number(),
  /** Offset of the newest valid snapshot that was read; 0 if there was none. */
  lastSnapshotOffset: Type.Integer({ minimum: 0 }),
});
export type LogState = Static<typeof logStateSchema>;
