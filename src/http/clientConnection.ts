import type { Socket } from 'node:net';
import type { ClientReply, ClientRequest } from '../control/requests/entry.js';
import type { RunHandle } from '../control/requests/runPort.js';
import { STREAM_WINDOW_BYTES, MAX_UNSTREAMED_BODY_BYTES } from '../schema/linkFrame.js';
import type { Refusal } from '../schema/refusal.js';
import type { RequestLimits } from '../schema/routeConfiguration.js';
import { createMessageParser } from './messageParser.js';
import type { MessageHead, ParseFault } from './messageParser.js';
import type { RequestHead } from './requestHead.js';
import { createResponseWriter, formatRefusal } from './responseWriter.js';
import type { ResponseWriter } from './responseWriter.js';

/** What a connection waits for. */
export type ConnectionPhase = 'idle' | 'head' | 'request' | 'closing';

export interface ClientConnection {
  readonly phase: ConnectionPhase;
  /** Monotonic time (ms) at which the phase began. */
  readonly sinceMs: number;
  /** Refuses a request that did not arrive in time, and closes. */
  expire(): void;
  /** Closes without an answer. */
  destroy(): void;
}

export interface ClientConnectionOptions {
  socket: Socket;
  now: () => number;
  readHead: (message: { rawHeaders: string[]; url: string }) => RequestHead;
  readLimits: () => RequestLimits | undefined;
  /** True once each answer closes its connection. */
  isStopping: () => boolean;
  accept: (request: ClientRequest, reply: ClientReply) => RunHandle;
  /** The connection is gone. */
  closed: () => void;
}

/** One request on the connection, and its answer. */
interface Exchange {
  readonly message: MessageHead;
  readonly head: RequestHead;
  readonly writer: ResponseWriter;
  chunks: Buffer[];
  bodyBytes: number;
  /** Bytes of a streamed body that may still be read. */
  creditBytes: number;
  handle: RunHandle | undefined;
  /** The whole request was read. */
  isRead: boolean;
  cancelReadTimer: () => void;
}

/** Longest time for a body of a client that names no time (ms). */
const LONGEST_READ_MS = 30_000;
const parseRefusals: ReadonlyMap<string, Refusal['kind']> = new Map([['HPE_HEADER_OVERFLOW', 'headersTooLarge']]);

/**
 * Serves the requests of one connection, one after the other; those that are sent before the one in front of them was
 * answered wait.
 */
export function createClientConnection(options: ClientConnectionOptions): ClientConnection {
  const { socket, now } = options;
  let phase: ConnectionPhase = 'idle';
  let sinceMs = now();
  let current: Exchange | undefined;
  /** Parts of later requests that wait for the answer to the current one. */
  const deferred: (() => void)[] = [];

  const enter = (next: ConnectionPhase): void => {
    phase = next;
    sinceMs = now();
  };
  /** Lets the client read what was written; what it still sends is read and dropped, since a close would reset its answer. */
  const close = (): void => {
    if (phase === 'closing') return;
    enter('closing');
    deferred.length = 0;
    socket.end();
    socket.resume();
  };
  const formatConnection = (): string => {
    const isLast = phase === 'closing' || current?.isRead !== true || !current.message.shouldKeepAlive;
    if (isLast || options.isStopping()) return 'Connection: close\r\n';
    const seconds = Math.floor((options.readLimits()?.idleTimeoutMs ?? 0) / 1000);
    return seconds > 0 ? `Connection: keep-alive\r\nKeep-Alive: timeout=${seconds}\r\n` : 'Connection: keep-alive\r\n';
  };
  const finish = (exchange: Exchange, isKept: boolean): void => {
    exchange.cancelReadTimer();
    current = undefined;
    if (!isKept || options.isStopping()) {
      close();
      return;
    }
    enter('idle');
    runDeferred();
  };
  const runDeferred = (): void => {
    while (deferred.length > 0 && current?.isRead !== true) deferred.shift()?.();
    if (deferred.length === 0 && phase !== 'closing' && current?.isRead !== true) socket.resume();
  };
  const receiveEvent = (event: () => void): void => {
    if (phase === 'closing') return;
    if (deferred.length === 0 && current?.isRead !== true) {
      event();
      return;
    }
    deferred.push(event);
    socket.pause();
  };
  const startExchange = (message: MessageHead): void => {
    enter('request');
    const exchange: Exchange = {
      message,
      head: options.readHead({ rawHeaders: message.rawHeaders, url: message.url }),
      writer: createResponseWriter({
        socket,
        method: message.method,
        minorVersion: message.minorVersion,
        formatConnection,
        grant: (bytes) => exchange.handle?.grantAnswer(bytes),
        ended: () => {
          if (current !== exchange) return;
          // What is left of a body must not be taken for the next request.
          finish(exchange, exchange.isRead && message.shouldKeepAlive);
        },
      }),
      chunks: [],
      bodyBytes: 0,
      creditBytes: STREAM_WINDOW_BYTES,
      handle: undefined,
      isRead: false,
      cancelReadTimer: () => undefined,
    };
    current = exchange;
    const refusal = findHeadFault(exchange, options.readLimits());
    if (refusal !== undefined) exchange.writer.refuse(refusal);
    else if (exchange.head.hasBody) startBody(exchange);
  };
  const startBody = (exchange: Exchange): void => {
    const { timeLeftMs, awaitsContinue } = exchange.head;
    if (awaitsContinue) socket.write('HTTP/1.1 100 Continue\r\n\r\n', 'latin1');
    const timer = setTimeout(
      () => {
        if (exchange.handle === undefined)
          exchange.writer.refuse({ kind: 'readTimeout', detail: 'the body did not arrive in time' });
      },
      timeLeftMs === Infinity ? LONGEST_READ_MS : timeLeftMs,
    );
    exchange.cancelReadTimer = () => {
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
      refuseOrAbort(exchange, { kind: 'bodyTooLarge', detail: `over ${maxBytes} bytes` });
    } else if (exchange.handle !== undefined) sendBodyPart(exchange, chunk);
    else {
      exchange.chunks.push(chunk);
      if (exchange.bodyBytes > MAX_UNSTREAMED_BODY_BYTES) startStream(exchange);
    }
  };
  const startStream = (exchange: Exchange): void => {
    exchange.cancelReadTimer();
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
    exchange.isRead = true;
    exchange.cancelReadTimer();
    if (exchange.handle !== undefined) exchange.handle.sendBody(new Uint8Array(), true);
    else {
      const { chunks } = exchange;
      const body = exchange.head.hasBody ? Buffer.concat(chunks.splice(0)) : undefined;
      accept(exchange, { body, isStreamed: false });
    }
  };
  const accept = (exchange: Exchange, body: Pick<ClientRequest, 'body' | 'isStreamed'>): void => {
    const { message, head, writer } = exchange;
    const { requestId, host, headers, timeLeftMs } = head;
    const { method, url: path } = message;
    exchange.handle = options.accept(
      { requestId, method, path, host, headers, timeLeftMs, ...body },
      {
        answer: writer.answer,
        part: writer.part,
        refuse: writer.refuse,
        abort: () => {
          socket.destroy();
        },
        grantBody: (bytes) => {
          exchange.creditBytes += bytes;
          if (exchange.creditBytes > 0 && !exchange.isRead) socket.resume();
        },
      },
    );
  };
  const refuseOrAbort = (exchange: Exchange, refusal: Refusal): void => {
    if (exchange.writer.hasBegun) socket.destroy();
    else exchange.writer.refuse(refusal);
  };
  const receiveFault = ({ code, message }: ParseFault): void => {
    const refusal: Refusal = { kind: parseRefusals.get(code) ?? 'malformed', detail: message };
    if (current === undefined) {
      const { head, body } = formatRefusal(refusal);
      socket.write(`${head}Connection: close\r\n\r\n${body}`);
      close();
    } else if (current.isRead) {
      // The bytes follow a whole request, which still gets its answer.
      current.message.shouldKeepAlive = false;
      socket.pause();
    } else {
      current.handle?.cancel();
      refuseOrAbort(current, refusal);
    }
  };
  const abandonCurrent = (): void => {
    if (current?.writer.hasEnded === false) current.handle?.cancel();
    current?.cancelReadTimer();
    current = undefined;
  };
  const parser = createMessageParser('request', {
    head: (message) => {
      receiveEvent(() => {
        startExchange(message);
      });
      return false;
    },
    body: (chunk) => {
      receiveEvent(() => {
        receiveBody(chunk);
      });
    },
    end: () => {
      receiveEvent(endRequest);
    },
  });
  socket.setNoDelay(true);
  socket.on('data', (chunk: Buffer) => {
    if (phase === 'closing') return;
    if (phase === 'idle') enter('head');
    const fault = parser.parse(chunk);
    if (fault !== undefined && socket.writable) receiveFault(fault);
  });
  socket.on('end', abandonCurrent);
  // The close of the connection follows.
  socket.on('error', abandonCurrent);
  socket.on('close', () => {
    abandonCurrent();
    parser.close();
    options.closed();
  });
  return {
    get phase() {
      return phase;
    },
    get sinceMs() {
      return sinceMs;
    },
    expire: () => {
      const { head, body } = formatRefusal({ kind: 'readTimeout', detail: 'the request did not arrive in time' });
      socket.write(`${head}Connection: close\r\n\r\n${body}`);
      close();
    },
    destroy: () => {
      socket.destroy();
    },
  };
}

function findHeadFault({ head, message }: Exchange, limits: RequestLimits | undefined): Refusal | undefined {
  if (message.isUpgrade) return { kind: 'malformed', detail: 'no other protocol is spoken here' };
  if (head.host === '') return { kind: 'malformed', detail: 'a request names its host' };
  if (head.requestId === '') return { kind: 'malformed', detail: 'a request has an id' };
  if (!message.url.startsWith('/')) return { kind: 'malformed', detail: 'a path begins with a slash' };
  if (limits === undefined) return undefined;
  const { headBytes, bodyBytes } = head;
  if (headBytes > limits.maxHeaderBytes) return { kind: 'headersTooLarge', detail: `${headBytes} bytes` };
  return bodyBytes > limits.maxBodyBytes ? { kind: 'bodyTooLarge', detail: `${bodyBytes} bytes` } : undefined;
}
