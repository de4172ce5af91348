import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { eventSchema } from './event.js';
import { logStateSchema } from './logRecord.js';
import { memberRecordSchema } from './member.js';
import { limitStateSchema } from './state.js';

/** Status of a node for operators. */
export const nodeStatusSchema = Type.Object({
  host: Type.String(),
  members: Type.Array(memberRecordSchema),
  appliedOffset: Type.Integer(),
  log: logStateSchema,
  versions: Type.Record(Type.String(), Type.Integer()),
  limits: limitStateSchema,
  inFlight: Type.Integer(),
  dispatched: Type.Integer(),
  queued: Type.Integer(),
  fractions: Type.Record(Type.String(), Type.Number()),
});
export type NodeStatus = Static<typeof nodeStatusSchema>;

/** A page of the events of one node. */
export const eventPageSchema = Type.Object({ next: Type.Integer(), events: Type.Array(eventSchema) });
export type EventPage = Static<typeof eventPageSchema>;
