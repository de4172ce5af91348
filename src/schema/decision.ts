import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** What a log line tells about: a request, a belief of this process, or the process itself. */
export const decisionKindSchema = Type.Union([
  Type.Literal('requestEnded'),
  Type.Literal('requestRefused'),
  Type.Literal('attemptFailed'),
  Type.Literal('runEnded'),
  Type.Literal('runFailed'),
  Type.Literal('memberChanged'),
  Type.Literal('linkChanged'),
  Type.Literal('targetChanged'),
  Type.Literal('configurationApplied'),
  Type.Literal('configurationIgnored'),
  Type.Literal('storeChanged'),
  Type.Literal('quarantineChanged'),
  Type.Literal('admissionChanged'),
  Type.Literal('heartbeatIgnored'),
  Type.Literal('nodeChanged'),
  Type.Literal('faultFound'),
]);
export type DecisionKind = Static<typeof decisionKindSchema>;

/** One decision as it is logged: what was decided about which request, and the inputs that decided it. */
export const decisionSchema = Type.Object({
  kind: decisionKindSchema,
  /** The id of the request, where there is one. */
  id: Type.Optional(Type.String()),
  outcome: Type.String(),
  /** Inputs with their age (ms) or version. */
  inputs: Type.Optional(
    Type.Record(Type.String(), Type.Union([Type.String(), Type.Number(), Type.Boolean(), Type.Undefined()])),
  ),
});
export type Decision = Static<typeof decisionSchema>;

/** One line of the log of a node. */
export const decisionLineSchema = Type.Composite([
  Type.Object({
    /** Unix time (ms). */
    timeMs: Type.Number(),
    host: Type.String(),
    /** Number of the line in its process; a gap shows lines that were dropped. */
    line: Type.Integer({ minimum: 0 }),
  }),
  decisionSchema,
]);
export type DecisionLine = Static<typeof decisionLineSchema>;
