import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** Time of a hybrid logical clock: wall time (ms) and a counter that orders events of the same wall time. */
export const hybridTimeSchema = Type.Object({ wallMs: Type.Number(), counter: Type.Integer({ minimum: 0 }) });
export type HybridTime = Static<typeof hybridTimeSchema>;

export const eventKindSchema = Type.Union([
  Type.Literal('callAccepted'),
  Type.Literal('callAnswered'),
  Type.Literal('callRefused'),
  Type.Literal('callRetried'),
  Type.Literal('callStarted'),
  Type.Literal('callCancelled'),
  Type.Literal('targetAnnounced'),
  Type.Literal('targetChanged'),
  Type.Literal('targetCrashed'),
  Type.Literal('limitChanged'),
  Type.Literal('sheddingChanged'),
  Type.Literal('routeEjected'),
  Type.Literal('routeRestored'),
  Type.Literal('memberChanged'),
  Type.Literal('linkChanged'),
  Type.Literal('configurationApplied'),
  Type.Literal('configurationRejected'),
  Type.Literal('logChanged'),
  Type.Literal('snapshotWritten'),
  Type.Literal('quarantineChanged'),
  Type.Literal('ticketDecided'),
  Type.Literal('nodeStarted'),
  Type.Literal('nodeStopping'),
  Type.Literal('pauseDetected'),
]);
export type EventKind = Static<typeof eventKindSchema>;

/** One event of the timeline. */
export const eventSchema = Type.Object({
  time: hybridTimeSchema,
  host: Type.String(),
  kind: eventKindSchema,
  requestId: Type.Optional(Type.String()),
  service: Type.Optional(Type.String()),
  operation: Type.Optional(Type.String()),
  priority: Type.Optional(Type.String()),
  data: Type.Optional(Type.Record(Type.String(), Type.Union([Type.String(), Type.Number(), Type.Boolean()]))),
});
export type TimelineEvent = Static<typeof eventSchema>;
