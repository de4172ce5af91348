import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** Why a client gets an answer of the node's own. */
export const refusalKindSchema = Type.Union([
  Type.Literal('noConfiguration'),
  Type.Literal('noRoute'),
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

/** An answer of the node's own. */
export const refusalSchema = Type.Object({
  kind: refusalKindSchema,
  detail: Type.String(),
  /** When the client should come back (ms); only where the request has not run and never will. */
  retryAfterMs: Type.Optional(Type.Number()),
});
export type Refusal = Static<typeof refusalSchema>;

/** 408, 429 and 503 promise that the request has not run and never will; 502 and 504 promise nothing. */
export const refusalStatus: Readonly<Record<RefusalKind, number>> = {
  noConfiguration: 503,
  noRoute: 404,
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

/** Statuses that promise that a request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Turns a refusal that promises that the request has not run into one that promises nothing. */
export function removeNotRunGuarantee(refusal: Refusal): Refusal {
  if (!notRunStatuses.has(refusalStatus[refusal.kind])) return refusal;
  return { kind: 'failed', detail: `${refusal.kind}: ${refusal.detail}` };
}
