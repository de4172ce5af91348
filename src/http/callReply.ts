import type { FastifyReply } from 'fastify';
import type { CallResult } from '../schema/call.js';
import { callFailureTraits } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';

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
  void reply
    .code(callFailureTraits[failure.kind].status)
    .header('content-type', 'application/json')
    .header('hemlock-ran', failure.ran)
    .header('hemlock-retry', failure.retry)
    .send(JSON.stringify({ failure }));
}
