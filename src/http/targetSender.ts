import type { Dispatcher } from 'undici';
import type { RunEvents, SendToTarget, TargetSend } from '../control/requests/runPort.js';
import type { Ran } from '../schema/failure.js';
import { STREAM_WINDOW_BYTES, WHOLE_BODY_BYTES } from '../schema/linkFrame.js';
import type { RunFailureKind } from '../schema/linkFrame.js';
import { findAnswerFault, isUnframed, parseKeepAlive } from './answerCheck.js';
import { createBodySource } from './bodySource.js';
import type { BodySource } from './bodySource.js';
import { findHeader, selectEndToEnd } from './requestHeaders.js';
import type { RequestHeaderNames } from './requestHeaders.js';
import type { TargetConnection, TargetConnections } from './targetConnections.js';

/** Longest idle time of a connection that carries a request that must not run twice (ms). */
const FRESH_IDLE_MS = 250;
/** Share of the target's own idle limit for which a connection is kept. */
const IDLE_SHARE = 0.6;
const MISDIRECTED = 421;

export interface TargetSenderOptions {
  connections: TargetConnections;
  names: RequestHeaderNames;
}

/** One use of a connection for a request. */
interface Send {
  readonly target: TargetSend;
  readonly events: RunEvents;
  readonly body: BodySource;
  connection: TargetConnection;
  isStarted: boolean;
  /** The outcome was told. */
  isSettled: boolean;
  status: number;
  headers: string[];
  isUnframed: boolean;
  chunks: Buffer[];
  bytes: number;
  isStreaming: boolean;
  creditBytes: number;
  resume: () => void;
  abort: () => void;
}

/**
 * Creates the function that sends requests to the local target and tells how each ended: with an answer that is the
 * target's own and whole, or with a failure that says whether the request ran.
 */
export function createTargetSender({ connections, names }: TargetSenderOptions): SendToTarget {
  const droppedFromAnswer = new Set([names.load]);

  const fail = (send: Send, kind: RunFailureKind, ran: Ran, detail: string): void => {
    if (send.isSettled) return;
    send.isSettled = true;
    send.body.stop();
    send.events.fail({ kind, ran, hasArrived: kind !== 'unreachable', detail });
  };
  const settle = (send: Send): void => {
    if (send.isSettled) return;
    send.isSettled = true;
    if (send.isStreaming) {
      send.events.part(new Uint8Array(), true);
      return;
    }
    const { status, headers, chunks } = send;
    const [only] = chunks;
    const body = chunks.length === 1 && only !== undefined ? only : Buffer.concat(chunks);
    send.events.answer({ status, headers, body, isStreamed: false });
  };
  const receiveHead = (send: Send, status: number, rawHeaders: readonly string[]): void => {
    const { request, address } = send.target;
    const head = { status, rawHeaders };
    send.status = status;
    const fault = findAnswerFault(head, request.requestId, names);
    if (fault !== undefined) {
      fail(send, 'answerInvalid', 'unknown', fault);
      send.abort();
      return;
    }
    send.headers = selectEndToEnd(rawHeaders, droppedFromAnswer);
    send.isUnframed = isUnframed(head, request.method);
    const keepAliveMs = parseKeepAlive(head);
    if (keepAliveMs !== undefined) send.connection.idleLimitMs = keepAliveMs * IDLE_SHARE;
    if (status === MISDIRECTED) fail(send, 'misdirected', 'no', `another target has the address ${address}`);
    else if (findHeader(rawHeaders, names.notRun) !== undefined)
      fail(send, 'rejected', 'no', `the target answered ${status}`);
  };
  const receiveData = (send: Send, chunk: Buffer): boolean => {
    // What follows a failure is read to its end, so that the connection can be used again.
    if (send.isSettled) return true;
    send.bytes += chunk.length;
    if (send.isStreaming) {
      send.creditBytes -= chunk.length;
      send.events.part(chunk, false);
      return send.creditBytes > 0;
    }
    send.chunks.push(chunk);
    if (send.bytes <= WHOLE_BODY_BYTES) return true;
    send.isStreaming = true;
    const { status, headers } = send;
    send.events.answer({ status, headers, body: Buffer.concat(send.chunks.splice(0)), isStreamed: true });
    return true;
  };
  const finish = (send: Send): void => {
    if (send.isUnframed && send.connection.hasFailed) {
      receiveError(send, 'reset before its end', false);
      return;
    }
    settle(send);
    if (send.isUnframed) connections.discard(send.connection);
    else connections.release(send.target.address, send.connection);
  };
  const receiveError = (send: Send, detail: string, mayRepeat: boolean): void => {
    connections.discard(send.connection);
    if (send.isSettled) return;
    if (!send.isStarted) fail(send, 'unreachable', 'no', detail);
    else if (send.status !== 0) fail(send, 'answerTruncated', 'unknown', `the answer broke off: ${detail}`);
    else if (mayRepeat && send.connection.isReused) {
      send.connection = connections.take(send.target.address, FRESH_IDLE_MS);
      dispatchSend(send, false);
    } else fail(send, 'connectionLost', 'unknown', `no answer: ${detail}`);
  };
  /** Writes the request; one that may be repeated is written once more when its idle connection proves dead. */
  const dispatchSend = (send: Send, mayRepeat: boolean): void => {
    const { connection } = send;
    const { request, targetId } = send.target;
    send.isStarted = false;
    const handler: Dispatcher.DispatchHandler = {
      onConnect: (abort) => {
        send.isStarted = true;
        send.abort = abort;
        if (send.isSettled) abort();
      },
      onHeaders: (status, rawHeaders, resume) => {
        send.resume = resume;
        const headers = rawHeaders.map((value) => value.toString('latin1'));
        if (status >= 200) receiveHead(send, status, headers);
        return true;
      },
      onData: (chunk) => receiveData(send, chunk),
      onComplete: () => {
        finish(send);
      },
      onError: (error) => {
        receiveError(send, error.message, mayRepeat);
      },
    };
    const timeLeft = String(Math.max(1, Math.floor(request.timeLeftMs)));
    const own = [
      names.requestId,
      request.requestId,
      names.timeLeft,
      timeLeft,
      names.callerService,
      request.callerService,
      names.targetId,
      targetId,
    ];
    const { method, path } = request;
    const options = {
      method: method as Dispatcher.HttpMethod,
      path,
      headers: [...request.headers, ...own],
      body: send.body.read(),
    };
    try {
      connection.client.dispatch(options, handler);
    } catch (error) {
      connections.discard(connection);
      fail(send, 'unreachable', 'no', `the request cannot be written: ${String(error)}`);
    }
  };
  return (target, events) => {
    const { request } = target;
    const body = createBodySource(request.body, request.isStreamed, events.grantBody);
    const mayRepeat = request.isIdempotent && !request.isStreamed;
    const send: Send = {
      target,
      events,
      body,
      connection: connections.take(target.address, mayRepeat ? Infinity : FRESH_IDLE_MS),
      isStarted: false,
      isSettled: false,
      status: 0,
      headers: [],
      isUnframed: false,
      chunks: [],
      bytes: 0,
      isStreaming: false,
      creditBytes: STREAM_WINDOW_BYTES,
      resume: () => undefined,
      abort: () => undefined,
    };
    dispatchSend(send, mayRepeat);
    return {
      cancel: () => {
        send.isSettled = true;
        body.stop();
        send.abort();
        if (!send.isStarted) connections.discard(send.connection);
      },
      grantAnswer: (bytes) => {
        const wasPaused = send.creditBytes <= 0;
        send.creditBytes += bytes;
        if (wasPaused && send.creditBytes > 0) send.resume();
      },
      sendBody: body.add,
    };
  };
}
