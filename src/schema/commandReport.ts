import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** What publishing one document came to. */
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
    /** The version that is in force instead, where one is. */
    winner: Type.Optional(Type.Object({ version: Type.Integer(), changeId: Type.String(), operator: Type.String() })),
  }),
  Type.Object({
    type: Type.Literal('unknown'),
    service: Type.String(),
    changeId: Type.String(),
    reason: Type.String(),
  }),
  /** The log was never reached, so nothing was written. */
  Type.Object({
    type: Type.Literal('unreachable'),
    service: Type.String(),
    changeId: Type.String(),
    reason: Type.String(),
  }),
]);
export type PublishOutcome = Static<typeof publishOutcomeSchema>;

/** One place in which two documents differ; a missing side means that the place exists on the other side only. */
export const documentDifferenceSchema = Type.Object({
  path: Type.String(),
  before: Type.Optional(Type.String()),
  after: Type.Optional(Type.String()),
});
export type DocumentDifference = Static<typeof documentDifferenceSchema>;

/** How far a version has come. */
export const waitReportSchema = Type.Object({
  service: Type.String(),
  version: Type.Integer(),
  inForce: Type.Array(Type.String()),
  lagging: Type.Array(Type.Object({ host: Type.String(), version: Type.Integer() })),
  unreachable: Type.Array(Type.String()),
  /** Hosts that the asked node knows as down; they are not waited for. */
  down: Type.Array(Type.String()),
});
export type WaitReport = Static<typeof waitReportSchema>;
