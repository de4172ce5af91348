import type { FastifyRequest } from 'fastify';
import type { CallerCall } from '../schema/call.js';
import { createCallFailure } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';

export type ParsedCall = { type: 'parsed'; call: CallerCall } | { type: 'failed'; failure: CallFailure };

const PRINTABLE_HEADER_VALUE = /^[\x20-\x7e]{1,255}$/;
const MAX_TICKET_LENGTH = 512;
const EMPTY_BODY = new Uint8Array();
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

/** Parses a call from an HTTP request and validates the caller's headers; no later stage checks them again. */
export function parseCallerCall(service: string, operation: string, request: FastifyRequest): ParsedCall {
  const { headers } = request;
  const call: CallerCall = {
    service,
    operation,
    callerKey: getFirstValue(headers['caller-id']) ?? request.ip,
    contentType: headers['content-type'] ?? DEFAULT_CONTENT_TYPE,
    body: request.body instanceof Uint8Array ? request.body : EMPTY_BODY,
  };
  if (!PRINTABLE_HEADER_VALUE.test(call.callerKey) || !PRINTABLE_HEADER_VALUE.test(call.contentType)) {
    return createHeaderFailure('caller-id and content-type must have 1 to 255 printable ASCII characters');
  }
  const deadline = getFirstValue(headers['deadline-ms']);
  if (deadline !== undefined) {
    call.deadlineMs = Number(deadline);
    if (!(call.deadlineMs > 0)) return createHeaderFailure(`deadline-ms is "${deadline}" and must be a number above 0`);
  }
  const key = getFirstValue(headers['idempotency-key']);
  if (key !== undefined) {
    if (key.length > MAX_TICKET_LENGTH)
      return createHeaderFailure(`idempotency-key has more than ${MAX_TICKET_LENGTH} characters`);
    call.idempotencyKey = key;
  }
  return { type: 'parsed', call };
}

/** True if the request may carry a ticket, in which case an earlier attempt with the same ticket may have run. */
export function hasTicket(request: FastifyRequest): boolean {
  const key = getFirstValue(request.headers['idempotency-key']);
  return key !== undefined && key.length <= MAX_TICKET_LENGTH;
}

/** Returns the first value of a header that may be repeated. */
export function getFirstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function createHeaderFailure(message: string): ParsedCall {
  return { type: 'failed', failure: createCallFailure('requestMalformed', message) };
}
