import type { RunEvents, SendToTarget, TargetSend } from '../control/requests/runPort.js';
import type { Ran } from '../schema/failure.js';
import { STREAM_WINDOW_BYTES, MAX_UNSTREAMED_BODY_BYTES } from '../schema/linkFrame.js';
import type { RunFailureKind } from '../schema/linkFrame.js';
import { findAnswerFault, isUnframed, parseKeepAlive } from './answerCheck.js';
import { findHeader, selectEndToEnd } from './requestHeaders.js';
import type { RequestHeaderNames } from './requestHeaders.js';
import type { TargetConnection } from './targetConnection.js';
import type { TargetConnections } from './targetConnections.js';

/** Longest idle time of a connection that carries a request that must not run twice (ms). */
const FRESH_IDLE_MS = 250;
/** Share of the target's own idle limit for which a connection is kept. */
const IDLE_SHARE = 0.6;
const MISDIRECTED = 421;
const LAST_CHUNK = Buffer.from('0\r\n\r\n');

export interface TargetSenderOptions {
  connections: TargetConnections;
  names: RequestHeaderNames;
}

/** One request on its way to the target. */
interface Send {
  readonly target: TargetSend;
  readonly events: RunEvents;
  /** It may be written once more where an idle connection proves dead. */
  mayRepeat: boolean;
  connection: TargetConnection;
  /** The outcome was told. */
  isSettled: boolean;
  /** The connection may carry another request by now. */
  isOver: boolean;
  /** 0 until an answer began. */
  status: number;
  headers: string[];
  isUnframed: boolean;
  /** The streamed body goes in chunks. */
  isChunked: boolean;
  chunks: Buffer[];
  bytes: number;
  isStreaming: boolean;
  creditBytes: number;
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
  const receiveHead = (send: Send, status: number, rawHeaders: string[]): 'take' | 'skip' => {
    const { request, address } = send.target;
    const { connection } = send;
    const head = { status, rawHeaders };
    // An answer may come a second time, in front of the one to the next request.
    if (findHeader(rawHeaders, names.requestId) === connection.lastRequestId) return 'skip';
    send.status = status;
    const fault = findAnswerFault(head, request.requestId, names);
    if (fault !== undefined) {
      fail(send, 'answerInvalid', 'unknown', fault);
      connection.destroy();
      return 'skip';
    }
    send.headers = selectEndToEnd(rawHeaders, droppedFromAnswer);
    send.isUnframed = isUnframed(head, request.method);
    const keepAliveMs = parseKeepAlive(head);
    if (keepAliveMs !== undefined) connection.idleLimitMs = keepAliveMs * IDLE_SHARE;
    if (status === MISDIRECTED) fail(send, 'misdirected', 'no', `another target has the address ${address}`);
    else if (findHeader(rawHeaders, names.notRun) !== undefined)
      fail(send, 'rejected', 'no', `the target answered ${status}`);
    return 'take';
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
    if (send.bytes <= MAX_UNSTREAMED_BODY_BYTES) return true;
    send.isStreaming = true;
    const { status, headers } = send;
    send.events.answer({ status, headers, body: Buffer.concat(send.chunks.splice(0)), isStreamed: true });
    return true;
  };
  const finish = (send: Send): void => {
    settle(send);
    send.isOver = true;
    const { connection, target } = send;
    connection.lastRequestId = target.request.requestId;
    if (send.isUnframed || !connection.isReusable) connection.destroy();
    else connections.release(target.address, connection);
  };
  const receiveFailure = (send: Send, detail: string): void => {
    const { connection, target } = send;
    if (send.isSettled) return;
    if (!connection.isConnected) fail(send, 'unreachable', 'no', detail);
    else if (send.status !== 0) fail(send, 'answerTruncated', 'unknown', `the answer broke off: ${detail}`);
    else if (send.mayRepeat && connection.isReused) {
      send.mayRepeat = false;
      send.connection = connections.take(target.address, FRESH_IDLE_MS);
      start(send);
    } else fail(send, 'connectionLost', 'unknown', `no answer: ${detail}`);
  };
  const start = (send: Send): void => {
    const { connection } = send;
    const { request } = send.target;
    connection.watch({
      head: (status, rawHeaders) => receiveHead(send, status, rawHeaders),
      data: (chunk) => receiveData(send, chunk),
      end: () => {
        finish(send);
      },
      fail: (detail) => {
        receiveFailure(send, detail);
      },
    });
    const { method, body, isStreamed } = request;
    connection.start({ head: formatHead(send), method, body, isStreamed });
  };
  const formatHead = ({ target, isChunked }: Send): string => {
    const { request, targetId } = target;
    const { method, path, headers, body } = request;
    let text = `${method} ${path} HTTP/1.1\r\n`;
    for (let index = 0; index + 1 < headers.length; index += 2)
      text += `${headers[index] ?? ''}: ${headers[index + 1] ?? ''}\r\n`;
    text += `${names.requestId}: ${request.requestId}\r\n`;
    text += `${names.timeLeft}: ${Math.max(1, Math.floor(request.timeLeftMs))}\r\n`;
    text += `${names.callerService}: ${request.callerService}\r\n${names.targetId}: ${targetId}\r\n`;
    if (isChunked) text += 'Transfer-Encoding: chunked\r\n';
    else if (body !== undefined && findHeader(headers, 'content-length') === undefined)
      text += `Content-Length: ${body.length}\r\n`;
    return `${text}\r\n`;
  };
  const sendBody = (send: Send, data: Uint8Array, isLast: boolean): void => {
    const { connection, isChunked, events } = send;
    if (send.isSettled) return;
    const grant = (): void => {
      events.grantBody(data.length);
    };
    if (!isChunked) {
      connection.writeBody(data, isLast, grant);
      return;
    }
    if (data.length > 0) {
      const chunk = Buffer.concat([Buffer.from(`${data.length.toString(16)}\r\n`), data, Buffer.from('\r\n')]);
      connection.writeBody(chunk, false, grant);
    }
    if (isLast) connection.writeBody(LAST_CHUNK, true, () => undefined);
  };
  return (target, events) => {
    const { request } = target;
    const mayRepeat = request.isIdempotent && !request.isStreamed;
    const send: Send = {
      target,
      events,
      mayRepeat,
      connection: connections.take(target.address, mayRepeat ? Infinity : FRESH_IDLE_MS),
      isSettled: false,
      isOver: false,
      status: 0,
      headers: [],
      isUnframed: false,
      isChunked: request.isStreamed && findHeader(request.headers, 'content-length') === undefined,
      chunks: [],
      bytes: 0,
      isStreaming: false,
      creditBytes: STREAM_WINDOW_BYTES,
    };
    start(send);
    return {
      cancel: () => {
        if (send.isOver) return;
        send.isSettled = true;
        send.isOver = true;
        send.connection.destroy();
      },
      grantAnswer: (bytes) => {
        const wasPaused = send.creditBytes <= 0;
        send.creditBytes += bytes;
        if (wasPaused && send.creditBytes > 0) send.connection.resume();
      },
      sendBody: (data, isLast) => {
        sendBody(send, data, isLast);
      },
    };
  };
}
