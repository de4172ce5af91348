import type { Socket } from 'node:net';
import type { AcceptRequest, ClientReply, ClientRequest } from '../control/requests/entry.js';
import type { RunHandle } from '../control/requests/runPort.js';
import { STREAM_WINDOW_BYTES } from '../schema/linkFrame.js';
import type { Refusal } from '../schema/refusal.js';
import type { RequestLimits } from '../schema/routeConfiguration.js';
import { createBodyCollector } from '../core/bodyCollector.js';
import type { BodyCollector } from '../core/bodyCollector.js';
import type { MessageHead } from './messageParser.js';
import type { RequestHead } from './requestHead.js';
import { HEADER_OVERHEAD_BYTES } from './requestReader.js';
import { createResponseWriter } from './responseWriter.js';
import type { RefusalFormat } from './responseWriter.js';

/** One request on a connection and its response. */
export interface ClientExchange {
  readonly message: MessageHead;
  /** True once the request was passed on or refused. */
  readonly isPassedOn: boolean;
  /** True if the request waits until the requests before it are answered. */
  readonly isHeldBack: boolean;
  /** Bytes of the response that wait for the responses before it. */
  readonly waitingBytes: number;
  /** True if the connection cannot be used after the response: what follows might be the rest of this request. */
  isLast(): boolean;
  /** True if no more of the request's body may be read now. */
  isBodyBlocked(): boolean;
  /** Estimates the memory held for the request. */
  countHeldBytes(): number;
  /** Starts to read the body, if there is one. */
  start(): void;
  addBody(part: Buffer): void;
  /** Passes on what was collected of a streamed body. */
  flushBody(): void;
  endRequest(): void;
  refuse(refusal: Refusal): void;
  /** Called once all requests before this one are answered. */
  becomeFirst(): void;
  /** Ends the request without a response. */
  cancel(): void;
}

/** What a listener does with the requests that it reads. */
export interface RequestHandling {
  /** Returns the limits of the active configuration; undefined before a configuration was read. */
  readLimits: () => RequestLimits | undefined;
  /** Maximum size of a body that is passed on as a whole; larger ones are streamed. */
  maxWholeBodyBytes: number;
  formatRefusal: RefusalFormat;
  accept: AcceptRequest;
  /** True if a request may run before the requests in front of it are answered. */
  isIdempotent: (request: Pick<ClientRequest, 'host' | 'path'>) => boolean;
}

export interface ClientExchangeOptions extends RequestHandling {
  message: MessageHead;
  head: RequestHead;
  socket: Socket;
  now: () => number;
  /** True if all requests before this one are answered. */
  isFirst: (exchange: ClientExchange) => boolean;
  formatConnectionHeaders: (exchange: ClientExchange, mustClose: boolean) => string;
  /** True if the client sent many requests before it without waiting for responses. */
  isExcess: boolean;
  /** Called when the sender of the body may send more, and when held memory was released. */
  handleProgress: () => void;
  /** Called once the whole response was written. */
  handleEnd: (exchange: ClientExchange) => void;
}

/** Maximum time to receive a request body if the client sent no deadline (ms). */
const DEFAULT_BODY_TIMEOUT_MS = 30_000;
/** Bounds the time that a client may say; a longer timer than 2^31 ms would fire at once (ms). */
const MAX_BODY_TIMEOUT_MS = 600_000;
/** Estimated memory of a request beyond its headers and its body. */
const REQUEST_OVERHEAD_BYTES = 2048;

const EMPTY = Buffer.alloc(0);

/** Creates the exchange for a request whose head was read. */
export function createClientExchange(options: ClientExchangeOptions): ClientExchange {
  const { message, head, socket, now, readLimits, handleProgress } = options;
  const startedAtMs = now();
  /** Created for the first part, since most requests have no body. */
  let body: BodyCollector | undefined;
  const headHeldBytes =
    REQUEST_OVERHEAD_BYTES + head.headBytes + (message.rawHeaders.length / 2) * HEADER_OVERHEAD_BYTES;
  let bodyBytes = 0;
  /** Bytes of a whole body that was passed on. */
  let passedBytes = 0;
  /** Flow control credit: bytes of a streamed request body that may still be read. */
  let creditBytes = STREAM_WINDOW_BYTES;
  let handle: RunHandle | undefined;
  let isStreamed = false;
  let isRequestComplete = false;
  let isRefused = false;
  let isEndSent = false;
  let wasHeldBack = false;
  /** The whole body of a request that is held back, if it has one. */
  let heldBack: { whole: Uint8Array | undefined } | undefined;
  /** Calls of the reply that wait until the responses before it are written. */
  let waitingCalls: (() => void)[] | undefined;
  let cancelBodyTimer = (): void => undefined;

  const endBodyRead = (): void => {
    cancelBodyTimer();
    cancelBodyTimer = () => undefined;
  };
  const deliver = (bytes: number, call: () => void): void => {
    if (options.isFirst(exchange) && waitingCalls === undefined) {
      call();
      return;
    }
    (waitingCalls ??= []).push(call);
    exchange.waitingBytes += bytes;
    handleProgress();
  };
  const refuseOrAbort = (refusal: Refusal): void => {
    exchange.isPassedOn = true;
    isRefused = true;
    endBodyRead();
    deliver(0, () => {
      if (writer.hasBegun) socket.destroy();
      else writer.refuse(refusal);
    });
  };
  /** Returns the time that the client still waits (ms): it also passes while the body arrives or the request is held back. */
  const countTimeLeft = (): number =>
    wasHeldBack || head.hasBody ? Math.max(0, head.timeLeftMs - (now() - startedAtMs)) : head.timeLeftMs;
  const forward = (whole: Uint8Array | undefined): void => {
    endBodyRead();
    const { requestId, host, headers, identityHeaders, key } = head;
    const { method, url: path } = message;
    passedBytes = whole?.length ?? 0;
    if (!options.isFirst(exchange) && !options.isIdempotent({ host, path })) {
      heldBack = { whole };
      wasHeldBack = true;
      exchange.isHeldBack = true;
      return;
    }
    exchange.isPassedOn = true;
    const request = {
      requestId,
      method,
      path,
      host,
      headers,
      identityHeaders,
      key,
      timeLeftMs: countTimeLeft(),
      body: whole,
      isStreamed,
      isExcess: options.isExcess,
    };
    handle = options.accept(request, reply, socket);
  };
  const sendStreamed = (): void => {
    if (!isStreamed || handle === undefined || isRefused) return;
    if (body !== undefined && body.length > 0) {
      const part = body.take();
      creditBytes -= part.length;
      handle.sendBody(part, false);
    }
    if (!isRequestComplete || isEndSent) return;
    isEndSent = true;
    handle.sendBody(new Uint8Array(), true);
  };
  // Plain fields: an object literal with getters takes several times as long to create, and there is one per request.
  const exchange = {
    message,
    isPassedOn: false,
    isHeldBack: false,
    waitingBytes: 0,
    isLast: (): boolean => !isRequestComplete || isRefused || !message.shouldKeepAlive,
    isBodyBlocked: (): boolean => creditBytes <= 0 || isRefused || heldBack !== undefined,
    countHeldBytes: (): number => {
      const streamedBytes = isStreamed ? Math.max(0, STREAM_WINDOW_BYTES - creditBytes) : 0;
      return headHeldBytes + (body?.heldBytes ?? 0) + passedBytes + streamedBytes + exchange.waitingBytes;
    },
    start: () => {
      if (!head.hasBody) return;
      if (head.expectsContinue) {
        deliver(0, () => {
          socket.write('HTTP/1.1 100 Continue\r\n\r\n', 'latin1');
        });
      }
      const timeoutMs = head.timeLeftMs === Infinity ? DEFAULT_BODY_TIMEOUT_MS : head.timeLeftMs;
      const timer = setTimeout(
        () => {
          refuseOrAbort({ kind: 'readTimeout', detail: 'the request body did not arrive in time' });
        },
        Math.min(timeoutMs, MAX_BODY_TIMEOUT_MS),
      );
      cancelBodyTimer = () => {
        clearTimeout(timer);
      };
    },
    addBody: (part: Buffer): void => {
      if (isRefused || (exchange.isPassedOn && handle === undefined)) return;
      bodyBytes += part.length;
      const maxBytes = readLimits()?.maxBodyBytes ?? Infinity;
      if (bodyBytes > maxBytes) {
        handle?.cancel();
        refuseOrAbort({ kind: 'bodyTooLarge', detail: `more than ${maxBytes} bytes` });
        return;
      }
      (body ??= createBodyCollector()).add(part);
      if (handle !== undefined || isStreamed || bodyBytes <= options.maxWholeBodyBytes) return;
      isStreamed = true;
      forward(undefined);
    },
    flushBody: sendStreamed,
    endRequest: () => {
      isRequestComplete = true;
      if (isStreamed) sendStreamed();
      else if (!exchange.isPassedOn) forward(head.hasBody ? (body?.take() ?? EMPTY) : undefined);
    },
    refuse: (refusal: Refusal): void => {
      handle?.cancel();
      refuseOrAbort(refusal);
    },
    becomeFirst: () => {
      if (heldBack !== undefined) {
        const { whole } = heldBack;
        heldBack = undefined;
        exchange.isHeldBack = false;
        forward(whole);
        sendStreamed();
      }
      exchange.waitingBytes = 0;
      for (let call = waitingCalls?.shift(); call !== undefined; call = waitingCalls?.shift()) call();
      waitingCalls = undefined;
    },
    cancel: () => {
      waitingCalls = undefined;
      heldBack = undefined;
      endBodyRead();
      if (!writer.hasEnded) handle?.cancel();
    },
  };
  const writer = createResponseWriter({
    socket,
    method: message.method,
    minorVersion: message.minorVersion,
    formatConnectionHeaders: (mustClose) => options.formatConnectionHeaders(exchange, mustClose || exchange.isLast()),
    formatRefusal: options.formatRefusal,
    grantBytes: (bytes) => handle?.grantAnswer(bytes),
    handleEnd: () => {
      endBodyRead();
      options.handleEnd(exchange);
    },
  });
  const reply: ClientReply = {
    answer: (answer) => {
      deliver(answer.body.length, () => {
        writer.answer(answer);
      });
    },
    part: (data, isLast) => {
      deliver(data.length, () => {
        writer.part(data, isLast);
      });
    },
    refuse: (refusal) => {
      deliver(0, () => {
        writer.refuse(refusal);
      });
    },
    abort: () => {
      deliver(0, () => {
        socket.destroy();
      });
    },
    grantBody: (bytes) => {
      creditBytes += bytes;
      handleProgress();
    },
  };
  return exchange;
}
