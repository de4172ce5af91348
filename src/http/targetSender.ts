import type { SendToTarget, TargetEvents, TargetSend } from '../control/requests/runPort.js';
import type { Ran } from '../schema/failure.js';
import { STREAM_WINDOW_BYTES, MAX_UNSTREAMED_BODY_BYTES } from '../schema/linkFrame.js';
import type { RunFailure, RunFailureKind } from '../schema/linkFrame.js';
import { findResponseFault, parseKeepAliveTimeout, parseTargetNotice } from './responseCheck.js';
import { encodeHeaderLabel, findHeader, selectEndToEndHeaders } from './requestHeaders.js';
import type { RequestHeaderNames } from './requestHeaders.js';
import type { TargetConnection } from './targetConnection.js';
import type { TargetConnectionPool } from './targetConnectionPool.js';

/**
 * Maximum idle time of a connection for a request that cannot be repeated (ms): the target might close a connection
 * that was idle for longer while the request is being written.
 */
const MAX_IDLE_WITHOUT_REPEAT_MS = 250;
/** Fraction of the target's keep-alive timeout for which an idle connection is reused. */
const IDLE_TIMEOUT_FRACTION = 0.6;
/**
 * Maximum size of the rest of a failed response that is read so that its connection can be reused, and the time for it
 * (ms). A target may send it without end.
 */
const MAX_DISCARDED_BYTES = 256 * 1024;
const MAX_DISCARD_MS = 1000;
const MISDIRECTED_REQUEST = 421;
const LAST_CHUNK = Buffer.from('0\r\n\r\n');

export interface TargetSenderOptions {
  pool: TargetConnectionPool;
  names: RequestHeaderNames;
}

/** One request to the target and its response. */
interface Exchange {
  readonly target: TargetSend;
  readonly events: TargetEvents;
  readonly connection: TargetConnection;
  /** True once the outcome was reported or the request was cancelled. */
  isSettled: boolean;
  /** True once the exchange no longer owns its connection, which may carry another request. */
  isReleased: boolean;
  /** Status of the response; 0 until its head arrived. */
  status: number;
  headers: string[];
  /** True if the streamed request body is sent with chunked encoding. */
  isChunked: boolean;
  /** Parts of the response body that were received but not yet passed on. */
  chunks: Buffer[];
  /** Received bytes of the response body. */
  bytes: number;
  /** True once the response body is passed on in parts. */
  isStreaming: boolean;
  /** Bytes of the body that were read after the exchange was settled. */
  discardedBytes: number;
  /** Closes a connection whose response does not end; undefined unless the response is being discarded. */
  discardTimer: NodeJS.Timeout | undefined;
  /** Flow control credit: bytes of a streamed response body that may still be read. */
  creditBytes: number;
}

/**
 * Creates the function that sends requests to the local target. Each request ends with a complete, verified answer of
 * the target or with a failure that says whether the request ran.
 */
export function createTargetSender({ pool, names }: TargetSenderOptions): SendToTarget {
  const strippedHeaders = new Set([names.load]);

  const settleFailed = (exchange: Exchange, failure: RunFailure): void => {
    if (exchange.isSettled) return;
    exchange.isSettled = true;
    exchange.events.fail(failure);
  };
  const fail = (exchange: Exchange, kind: RunFailureKind, ran: Ran, detail: string): void => {
    settleFailed(exchange, { kind, ran, hasArrived: kind !== 'unreachable', detail });
  };
  const settle = (exchange: Exchange): void => {
    if (exchange.isSettled) return;
    exchange.isSettled = true;
    if (exchange.isStreaming) {
      exchange.events.part(new Uint8Array(), true);
      return;
    }
    const { status, headers, chunks } = exchange;
    // A body in a single chunk is not copied.
    const [only] = chunks;
    const body = chunks.length === 1 && only !== undefined ? only : Buffer.concat(chunks);
    exchange.events.answer({ status, headers, body, isStreamed: false });
  };
  const handleHead = (exchange: Exchange, status: number, rawHeaders: string[]): 'accept' | 'skip' => {
    const { request, address } = exchange.target;
    const { connection } = exchange;
    const head = { status, rawHeaders };
    // A target may repeat its response to the previous request before it responds to this one.
    if (findHeader(rawHeaders, names.requestId) === connection.lastRequestId) return 'skip';
    exchange.status = status;
    const fault = findResponseFault(head, request.requestId, names);
    if (fault !== undefined) {
      fail(exchange, 'answerInvalid', 'unknown', fault);
      connection.destroy();
      return 'skip';
    }
    exchange.headers = selectEndToEndHeaders(rawHeaders, strippedHeaders);
    const keepAliveMs = parseKeepAliveTimeout(head);
    if (keepAliveMs !== undefined) connection.idleTimeoutMs = keepAliveMs * IDLE_TIMEOUT_FRACTION;
    if (status === MISDIRECTED_REQUEST) {
      failDiscarding(exchange, 'misdirected', `another target has the address ${address}`);
      return 'accept';
    }
    exchange.events.notice(parseTargetNotice(head, names));
    if (findHeader(rawHeaders, names.notRun) !== undefined)
      failDiscarding(exchange, 'rejected', `the target answered ${status}`);
    return 'accept';
  };
  /** Fails a request that did not run and reads the rest of its response, so that the connection can be reused. */
  const failDiscarding = (exchange: Exchange, kind: RunFailureKind, detail: string): void => {
    exchange.discardTimer = setTimeout(() => {
      release(exchange);
    }, MAX_DISCARD_MS);
    fail(exchange, kind, 'no', detail);
  };
  const release = (exchange: Exchange): void => {
    clearTimeout(exchange.discardTimer);
    exchange.isReleased = true;
    exchange.connection.destroy();
  };
  const handleData = (exchange: Exchange, chunk: Buffer): boolean => {
    if (exchange.isSettled) {
      exchange.discardedBytes += chunk.length;
      if (exchange.discardedBytes > MAX_DISCARDED_BYTES) release(exchange);
      return true;
    }
    exchange.bytes += chunk.length;
    if (exchange.isStreaming) {
      exchange.creditBytes -= chunk.length;
      exchange.events.part(chunk, false);
      return exchange.creditBytes > 0;
    }
    exchange.chunks.push(chunk);
    if (exchange.bytes <= MAX_UNSTREAMED_BODY_BYTES) return true;
    exchange.isStreaming = true;
    const { status, headers } = exchange;
    exchange.events.answer({ status, headers, body: Buffer.concat(exchange.chunks.splice(0)), isStreamed: true });
    return true;
  };
  const finish = (exchange: Exchange): void => {
    settle(exchange);
    clearTimeout(exchange.discardTimer);
    exchange.isReleased = true;
    const { connection, target } = exchange;
    connection.lastRequestId = target.request.requestId;
    if (!connection.isReusable) connection.destroy();
    else pool.release(target.address, connection);
  };
  const handleFailure = (exchange: Exchange, detail: string, isInvalid: boolean): void => {
    const { connection } = exchange;
    clearTimeout(exchange.discardTimer);
    if (exchange.isSettled) return;
    if (!connection.isConnected) fail(exchange, 'unreachable', 'no', detail);
    else if (exchange.status !== 0)
      fail(exchange, 'answerTruncated', 'unknown', `the response was truncated: ${detail}`);
    else if (isInvalid) fail(exchange, 'answerInvalid', 'unknown', `the response has no valid head: ${detail}`);
    else failUnanswered(exchange, detail);
  };
  /** The request is not sent again from here, as only its entry knows whether and where it may run once more. */
  const failUnanswered = (exchange: Exchange, reason: string): void => {
    const isStale = pool.discardStale(exchange.target.address, exchange.connection);
    const detail = `${isStale ? 'reused connection' : 'connection'} failed before a response: ${reason}`;
    const failure = { kind: 'connectionLost' as const, ran: 'unknown' as const, hasArrived: true, detail };
    settleFailed(exchange, isStale ? { ...failure, isStale } : failure);
  };
  const start = (exchange: Exchange): void => {
    const { connection } = exchange;
    const { request } = exchange.target;
    connection.setResponseEvents({
      head: (status, rawHeaders) => handleHead(exchange, status, rawHeaders),
      data: (chunk) => handleData(exchange, chunk),
      end: () => {
        finish(exchange);
      },
      fail: (detail, isInvalid) => {
        handleFailure(exchange, detail, isInvalid);
      },
    });
    const { method, body, isStreamed } = request;
    connection.start({ head: formatHead(exchange), method, body, isStreamed });
  };
  const formatHead = ({ target, isChunked }: Exchange): string => {
    const { request, targetId } = target;
    const { method, path, headers, body } = request;
    let text = `${method} ${path} HTTP/1.1\r\n`;
    for (let index = 0; index + 1 < headers.length; index += 2)
      text += `${headers[index] ?? ''}: ${headers[index + 1] ?? ''}\r\n`;
    text += `${names.requestId}: ${request.requestId}\r\n`;
    text += `${names.timeLeft}: ${Math.max(1, Math.floor(request.timeLeftMs))}\r\n`;
    text += `${names.callerService}: ${encodeHeaderLabel(request.callerService)}\r\n${names.targetId}: ${encodeHeaderLabel(targetId)}\r\n`;
    if (request.organisation !== undefined)
      text += `${names.organisation}: ${encodeHeaderLabel(request.organisation)}\r\n`;
    if (isChunked) text += 'Transfer-Encoding: chunked\r\n';
    else if (body !== undefined && findHeader(headers, 'content-length') === undefined)
      text += `Content-Length: ${body.length}\r\n`;
    return `${text}\r\n`;
  };
  const sendBody = (exchange: Exchange, data: Uint8Array, isLast: boolean): void => {
    const { connection, isChunked, events } = exchange;
    if (exchange.isSettled) return;
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
    const exchange: Exchange = {
      target,
      events,
      connection: pool.take(target.address, mayRepeat ? Infinity : MAX_IDLE_WITHOUT_REPEAT_MS),
      isSettled: false,
      isReleased: false,
      status: 0,
      headers: [],
      isChunked: request.isStreamed && findHeader(request.headers, 'content-length') === undefined,
      chunks: [],
      bytes: 0,
      isStreaming: false,
      discardedBytes: 0,
      discardTimer: undefined,
      creditBytes: STREAM_WINDOW_BYTES,
    };
    start(exchange);
    return {
      cancel: () => {
        if (exchange.isReleased) return;
        exchange.isSettled = true;
        release(exchange);
      },
      grantAnswer: (bytes) => {
        const wasPaused = exchange.creditBytes <= 0;
        exchange.creditBytes += bytes;
        if (wasPaused && exchange.creditBytes > 0) exchange.connection.resume();
      },
      sendBody: (data, isLast) => {
        sendBody(exchange, data, isLast);
      },
    };
  };
}
