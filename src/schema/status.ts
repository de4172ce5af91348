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
  /** Log offset up to which the configuration is applied. */
  appliedOffset: Type.Integer(),
  log: logStateSchema,
  /** By service: version of the document in force. */
  versions: Type.Record(Type.String(), Type.Integer()),
  limits: limitStateSchema,
  /** Calls running at the local target. */
  inFlight: Type.Integer(),
  /** Calls that this node dispatched to any target and that have not ended. */
  dispatched: Type.Integer(),
  /** Calls waiting for the local target. */
  queued: Type.Integer(),
  /** By priority: fraction of the calls that the local target admits. */
  fractions: Type.Record(Type.String(), Type.Number()),
});
export type NodeStatus = Static<typeof nodeStatusSchema>;

/** A page of the events of one node. */
export const eventPageSchema = Type.Object({ next: Type.Integer(), events: Type.Array(eventSchema) });
export type EventPage = Static<typeof eventPageSchema>;
