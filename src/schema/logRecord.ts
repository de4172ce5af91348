import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** A published change of one service's document. Its version is the log offset of this record. */
export const changeRecordSchema = Type.Object({
  kind: Type.Literal('change'),
  changeId: Type.String({ minLength: 1, maxLength: 64 }),
  service: Type.String({ minLength: 1, maxLength: 64 }),
  /** The version that the operator edited; 0 for a new service. */
  baseVersion: Type.Integer({ minimum: 0 }),
  operator: Type.String({ maxLength: 128 }),
  /** Validated by the fold and not by the record schema, so that an invalid document is rejected by name. */
  document: Type.Unknown(),
});
export type ChangeRecord = Static<typeof changeRecordSchema>;

/** One accepted document with the version that it has. */
export const acceptedDocumentSchema = Type.Object({
  service: Type.String(),
  version: Type.Integer({ minimum: 1 }),
  changeId: Type.String(),
  operator: Type.String(),
  document: Type.Unknown(),
});
export type AcceptedDocument = Static<typeof acceptedDocumentSchema>;

/** The folded state of the log up to and including an offset, which any node may append. */
export const snapshotRecordSchema = Type.Object({
  kind: Type.Literal('snapshot'),
  upTo: Type.Integer({ minimum: 0 }),
  documents: Type.Array(acceptedDocumentSchema),
  /** Change ids decided lately, in the order of the log: id, offset that decided it, whether it was accepted. */
  recentChangeIds: Type.Array(Type.Tuple([Type.String(), Type.Integer(), Type.Boolean()])),
  /** Host that wrote it. */
  author: Type.String({ maxLength: 255 }),
  /** Offsets of earlier snapshots that the writer found wrong by its own fold. */
  refutes: Type.Array(Type.Integer({ minimum: 1 }), { maxItems: 64 }),
  /** SHA-256 of `upTo`, `documents` and `recentChangeIds` in canonical JSON. */
  digest: Type.String({ maxLength: 64 }),
});
export type SnapshotRecord = Static<typeof snapshotRecordSchema>;

export const logRecordSchema = Type.Union([changeRecordSchema, snapshotRecordSchema]);
export type LogRecord = Static<typeof logRecordSchema>;

/** One record as the platform's log returns it. `value` is whatever was appended and may be malformed. */
export const logEntrySchema = Type.Object({
  offset: Type.Integer({ minimum: 1 }),
  appendedAtMs: Type.Number(),
  value: Type.Unknown(),
});
export type LogEntry = Static<typeof logEntrySchema>;

/** What one read returns. Offsets start at 1; `oldestOffset` is the oldest record still kept. */
export const logPageSchema = Type.Object({
  entries: Type.Array(logEntrySchema),
  oldestOffset: Type.Integer({ minimum: 1 }),
  nextOffset: Type.Integer({ minimum: 1 }),
});
export type LogPage = Static<typeof logPageSchema>;

export const logAppendAnswerSchema = Type.Object({ offset: Type.Integer({ minimum: 1 }) });

/** What a read of the log comes to. */
export const logReadOutcomeSchema = Type.Union([
  Type.Object({ type: Type.Literal('page'), page: logPageSchema }),
  Type.Object({ type: Type.Literal('unavailable'), message: Type.String() }),
]);
export type LogReadOutcome = Static<typeof logReadOutcomeSchema>;

/** What an append comes to: `unavailable` was not written; `unknown` may have been, its answer was lost. */
export const logAppendOutcomeSchema = Type.Union([
  Type.Object({ type: Type.Literal('appended'), offset: Type.Integer() }),
  Type.Object({ type: Type.Literal('unavailable'), message: Type.String() }),
  Type.Object({ type: Type.Literal('unknown'), message: Type.String() }),
]);
export type LogAppendOutcome = Static<typeof logAppendOutcomeSchema>;

/** What a node knows of the platform's log. Only gateways read it; the others stay `unread`. */
export const logStateSchema = Type.Object({
  state: Type.Union([Type.Literal('unread'), Type.Literal('up'), Type.Literal('down')]),
  /** Wall time (ms) of the last change of `state`. */
  sinceMs: Type.Number(),
  message: Type.String(),
  /** False while records that the state depends on are missing and no snapshot covers them. */
  isComplete: Type.Boolean(),
  /** Retention that snapshots are timed by (ms), from the settings. */
  retentionMs: Type.Number(),
  /** Offset of the newest sound snapshot that was read; 0 when there was none. */
  lastSnapshotOffset: Type.Integer({ minimum: 0 }),
});
export type LogState = Static<typeof logStateSchema>;
