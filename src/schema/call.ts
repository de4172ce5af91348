import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { callFailureSchema } from './failure.js';

/** A call as an outside caller makes it. */
export const callerCallSchema = Type.Object({
  service: Type.String(),
  operation: Type.String(),
  /** Names the caller for fair shares. */
  callerKey: Type.String(),
  contentType: Type.String(),
  body: Type.Uint8Array(),
  /** Time that the caller allows (ms); capped by the operation's own deadline. */
  deadlineMs: Type.Optional(Type.Number({ exclusiveMinimum: 0 })),
  /** A ticket, for non-idempotent operations. */
  idempotencyKey: Type.Optional(Type.String()),
});
export type CallerCall = Static<typeof callerCallSchema>;

/** A call that the local target makes; `token` names the running call that it belongs to. */
export const downstreamCallSchema = Type.Composite([
  callerCallSchema,
  Type.Object({ token: Type.Optional(Type.String()) }),
]);
export type DownstreamCall = Static<typeof downstreamCallSchema>;

const resultFields = {
  /** Extra attempts not spent out of those given with the call. */
  allowanceLeft: Type.Integer({ minimum: 0 }),
  /** Least admitted fraction of the call's priority on its way. */
  admittedFraction: Type.Number({ minimum: 0, maximum: 1 }),
  /** Set where the request entered. */
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

/** What a call comes to. */
export const callResultSchema = Type.Union([callAnswerSchema, callRefusalSchema]);
export type CallResult = Static<typeof callResultSchema>;

/** One call as the local target receives it. */
export const targetRequestSchema = Type.Object({
  address: Type.String(),
  service: Type.String(),
  operation: Type.String(),
  requestId: Type.String(),
  /** Unguessable name of the running call, which the target repeats on its onward calls. */
  token: Type.String(),
  deadlineMs: Type.Number(),
  contentType: Type.String(),
  body: Type.Uint8Array(),
});
export type TargetRequest = Static<typeof targetRequestSchema>;

/** What the local target made of a call. */
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
