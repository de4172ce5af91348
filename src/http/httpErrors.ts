import { createCallFailure } from '../schema/failure.js';
import type { CallFailure, CallFailureKind } from '../schema/failure.js';
import type { Refusal, RefusalKind } from '../schema/refusal.js';

const NOT_FOUND = 404;
const PAYLOAD_TOO_LARGE = 413;
const INTERNAL_SERVER_ERROR = 500;
/** Call failures of the refusals of requests that were not read completely. */
const failureKinds: Partial<Record<RefusalKind, CallFailureKind>> = {
  malformed: 'requestMalformed',
  headersTooLarge: 'headersTooLarge',
  bodyTooLarge: 'requestTooLarge',
  readTimeout: 'requestTimeout',
};

/** Maps an error of the HTTP framework to a call failure. Such a request was never sent to a target. */
export function describeHttpError(error: unknown): CallFailure {
  const status = readStatusCode(error);
  const message = error instanceof Error ? error.message : String(error);
  if (status === NOT_FOUND) return createCallFailure('routeUnknown', `no such route: ${message}`);
  if (status === PAYLOAD_TOO_LARGE) return createCallFailure('requestTooLarge', message);
  if (status < INTERNAL_SERVER_ERROR) return createCallFailure('requestMalformed', message);
  return createCallFailure('internalFault', message);
}

function readStatusCode(error: unknown): number {
  if (typeof error !== 'object' || error === null) return INTERNAL_SERVER_ERROR;
  if ('getStatus' in error && typeof error.getStatus === 'function') return Number(error.getStatus());
  return 'statusCode' in error && typeof error.statusCode === 'number' ? error.statusCode : INTERNAL_SERVER_ERROR;
}

/** Maps a refusal by the request server, which reads the requests, to a call failure. */
export function describeRefusal({ kind, detail }: Refusal): CallFailure {
  return createCallFailure(failureKinds[kind] ?? 'internalFault', detail);
}
