import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import { callFailureTraits, createCallFailure } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';

const NOT_FOUND = 404;
const PAYLOAD_TOO_LARGE = 413;
const INTERNAL_SERVER_ERROR = 500;

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

/** Responds to bytes that Node's HTTP parser rejected; such requests do not reach the HTTP framework. */
export function sendParserFailure(error: Error & { code?: string }, socket: Duplex): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const failure = describeParserError(error);
  const { status } = callFailureTraits[failure.kind];
  const body = JSON.stringify({ failure });
  const head = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `hemlock-ran: ${failure.ran}`,
    `hemlock-retry: ${failure.retry}`,
    'connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}

function describeParserError(error: Error & { code?: string }): CallFailure {
  if (error.code === 'HPE_HEADER_OVERFLOW')
    return createCallFailure('headersTooLarge', 'the headers are larger than 16 KiB');
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT')
    return createCallFailure('requestTimeout', 'the request did not arrive in time');
  return createCallFailure('requestMalformed', `not an HTTP request: ${error.message}`);
}
