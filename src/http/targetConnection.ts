import { openSocket } from '../core/openSocket.js';
import { createMessageParser, INVALID_SYNTAX_CODE } from './messageParser.js';
import { isInterimStatus } from './responseCheck.js';

/** Events of the response to the request that a connection carries. */
export interface ResponseEvents {
  /** Called with the head of a response. Returns `skip` to discard it and wait for the next one. */
  head(status: number, rawHeaders: string[]): 'accept' | 'skip';
  /** Called with a part of the body. Returns false to pause reading until `resume`. */
  data(chunk: Buffer): boolean;
  /** Called when the response is complete. */
  end(): void;
  /**
   * Called when the connection failed or ended before the response was complete. `isInvalid`: the target responded, with bytes
   * that are no valid head.
   */
  fail(detail: string, isInvalid: boolean): void;
}

/** A connection to a target, which carries one request at a time. */
export interface TargetConnection {
  /** True once the connection was established, so that what was written may have arrived. */
  readonly isConnected: boolean;
  /** True while the connection can carry another request. */
  readonly isReusable: boolean;
  /** True if it carried a request before the present one. */
  readonly isReused: boolean;
  /** Monotonic time (ms) at which the pool handed it out. */
  takenAtMs: number;
  /** Id of the previous request; empty if there was none. */
  lastRequestId: string;
  /** Monotonic time (ms) at which the connection became idle. */
  idleSinceMs: number;
  /** Time for which the idle connection may be reused (ms). */
  idleTimeoutMs: number;
  /** Writes the head of a request and its body, unless the body is streamed. */
  start(request: { head: string; body: Uint8Array | undefined; method: string; isStreamed: boolean }): void;
  /** Writes a part of a streamed body; calls `done` when it was flushed and more may be written. */
  writeBody(data: Uint8Array, isLast: boolean, done: () => void): void;
  /** Sets the events of the request that is started next. */
  setResponseEvents(events: ResponseEvents): void;
  /** Resumes reading after `data` returned false. */
  resume(): void;
  /** Closes the connection without any further events. */
  destroy(): void;
}

/** Time after which a target that does not accept a connection is considered unreachable (ms). */
const CONNECT_TIMEOUT_MS = 1000;
/** Time for which an idle connection is reused if the target sends no `Keep-Alive` timeout (ms). */
const DEFAULT_IDLE_TIMEOUT_MS = 4000;
/** Maximum size of a body that is written in one call with its head. */
const MAX_COALESCED_BODY_BYTES = 16 * 1024;
/**
 * Maximum number of received bytes, per request, that are no part of a response body; a multiple of the body is allowed
 * in addition, since a target may send it in small chunks.
 */
const MAX_OVERHEAD_BYTES = 256 * 1024;
const MAX_OVERHEAD_PER_BODY_BYTE = 8;
/** Error codes of the parser for a response whose head is not valid; the first one is that of a status without three digits. */
const invalidHeadCodes: ReadonlySet<string> = new Set(['HPE_INVALID_STATUS', INVALID_SYNTAX_CODE]);

/** Opens a connection. A request may be started before it is established. */
export function openTargetConnection(address: string): TargetConnection {
  const socket = openSocket(address);
  const state = {
    isConnected: false,
    isReusable: true,
    useCount: 0,
    isRequestWritten: true,
    method: '',
    wasReset: false,
    receivedBytes: 0,
    bodyBytes: 0,
  };
  let events: ResponseEvents | undefined;
  /** True while the current message is read without being reported. */
  let isDiscarded = false;
  let shouldKeepAlive = true;

  const fail = (detail: string, isInvalid = false): void => {
    state.isReusable = false;
    socket.destroy();
    const failed = events;
    events = undefined;
    failed?.fail(detail, isInvalid);
  };
  /** True when the target keeps sending interim responses, repeated responses or chunk sizes without end. */
  const hasTooMuchOverhead = (): boolean => {
    const { receivedBytes, bodyBytes } = state;
    return receivedBytes - bodyBytes > MAX_OVERHEAD_BYTES + MAX_OVERHEAD_PER_BODY_BYTE * bodyBytes;
  };
  const parser = createMessageParser('response', {
    begin: () => {
      // The target sent bytes without a request.
      if (events === undefined) state.isReusable = false;
    },
    isWithoutBody: () => state.method === 'HEAD',
    head: (message) => {
      shouldKeepAlive = message.shouldKeepAlive;
      isDiscarded = isInterimStatus(message.status) || events?.head(message.status, message.rawHeaders) !== 'accept';
    },
    body: (chunk) => {
      if (isDiscarded) return;
      state.bodyBytes += chunk.length;
      if (events?.data(chunk) === false) socket.pause();
    },
    end: () => {
      if (isDiscarded) return;
      // A target that responds before it has read the whole body would read the next request as the rest of it.
      if (!shouldKeepAlive || !state.isRequestWritten) state.isReusable = false;
      const ended = events;
      events = undefined;
      // A pause belongs to the response that ended: nobody resumes reading for the next one.
      socket.resume();
      ended?.end();
    },
  });
  const timer = setTimeout(() => {
    fail(`no connection within ${CONNECT_TIMEOUT_MS} ms`);
  }, CONNECT_TIMEOUT_MS);
  socket.setNoDelay(true);
  socket.once('connect', () => {
    clearTimeout(timer);
    state.isConnected = true;
  });
  socket.on('data', (chunk) => {
    if (events === undefined) {
      // The target sent bytes without a request.
      fail('unexpected bytes after the response');
      return;
    }
    state.receivedBytes += chunk.length;
    const fault = parser.parse(chunk);
    if (fault !== undefined) fail(fault.message, invalidHeadCodes.has(fault.code));
    else if (hasTooMuchOverhead()) fail('the target sent too many bytes that are no part of a body');
  });
  socket.on('end', () => {
    state.isReusable = false;
    // A reset that arrives with the last bytes is reported as `end`; only the missing remote address reveals it.
    if (socket.remoteAddress === undefined) state.wasReset = true;
    const fault = state.wasReset ? undefined : parser.finish();
    if (events !== undefined)
      fail(state.wasReset ? 'the target reset the connection' : (fault?.message ?? 'the target closed the connection'));
  });
  socket.on('error', (error) => {
    clearTimeout(timer);
    fail(error.message);
  });
  socket.on('close', () => {
    clearTimeout(timer);
    fail('the connection was closed');
    // The parser must not be closed from within one of its events.
    setImmediate(parser.close);
  });
  return {
    get isConnected() {
      return state.isConnected;
    },
    get isReusable() {
      return state.isReusable;
    },
    get isReused() {
      return state.useCount > 1;
    },
    lastRequestId: '',
    takenAtMs: 0,
    idleSinceMs: 0,
    idleTimeoutMs: DEFAULT_IDLE_TIMEOUT_MS,
    start: ({ head, body, method, isStreamed }) => {
      state.useCount++;
      state.receivedBytes = 0;
      state.bodyBytes = 0;
      state.method = method;
      state.isRequestWritten = !isStreamed;
      if (body === undefined || body.length === 0) socket.write(head, 'latin1');
      else if (body.length > MAX_COALESCED_BODY_BYTES) {
        socket.write(head, 'latin1');
        socket.write(body);
      } else {
        const text = Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString('latin1');
        socket.write(head + text, 'latin1');
      }
    },
    writeBody: (data, isLast, done) => {
      if (data.length > 0) socket.write(data, done);
      if (isLast) state.isRequestWritten = true;
    },
    setResponseEvents: (next) => {
      events = next;
    },
    resume: () => {
      socket.resume();
    },
    destroy: () => {
      state.isReusable = false;
      events = undefined;
      socket.destroy();
    },
  };
}
