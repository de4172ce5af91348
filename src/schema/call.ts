import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { callFailureSchema } from './failure.js';

/** A call by an external caller. */
export const callerCallSchema = Type.Object({
  service: Type.String(),
  operation: Type.String(),
  /** Identifies the caller for fair queueing. */
  callerKey: Type.String(),
  contentType: Type.String(),
  body: Type.Uint8Array(),
  /** Deadline set by the caller (ms); capped by the deadline of the operation. */
  deadlineMs: Type.Optional(Type.Number({ exclusiveMinimum: 0 })),
  /** Ticket from the `idempotency-key` header; makes a non-idempotent operation run at most once. */
  idempotencyKey: Type.Optional(Type.String()),
});
export type CallerCall = Static<typeof callerCallSchema>;

/** A downstream call by the local target; `token` identifies the running call that caused it. */
export const downstreamCallSchema = Type.Composite([
  callerCallSchema,
  Type.Object({ token: Type.Optional(Type.String()) }),
]);
export type DownstreamCall = Static<typeof downstreamCallSchema>;

const resultFields = {
  /** Unused extra attempts out of those granted with the call. */
  allowanceLeft: Type.Integer({ minimum: 0 }),
  /** Minimum admitted fraction of the call's priority at the targets that the call and its downstream calls reached. */
  admittedFraction: Type.Number({ minimum: 0, maximum: 1 }),
  /** Set only by the node at which the request entered. */
  requestId: Type.Optional(Type.String()),
  /** The ticket under which a non-idempotent call ran. */
  ticket: Type.Optional(Type.String()),
};

export const callAnswerSchema = Type.Object({
  type: Type.Literal('answer'),
  ...resultFields,
  status: Type.Integer({ minimum: 100, maximum: 599 }),
  contentType: Type.String(),
  body: Type.Uint8Array(),
});
export type CallAnswer = Static<typeof callAnswerSchema>;

export const callRefusalSchema = Type.Object({
  type: Type.Literal('refusal'),
  ...resultFields,
  failure: callFailureSchema,
});
export type CallRefusal = Static<typeof callRefusalSchema>;

/** The answer of a target, or a refusal with the reason why there is none. */
export const callResultSchema = Type.Union([callAnswerSchema, callRefusalSchema]);
export type CallResult = Static<typeof callResultSchema>;

/** A call as it is sent to the local target. */
export const targetRequestSchema = Type.Object({
  address: Type.String(),
  service: Type.String(),
  operation: Type.String(),
  requestId: Type.String(),
  /** Unguessable id of the running call, which the target adds to its downstream calls. */
  token: Type.String(),
  /** Time left until the deadline (ms). */
  deadlineMs: Type.Number(),
  contentType: Type.String(),
  body: Type.Uint8Array(),
});
export type TargetRequest = Static<typeof targetRequestSchema>;

/** Outcome of a call at the local target. */
export const targetOutcomeSchema = Type.Union([
  Type.Object({
    type: Type.Literal('answer'),
    status: Type.Integer(),
    contentType: Type.String(),
    body: Type.Uint8Array(),
  }),
  Type.Object({ type: Type.Literal('failure'), failure: callFailureSchema }),
]);
export type TargetOutcome = Static<typeof targetOutcomeSchema>;
