import { connect } from 'node:net';
import { parseAddress } from '../schema/requestSettings.js';
import { createMessageParser } from './messageParser.js';

/** What a connection tells of the answer to the request that it carries. */
export interface ResponseEvents {
  /** The head of an answer; `skip` where it is none to this request, which another one may follow. */
  head(status: number, rawHeaders: string[]): 'accept' | 'skip';
  /** False where no more may be read until `resume`. */
  data(chunk: Buffer): boolean;
  /** The answer is whole. */
  end(): void;
  /** The connection failed or ended before the answer did. */
  fail(detail: string): void;
}

/** One connection to a target; it carries one request at a time. */
export interface TargetConnection {
  /** It stands: what was written may have arrived. */
  readonly isConnected: boolean;
  /** It can carry another request. */
  readonly isReusable: boolean;
  /** It was used before, so the target may have dropped it unnoticed. */
  readonly isReused: boolean;
  /** Id of the request that it carried before; empty when there was none. */
  lastRequestId: string;
  /** Monotonic time (ms) of the last answer's end. */
  idleSinceMs: number;
  /** How long the target keeps it open unused (ms). */
  idleTimeoutMs: number;
  /** Starts a request: writes its head, and its body where that is whole. */
  start(request: { head: string; body: Uint8Array | undefined; method: string; isStreamed: boolean }): void;
  /** Writes a part of a streamed body; `done` when the target may take more. */
  writeBody(data: Uint8Array, isLast: boolean, done: () => void): void;
  /** Tells what becomes of the request that was started last. */
  setResponseEvents(events: ResponseEvents): void;
  resume(): void;
  destroy(): void;
}

/** Time after which a target that takes no connection counts as unreachable (ms). */
const CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_IDLE_TIMEOUT_MS = 4000;
/** Longest body that is written together with its head. */
const MAX_COALESCED_BODY_BYTES = 16 * 1024;
const FIRST_FINAL_STATUS = 200;

/** Opens a connection; it may be given a request at once. */
export function openTargetConnection(address: string): TargetConnection {
  const socket = connect(parseAddress(address));
  const state = {
    isConnected: false,
    isReusable: true,
    useCount: 0,
    isRequestWritten: true,
    method: '',
    wasReset: false,
  };
  let events: ResponseEvents | undefined;
  /** The message that arrives now is not to be told. */
  let isDiscarded = false;
  let shouldKeepAlive = true;

  const fail = (detail: string): void => {
    state.isReusable = false;
    socket.destroy();
    const failed = events;
    events = undefined;
    failed?.fail(detail);
  };
  const parser = createMessageParser('response', {
    begin: () => {
      // Bytes that belong to no request.
      if (events === undefined) state.isReusable = false;
    },
    head: (message) => {
      shouldKeepAlive = message.shouldKeepAlive;
      isDiscarded =
        message.status < FIRST_FINAL_STATUS || events?.head(message.status, message.rawHeaders) !== 'accept';
      return state.method === 'HEAD';
    },
    body: (chunk) => {
      if (!isDiscarded && events?.data(chunk) === false) socket.pause();
    },
    end: () => {
      if (isDiscarded) return;
      // A target that answers before it has read a long body would take the next request for the rest of it.
      if (!shouldKeepAlive || !state.isRequestWritten) state.isReusable = false;
      const ended = events;
      events = undefined;
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
      // Bytes that belong to no request.
      fail('bytes after the answer');
      return;
    }
    const fault = parser.parse(chunk);
    if (fault !== undefined) fail(fault.message);
  });
  socket.on('end', () => {
    state.isReusable = false;
    // A reset that arrives together with the last bytes is reported as an end; only the lost peer address shows it.
    if (socket.remoteAddress === undefined) state.wasReset = true;
    const fault = state.wasReset ? undefined : parser.finish();
    if (events !== undefined) fail(state.wasReset ? 'reset before its end' : (fault?.message ?? 'the target closed'));
  });
  socket.on('error', (error) => {
    clearTimeout(timer);
    fail(error.message);
  });
  socket.on('close', () => {
    clearTimeout(timer);
    fail('the connection was closed');
    // Not from within an event of the parser.
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
    idleSinceMs: 0,
    idleTimeoutMs: DEFAULT_IDLE_TIMEOUT_MS,
    start: ({ head, body, method, isStreamed }) => {
      state.useCount++;
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
    setResponseEvents: (watcher) => {
      events = watcher;
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
