import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** One validation error in a document: its path, the value found, and the values allowed there. */
export const faultSchema = Type.Object({ path: Type.String(), found: Type.String(), allowed: Type.String() });
export type Fault = Static<typeof faultSchema>;

/** Whether a target executed the failed call. */
export const ranSchema = Type.Union([Type.Literal('no'), Type.Literal('yes'), Type.Literal('unknown')]);
export type Ran = Static<typeof ranSchema>;

/** Whether to retry: at another target, at a later time, or never. */
export const retrySchema = Type.Union([Type.Literal('elsewhere'), Type.Literal('later'), Type.Literal('never')]);
export type Retry = Static<typeof retrySchema>;

interface CallFailureTraits {
  ran: Ran;
  retry: Retry;
  /** HTTP status sent to callers. */
  status: number;
}

/** All kinds of call failures with their default traits, which the code that reports a failure may override. */
export const callFailureTraits = {
  answerTooLarge: { ran: 'yes', retry: 'never', status: 502 },
  answerTruncated: { ran: 'unknown', retry: 'elsewhere', status: 502 },
  callTokenInvalid: { ran: 'no', retry: 'never', status: 403 },
  cancelled: { ran: 'unknown', retry: 'never', status: 499 },
  connectionLost: { ran: 'unknown', retry: 'elsewhere', status: 502 },
  deadlineExceeded: { ran: 'unknown', retry: 'never', status: 504 },
  deadlineUnreachable: { ran: 'no', retry: 'never', status: 503 },
  depthExceeded: { ran: 'no', retry: 'never', status: 508 },
  headersTooLarge: { ran: 'no', retry: 'never', status: 431 },
  internalFault: { ran: 'unknown', retry: 'never', status: 500 },
  internalField: { ran: 'no', retry: 'never', status: 400 },
  noTarget: { ran: 'no', retry: 'later', status: 503 },
  nonIdempotentUnderIdempotent: { ran: 'no', retry: 'never', status: 409 },
  overloaded: { ran: 'no', retry: 'elsewhere', status: 503 },
  quarantined: { ran: 'no', retry: 'never', status: 503 },
  requestMalformed: { ran: 'no', retry: 'never', status: 400 },
  requestTimeout: { ran: 'no', retry: 'later', status: 408 },
  requestTooLarge: { ran: 'no', retry: 'never', status: 413 },
  routeUnknown: { ran: 'no', retry: 'never', status: 404 },
  shed: { ran: 'no', retry: 'never', status: 503 },
  stopping: { ran: 'no', retry: 'elsewhere', status: 503 },
  targetCrashed: { ran: 'unknown', retry: 'elsewhere', status: 502 },
  targetDraining: { ran: 'no', retry: 'elsewhere', status: 503 },
  targetFailed: { ran: 'yes', retry: 'elsewhere', status: 502 },
  targetRefused: { ran: 'no', retry: 'elsewhere', status: 503 },
  targetUnreachable: { ran: 'no', retry: 'elsewhere', status: 503 },
  ticketInvalid: { ran: 'no', retry: 'never', status: 400 },
  ticketMismatch: { ran: 'no', retry: 'never', status: 422 },
  ticketUnknown: { ran: 'unknown', retry: 'never', status: 409 },
  unknownOperation: { ran: 'no', retry: 'never', status: 404 },
  unknownService: { ran: 'no', retry: 'never', status: 404 },
} as const satisfies Record<string, CallFailureTraits>;

export type CallFailureKind = keyof typeof callFailureTraits;

const callFailureKinds = Object.keys(callFailureTraits) as CallFailureKind[];

/** Longer messages are truncated, since the peer would reject the frame. */
const MAX_MESSAGE_LENGTH = 1000;

/** Failure of one call, as sent between nodes and to the caller. */
export const callFailureSchema = Type.Object({
  kind: Type.Union(callFailureKinds.map((kind) => Type.Literal(kind))),
  message: Type.String({ maxLength: MAX_MESSAGE_LENGTH }),
  ran: ranSchema,
  retry: retrySchema,
  host: Type.Optional(Type.String()),
});
export type CallFailure = Static<typeof callFailureSchema>;

/** Failures other than those of calls: settings, documents, the platform's log, frames and programming errors. */
export const systemFailureSchema = Type.Union([
  Type.Object({ kind: Type.Literal('settingsInvalid'), message: Type.String(), faults: Type.Array(faultSchema) }),
  Type.Object({ kind: Type.Literal('documentInvalid'), message: Type.String(), faults: Type.Array(faultSchema) }),
  Type.Object({ kind: Type.Literal('fileUnreadable'), message: Type.String(), path: Type.String() }),
  /** The platform's store sent no response in time. */
  Type.Object({ kind: Type.Literal('storeUnanswered'), message: Type.String() }),
  Type.Object({ kind: Type.Literal('usage'), message: Type.String() }),
  Type.Object({ kind: Type.Literal('logUnavailable'), message: Type.String() }),
  Type.Object({ kind: Type.Literal('logAnswerMalformed'), message: Type.String() }),
  Type.Object({ kind: Type.Literal('logIncomplete'), message: Type.String() }),
  Type.Object({ kind: Type.Literal('documentMissing'), message: Type.String() }),
  Type.Object({ kind: Type.Literal('frameMalformed'), message: Type.String(), faults: Type.Array(faultSchema) }),
  Type.Object({ kind: Type.Literal('announcementInvalid'), message: Type.String(), faults: Type.Array(faultSchema) }),
  Type.Object({ kind: Type.Literal('nodeUnreachable'), message: Type.String(), address: Type.String() }),
  Type.Object({ kind: Type.Literal('listenFailed'), message: Type.String(), address: Type.String() }),
  /** The key, certificate or authority for TLS between nodes is missing or cannot be used. */
  Type.Object({ kind: Type.Literal('trustInsufficient'), message: Type.String() }),
  Type.Object({ kind: Type.Literal('sectionClaimed'), message: Type.String(), section: Type.String() }),
  Type.Object({ kind: Type.Literal('processFailed'), message: Type.String() }),
]);
export type SystemFailure = Static<typeof systemFailureSchema>;

export type Failure = CallFailure | SystemFailure;

/** Error that carries a typed failure. */
export class FailureError extends Error {
  override readonly name = 'FailureError';

  constructor(readonly failure: Failure) {
    super(failure.message);
  }
}

/**
 * Creates a call failure; `ran` and `retry` default to the traits of its kind.
 *
 * @example
 * createCallFailure('overloaded', 'the queue of stock at host a1 is full', { host: 'a1' });
 */
export function createCallFailure(
  kind: CallFailureKind,
  message: string,
  options: { ran?: Ran; retry?: Retry; host?: string } = {},
): CallFailure {
  const traits: CallFailureTraits = callFailureTraits[kind];
  return {
    kind,
    message: message.length > MAX_MESSAGE_LENGTH ? message.slice(0, MAX_MESSAGE_LENGTH) : message,
    ran: options.ran ?? traits.ran,
    retry: options.retry ?? traits.retry,
    ...(options.host === undefined ? {} : { host: options.host }),
  };
}
