import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** Outcome of publishing one document. */
export const publishOutcomeSchema = Type.Union([
  Type.Object({
    type: Type.Literal('accepted'),
    service: Type.String(),
    changeId: Type.String(),
    version: Type.Integer(),
    baseVersion: Type.Integer(),
  }),
  Type.Object({
    type: Type.Literal('rejected'),
    service: Type.String(),
    changeId: Type.String(),
    reason: Type.String(),
    /** The change that is in force instead; absent if the change was rejected for another reason. */
    winner: Type.Optional(Type.Object({ version: Type.Integer(), changeId: Type.String(), operator: Type.String() })),
  }),
  Type.Object({
    type: Type.Literal('unknown'),
    service: Type.String(),
    changeId: Type.String(),
    reason: Type.String(),
  }),
  /** The log could not be reached, so nothing was written. */
  Type.Object({
    type: Type.Literal('unreachable'),
    service: Type.String(),
    changeId: Type.String(),
    reason: Type.String(),
  }),
]);
export type PublishOutcome = Static<typeof publishOutcomeSchema>;

/** One difference between two documents; a missing side means that the path exists only in the other document. */
export const documentDifferenceSchema = Type.Object({
  path: Type.String(),
  before: Type.Optional(Type.String()),
  after: Type.Optional(Type.String()),
});
export type DocumentDifference = Static<typeof documentDifferenceSchema>;

/** Hosts, grouped by whether their nodes have applied a configuration version. */
export const waitReportSchema = Type.Object({
  service: Type.String(),
  version: Type.Integer(),
  inForce: Type.Array(Type.String()),
  lagging: Type.Array(Type.Object({ host: Type.String(), version: Type.Integer() })),
  unreachable: Type.Array(Type.String()),
  /** Hosts that the queried node has recorded as down; the command does not wait for them. */
  down: Type.Array(Type.String()),
});
export type WaitReport = Static<typeof waitReportSchema>;
