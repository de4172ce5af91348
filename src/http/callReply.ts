import type { FastifyReply } from 'fastify';
import type { CallResult } from '../schema/call.js';
import { callFailureTraits } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';
import type { Refusal } from '../schema/refusal.js';
import { describeRefusal } from './httpErrors.js';
import { formatHead } from './responseWriter.js';
import type { RefusalFormat } from './responseWriter.js';

/** Sends the result of a call as the HTTP response; a failure is sent as its HTTP status with a JSON body. */
export function sendResult(reply: FastifyReply, result: CallResult): void {
  if (reply.raw.destroyed) return;
  if (result.ticket !== undefined) void reply.header('idempotency-key', result.ticket);
  if (result.requestId !== undefined) void reply.header('request-id', result.requestId);
  if (result.type === 'refusal') {
    sendFailure(reply, result.failure);
    return;
  }
  void reply.code(result.status).header('content-type', result.contentType).send(Buffer.from(result.body));
}

/** Cancels a call when its caller disconnects before the response is sent. */
export function cancelWhenClosed(reply: FastifyReply, cancel: () => void): void {
  reply.raw.once('close', () => {
    if (!reply.raw.writableFinished) cancel();
  });
}

/** Sends a call failure as the HTTP response. */
export function sendFailure(reply: FastifyReply, failure: CallFailure): void {
  const { status, headers, body } = formatFailure(failure);
  void reply.code(status).headers(Object.fromEntries(headers)).send(body);
}

/** Formats a refusal by the request server as the call failure that it amounts to. */
export function formatCallRefusal(refusal: Refusal): ReturnType<RefusalFormat> {
  const { status, headers, body } = formatFailure(describeRefusal(refusal));
  return { head: formatHead(status, [...headers, ['content-length', String(Buffer.byteLength(body))]].flat()), body };
}

interface FailureResponse {
  status: number;
  headers: [name: string, value: string][];
  body: string;
}

function formatFailure(failure: CallFailure): FailureResponse {
  return {
    status: callFailureTraits[failure.kind].status,
    headers: [
      ['content-type', 'application/json'],
      ['hemlock-ran', failure.ran],
      ['hemlock-retry', failure.retry],
    ],
    body: JSON.stringify({ failure }),
  };
}
