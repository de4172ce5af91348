import type { Socket } from 'node:net';
import type { ClientReply, ClientRequest } from '../control/requests/entry.js';
import type { RunAnswer, RunHandle } from '../control/requests/runPort.js';
import { MAX_UNSTREAMED_BODY_BYTES, STREAM_WINDOW_BYTES } from '../schema/linkFrame.js';
import type { Refusal } from '../schema/refusal.js';
import type { RequestLimits } from '../schema/routeConfiguration.js';
import { createBodyCollector } from './bodyCollector.js';
import type { MessageHead } from './messageParser.js';
import type { RequestHead } from './requestHead.js';
import { HEADER_OVERHEAD_BYTES } from './requestReader.js';
import { createResponseWriter } from './responseWriter.js';

/** One request on a connection and its response. */
export interface ClientExchange {
  readonly message: MessageHead;
  /** True once the whole request was read. */
  readonly isRequestComplete: boolean;
  /** True once the request was passed on or refused. */
  readonly isPassedOn: boolean;
  /** True if no more of the request's body may be read now. */
  readonly isBodyBlocked: boolean;
  /** Estimated memory held for the request. */
  readonly heldBytes: number;
  /** Starts to read the body, if there is one. */
  start(): void;
  addBody(part: Buffer): void;
  /** Passes on what was collected of a streamed body. */
  flushBody(): void;
  endRequest(): void;
  refuse(refusal: Refusal): void;
  /** Ends the request without a response. */
  cancel(): void;
}

export interface ClientExchangeOptions {
  message: MessageHead;
  head: RequestHead;
  socket: Socket;
  readLimits: () => RequestLimits | undefined;
  accept: (request: ClientRequest, reply: ClientReply) => RunHandle;
  formatConnectionHeaders: (exchange: ClientExchange) => string;
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

/** Creates the exchange for a request whose head was read. */
export function createClientExchange(options: ClientExchangeOptions): ClientExchange {
  const { message, head, socket, readLimits, handleProgress } = options;
  const body = createBodyCollector();
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
  let isPassedOn = false;
  let cancelBodyTimer = (): void => undefined;

  const endBodyRead = (): void => {
    cancelBodyTimer();
    cancelBodyTimer = () => undefined;
  };
  const refuseOrAbort = (refusal: Refusal): void => {
    isPassedOn = true;
    endBodyRead();
    if (writer.hasBegun) socket.destroy();
    else writer.refuse(refusal);
  };
  const forward = (whole: Uint8Array | undefined): void => {
    endBodyRead();
    isPassedOn = true;
    passedBytes = whole?.length ?? 0;
    const { requestId, host, headers, identityHeaders, key, timeLeftMs } = head;
    const { method, url: path } = message;
    const request = {
      requestId,
      method,
      path,
      host,
      headers,
      identityHeaders,
      key,
      timeLeftMs,
      body: whole,
      isStreamed,
    };
    handle = options.accept(request, reply);
  };
  const sendPart = (): void => {
    if (body.length === 0) return;
    const part = body.take();
    creditBytes -= part.length;
    handle?.sendBody(part, false);
  };
  const exchange: ClientExchange = {
    message,
    get isRequestComplete() {
      return isRequestComplete;
    },
    get isPassedOn() {
      return isPassedOn;
    },
    get isBodyBlocked() {
      return creditBytes <= 0;
    },
    get heldBytes() {
      const streamedBytes = isStreamed ? Math.max(0, STREAM_WINDOW_BYTES - creditBytes) : 0;
      return headHeldBytes + body.heldBytes + passedBytes + streamedBytes;
    },
    start: () => {
      if (!head.hasBody) return;
      if (head.expectsContinue) socket.write('HTTP/1.1 100 Continue\r\n\r\n', 'latin1');
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
    addBody: (part) => {
      if (isPassedOn && handle === undefined) return;
      bodyBytes += part.length;
      const maxBytes = readLimits()?.maxBodyBytes ?? Infinity;
      if (bodyBytes > maxBytes) {
        handle?.cancel();
        refuseOrAbort({ kind: 'bodyTooLarge', detail: `more than ${maxBytes} bytes` });
        return;
      }
      body.add(part);
      if (handle !== undefined || bodyBytes <= MAX_UNSTREAMED_BODY_BYTES) return;
      isStreamed = true;
      forward(undefined);
    },
    flushBody: () => {
      if (isStreamed && handle !== undefined) sendPart();
    },
    endRequest: () => {
      isRequestComplete = true;
      if (isStreamed) {
        sendPart();
        handle?.sendBody(new Uint8Array(), true);
      } else if (!isPassedOn) forward(head.hasBody ? body.take() : undefined);
    },
    refuse: (refusal) => {
      handle?.cancel();
      refuseOrAbort(refusal);
    },
    cancel: () => {
      endBodyRead();
      if (!writer.hasEnded) handle?.cancel();
    },
  };
  const writer = createResponseWriter({
    socket,
    method: message.method,
    minorVersion: message.minorVersion,
    formatConnectionHeaders: () => options.formatConnectionHeaders(exchange),
    grantBytes: (bytes) => handle?.grantAnswer(bytes),
    handleEnd: () => {
      endBodyRead();
      options.handleEnd(exchange);
    },
  });
  const reply: ClientReply = {
    answer: (answer: RunAnswer) => {
      writer.answer(answer);
    },
    part: writer.part,
    refuse: writer.refuse,
    abort: () => {
      socket.destroy();
    },
    grantBody: (bytes) => {
      creditBytes += bytes;
      handleProgress();
    },
  };
  return exchange;
}
