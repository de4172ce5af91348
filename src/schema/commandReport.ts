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

/** What a configuration of routed requests contains to no effect, or contradicting. */
export const configurationFindingSchema = Type.Object({
  /** `unmatched`: it never applies; `contradiction`: limits or names that exclude each other; `note`: it may be intended. */
  kind: Type.Union([Type.Literal('unmatched'), Type.Literal('contradiction'), Type.Literal('note')]),
  path: Type.String(),
  detail: Type.String(),
});
export type ConfigurationFinding = Static<typeof configurationFindingSchema>;

/** One difference between two configurations of routed requests. */
export const configurationChangeSchema = Type.Union([
  Type.Object({ type: Type.Literal('added'), path: Type.String() }),
  Type.Object({ type: Type.Literal('removed'), path: Type.String() }),
  Type.Object({ type: Type.Literal('changed'), path: Type.String(), before: Type.String(), after: Type.String() }),
]);
export type ConfigurationChange = Static<typeof configurationChangeSchema>;

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
