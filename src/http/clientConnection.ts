import type { Socket } from 'node:net';
import type { ClientReply, ClientRequest } from '../control/requests/entry.js';
import type { RunHandle } from '../control/requests/runPort.js';
import { STREAM_WINDOW_BYTES, MAX_UNSTREAMED_BODY_BYTES } from '../schema/linkFrame.js';
import type { Refusal } from '../schema/refusal.js';
import type { RequestLimits } from '../schema/routeConfiguration.js';
import { createMessageParser } from './messageParser.js';
import type { MessageHead, ParseError } from './messageParser.js';
import type { RequestHead } from './requestHead.js';
import { createResponseWriter, formatRefusal } from './responseWriter.js';
import type { ResponseWriter } from './responseWriter.js';

/**
 * - `idle`: no request has begun;
 * - `head`: the head of a request is being read;
 * - `request`: a request is being read or answered;
 * - `closing`: the connection is half-closed, and what the client still sends is discarded.
 */
export type ConnectionPhase = 'idle' | 'head' | 'request' | 'closing';

export interface ClientConnection {
  readonly phase: ConnectionPhase;
  /** Monotonic time (ms) at which the phase began. */
  readonly phaseStartedAtMs: number;
  /** Refuses the request whose head did not arrive in time, then closes the connection. */
  expire(): void;
  /** Closes the connection without a response. */
  destroy(): void;
}

export interface ClientConnectionOptions {
  socket: Socket;
  now: () => number;
  readHead: (message: { rawHeaders: string[]; url: string }) => RequestHead;
  /** Returns the limits of the active configuration; undefined before a configuration was read. */
  readLimits: () => RequestLimits | undefined;
  /** True once the connection has to be closed after the current response. */
  isStopping: () => boolean;
  accept: (request: ClientRequest, reply: ClientReply) => RunHandle;
  /** Called once when the connection was closed. */
  handleClose: () => void;
}

/** One request on the connection and its response. */
interface Exchange {
  readonly message: MessageHead;
  readonly head: RequestHead;
  readonly writer: ResponseWriter;
  chunks: Buffer[];
  bodyBytes: number;
  /** Flow control credit: bytes of a streamed request body that may still be read. */
  creditBytes: number;
  handle: RunHandle | undefined;
  /** True once the whole request was read. */
  isRequestComplete: boolean;
  cancelBodyTimer: () => void;
}

/** Maximum time to receive a request body if the client sent no deadline (ms). */
const DEFAULT_BODY_TIMEOUT_MS = 30_000;
const refusalKindByErrorCode: ReadonlyMap<string, Refusal['kind']> = new Map([
  ['HPE_HEADER_OVERFLOW', 'headersTooLarge'],
]);

/**
 * Serves the requests of one client connection in their order. Pipelined requests are deferred until the response to
 * the request before them has ended.
 */
export function createClientConnection(options: ClientConnectionOptions): ClientConnection {
  const { socket, now } = options;
  let phase: ConnectionPhase = 'idle';
  let phaseStartedAtMs = now();
  let current: Exchange | undefined;
  /** Parser events of pipelined requests, deferred until the current exchange ends. */
  const deferredEvents: (() => void)[] = [];

  const enterPhase = (next: ConnectionPhase): void => {
    phase = next;
    phaseStartedAtMs = now();
  };
  /**
   * Half-closes the connection and discards what the client still sends: closing a socket with unread data resets the
   * connection, and the client could lose the response.
   */
  const close = (): void => {
    if (phase === 'closing') return;
    enterPhase('closing');
    deferredEvents.length = 0;
    socket.end();
    socket.resume();
  };
  const formatConnectionHeaders = (): string => {
    const isLast = phase === 'closing' || current?.isRequestComplete !== true || !current.message.shouldKeepAlive;
    if (isLast || options.isStopping()) return 'Connection: close\r\n';
    const seconds = Math.floor((options.readLimits()?.idleTimeoutMs ?? 0) / 1000);
    return seconds > 0 ? `Connection: keep-alive\r\nKeep-Alive: timeout=${seconds}\r\n` : 'Connection: keep-alive\r\n';
  };
  const finishExchange = (exchange: Exchange, shouldKeepAlive: boolean): void => {
    exchange.cancelBodyTimer();
    current = undefined;
    if (!shouldKeepAlive || options.isStopping()) {
      close();
      return;
    }
    enterPhase('idle');
    runDeferredEvents();
  };
  const runDeferredEvents = (): void => {
    while (deferredEvents.length > 0 && current?.isRequestComplete !== true) deferredEvents.shift()?.();
    if (deferredEvents.length === 0 && phase !== 'closing' && current?.isRequestComplete !== true) socket.resume();
  };
  const runOrDefer = (event: () => void): void => {
    if (phase === 'closing') return;
    if (deferredEvents.length === 0 && current?.isRequestComplete !== true) {
      event();
      return;
    }
    deferredEvents.push(event);
    socket.pause();
  };
  const startExchange = (message: MessageHead): void => {
    enterPhase('request');
    const exchange: Exchange = {
      message,
      head: options.readHead({ rawHeaders: message.rawHeaders, url: message.url }),
      writer: createResponseWriter({
        socket,
        method: message.method,
        minorVersion: message.minorVersion,
        formatConnectionHeaders,
        grantBytes: (bytes) => exchange.handle?.grantAnswer(bytes),
        handleEnd: () => {
          if (current !== exchange) return;
          // The connection is closed after an incomplete request: the rest of its body must not be parsed as a request.
          finishExchange(exchange, exchange.isRequestComplete && message.shouldKeepAlive);
        },
      }),
      chunks: [],
      bodyBytes: 0,
      creditBytes: STREAM_WINDOW_BYTES,
      handle: undefined,
      isRequestComplete: false,
      cancelBodyTimer: () => undefined,
    };
    current = exchange;
    const refusal = checkHead(exchange, options.readLimits());
    if (refusal !== undefined) exchange.writer.refuse(refusal);
    else if (exchange.head.hasBody) startBodyRead(exchange);
  };
  const startBodyRead = (exchange: Exchange): void => {
    const { timeLeftMs, expectsContinue } = exchange.head;
    if (expectsContinue) socket.write('HTTP/1.1 100 Continue\r\n\r\n', 'latin1');
    const timer = setTimeout(
      () => {
        if (exchange.handle === undefined)
          exchange.writer.refuse({ kind: 'readTimeout', detail: 'the request body did not arrive in time' });
      },
      timeLeftMs === Infinity ? DEFAULT_BODY_TIMEOUT_MS : timeLeftMs,
    );
    exchange.cancelBodyTimer = () => {
      clearTimeout(timer);
    };
  };
  const receiveBody = (chunk: Buffer): void => {
    const exchange = current;
    if (exchange === undefined) return;
    exchange.bodyBytes += chunk.length;
    const maxBytes = options.readLimits()?.maxBodyBytes ?? Infinity;
    if (exchange.bodyBytes > maxBytes) {
      exchange.handle?.cancel();
      refuseOrAbort(exchange, { kind: 'bodyTooLarge', detail: `more than ${maxBytes} bytes` });
    } else if (exchange.handle !== undefined) sendBodyPart(exchange, chunk);
    else {
      exchange.chunks.push(chunk);
      if (exchange.bodyBytes > MAX_UNSTREAMED_BODY_BYTES) startStream(exchange);
    }
  };
  const startStream = (exchange: Exchange): void => {
    exchange.cancelBodyTimer();
    accept(exchange, { body: undefined, isStreamed: true });
    sendBodyPart(exchange, Buffer.concat(exchange.chunks.splice(0)));
  };
  const sendBodyPart = (exchange: Exchange, data: Buffer): void => {
    exchange.creditBytes -= data.length;
    if (exchange.creditBytes <= 0) socket.pause();
    exchange.handle?.sendBody(data, false);
  };
  const endRequest = (): void => {
    const exchange = current;
    if (exchange === undefined) return;
    exchange.isRequestComplete = true;
    exchange.cancelBodyTimer();
    if (exchange.handle !== undefined) exchange.handle.sendBody(new Uint8Array(), true);
    else {
      const { chunks } = exchange;
      const body = exchange.head.hasBody ? Buffer.concat(chunks.splice(0)) : undefined;
      accept(exchange, { body, isStreamed: false });
    }
  };
  const accept = (exchange: Exchange, body: Pick<ClientRequest, 'body' | 'isStreamed'>): void => {
    const { message, head, writer } = exchange;
    const { requestId, host, headers, identityHeaders, key, timeLeftMs } = head;
    const { method, url: path } = message;
    exchange.handle = options.accept(
      { requestId, method, path, host, headers, identityHeaders, key, timeLeftMs, ...body },
      {
        answer: writer.answer,
        part: writer.part,
        refuse: writer.refuse,
        abort: () => {
          socket.destroy();
        },
        grantBody: (bytes) => {
          exchange.creditBytes += bytes;
          if (exchange.creditBytes > 0 && !exchange.isRequestComplete) socket.resume();
        },
      },
    );
  };
  const refuseOrAbort = (exchange: Exchange, refusal: Refusal): void => {
    if (exchange.writer.hasBegun) socket.destroy();
    else exchange.writer.refuse(refusal);
  };
  const handleParseError = ({ code, message }: ParseError): void => {
    const refusal: Refusal = { kind: refusalKindByErrorCode.get(code) ?? 'malformed', detail: message };
    if (current === undefined) {
      const { head, body } = formatRefusal(refusal);
      socket.write(`${head}Connection: close\r\n\r\n${body}`);
      close();
    } else if (current.isRequestComplete) {
      // The invalid bytes follow a complete request, which still gets its response.
      current.message.shouldKeepAlive = false;
      socket.pause();
    } else {
      current.handle?.cancel();
      refuseOrAbort(current, refusal);
    }
  };
  const abandonExchange = (): void => {
    if (current?.writer.hasEnded === false) current.handle?.cancel();
    current?.cancelBodyTimer();
    current = undefined;
  };
  const parser = createMessageParser('request', {
    head: (message) => {
      runOrDefer(() => {
        startExchange(message);
      });
      return false;
    },
    body: (chunk) => {
      runOrDefer(() => {
        receiveBody(chunk);
      });
    },
    end: () => {
      runOrDefer(endRequest);
    },
  });
  socket.setNoDelay(true);
  socket.on('data', (chunk: Buffer) => {
    if (phase === 'closing') return;
    if (phase === 'idle') enterPhase('head');
    const fault = parser.parse(chunk);
    if (fault !== undefined && socket.writable) handleParseError(fault);
  });
  socket.on('end', abandonExchange);
  // A `close` event follows.
  socket.on('error', abandonExchange);
  socket.on('close', () => {
    abandonExchange();
    parser.close();
    options.handleClose();
  });
  return {
    get phase() {
      return phase;
    },
    get phaseStartedAtMs() {
      return phaseStartedAtMs;
    },
    expire: () => {
      const { head, body } = formatRefusal({ kind: 'readTimeout', detail: 'the request head did not arrive in time' });
      socket.write(`${head}Connection: close\r\n\r\n${body}`);
      close();
    },
    destroy: () => {
      socket.destroy();
    },
  };
}

function checkHead({ head, message }: Exchange, limits: RequestLimits | undefined): Refusal | undefined {
  if (message.isUpgrade) return { kind: 'malformed', detail: 'protocol upgrades are not supported' };
  if (head.host === '') return { kind: 'malformed', detail: 'the Host header is missing' };
  if (head.requestId === '') return { kind: 'malformed', detail: 'the header with the request id is missing' };
  if (!message.url.startsWith('/')) return { kind: 'malformed', detail: 'the path must begin with a slash' };
  if (limits === undefined) return undefined;
  const { headBytes, bodyBytes } = head;
  if (headBytes > limits.maxHeaderBytes) return { kind: 'headersTooLarge', detail: `${headBytes} bytes` };
  return bodyBytes > limits.maxBodyBytes ? { kind: 'bodyTooLarge', detail: `${bodyBytes} bytes` } : undefined;
}
