import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** Subject of a log line: a request, a state observed by this process, or the process itself. */
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
  /** A peer has a newer configuration than this node. */
  Type.Literal('configurationBehind'),
  Type.Literal('storeChanged'),
  Type.Literal('quarantineChanged'),
  Type.Literal('admissionChanged'),
  /** The allocator that this node follows, or an organisation that begins or ends to exceed its quota here. */
  Type.Literal('quotaChanged'),
  Type.Literal('heartbeatIgnored'),
  Type.Literal('nodeChanged'),
  /** Connections of clients were closed for the sake of others. */
  Type.Literal('clientsClosed'),
  /** An invalid message, such as a malformed heartbeat. */
  Type.Literal('faultFound'),
]);
export type DecisionKind = Static<typeof decisionKindSchema>;

/** A decision as it is logged, with the request that it concerns and its inputs. */
export const decisionSchema = Type.Object({
  kind: decisionKindSchema,
  /** Request id, for decisions about a request. */
  id: Type.Optional(Type.String()),
  outcome: Type.String(),
  /** Inputs of the decision with their age (ms) or version. */
  inputs: Type.Optional(
    Type.Record(Type.String(), Type.Union([Type.String(), Type.Number(), Type.Boolean(), Type.Undefined()])),
  ),
});
export type Decision = Static<typeof decisionSchema>;

/** One line of a node's log. */
export const decisionLineSchema = Type.Composite([
  Type.Object({
    /** Unix time (ms). */
    timeMs: Type.Number(),
    host: Type.String(),
    /** Line number, counted per process; a gap means that lines were dropped. */
    line: Type.Integer({ minimum: 0 }),
  }),
  decisionSchema,
]);
export type DecisionLine = Static<typeof decisionLineSchema>;
