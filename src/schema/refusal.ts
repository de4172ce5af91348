import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** Reason why a node responds to a request itself, without an answer from a target. */
export const refusalKindSchema = Type.Union([
  Type.Literal('noConfiguration'),
  Type.Literal('noRoute'),
  /** The key is missing or belongs to no organisation. */
  Type.Literal('unauthorized'),
  /** The organisation has used up its quota. */
  Type.Literal('quotaExceeded'),
  Type.Literal('noTarget'),
  Type.Literal('overloaded'),
  Type.Literal('quarantined'),
  Type.Literal('rejected'),
  Type.Literal('stopping'),
  Type.Literal('tooLate'),
  Type.Literal('timedOut'),
  Type.Literal('failed'),
  Type.Literal('malformed'),
  Type.Literal('headersTooLarge'),
  Type.Literal('bodyTooLarge'),
  Type.Literal('readTimeout'),
]);
export type RefusalKind = Static<typeof refusalKindSchema>;

/** An error answer of the node itself. */
export const refusalSchema = Type.Object({
  kind: refusalKindSchema,
  detail: Type.String(),
  /** Time after which the client may retry (ms); set only if the request has not run and will not run. */
  retryAfterMs: Type.Optional(Type.Number()),
});
export type Refusal = Static<typeof refusalSchema>;

/** 408, 429 and 503 guarantee that the request has not run and will not run; 502 and 504 do not. */
export const refusalStatus: Readonly<Record<RefusalKind, number>> = {
  noConfiguration: 503,
  noRoute: 404,
  unauthorized: 401,
  quotaExceeded: 429,
  noTarget: 503,
  overloaded: 503,
  quarantined: 503,
  rejected: 503,
  stopping: 503,
  tooLate: 503,
  timedOut: 504,
  failed: 502,
  malformed: 400,
  headersTooLarge: 431,
  bodyTooLarge: 413,
  readTimeout: 408,
};

/** Statuses that guarantee that a request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Replaces a refusal whose status guarantees that the request has not run by one without that guarantee. */
export function removeNotRunGuarantee(refusal: Refusal): Refusal {
  if (!notRunStatuses.has(refusalStatus[refusal.kind])) return refusal;
  return { kind: 'failed', detail: `${refusal.kind}: ${refusal.detail}` };
}
