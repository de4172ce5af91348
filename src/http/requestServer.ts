import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { Socket } from 'node:net';
import type { Clock } from '../core/clock.js';
import type { ClientReply, ClientRequest } from '../control/requests/entry.js';
import type { RunAnswer, RunHandle } from '../control/requests/runPort.js';
import { FailureError } from '../schema/failure.js';
import { STREAM_WINDOW_BYTES, WHOLE_BODY_BYTES } from '../schema/linkFrame.js';
import { refusalStatus } from '../schema/refusal.js';
import type { Refusal } from '../schema/refusal.js';
import { parseAddress } from '../schema/requestSettings.js';
import type { RequestLimits } from '../schema/routeConfiguration.js';
import { findHeader, selectEndToEnd } from './requestHeaders.js';
import type { RequestHeaderNames } from './requestHeaders.js';

/** Bounds what the HTTP parser takes before the limits in force are checked. */
const PARSER_HEADER_BYTES = 128 * 1024;
const DEFAULT_IDLE_MS = 15_000;
const DEFAULT_HEADER_MS = 5000;
/** Idle connections stay open a little longer than clients were told, so that no request meets a closing one. */
const IDLE_SLACK_MS = 1500;
const CHECK_PERIOD_MS = 1000;
const BACKLOG = 1024;
/** Longest time for a body of a client that names no time (ms). */
const LONGEST_READ_MS = 30_000;

export interface RequestServerOptions {
  listen: string;
  names: RequestHeaderNames;
  clock: Clock;
  maxConnections: number;
  /** The limits in force; undefined until a configuration was read. */
  readLimits: () => RequestLimits | undefined;
  accept: (request: ClientRequest, reply: ClientReply) => RunHandle;
}

export interface RequestServer {
  /** `IP:PORT` that was bound. */
  readonly address: string;
  /** Requests that are read or answered. */
  readonly openRequests: number;
  /** From now on each answer closes its connection. */
  announceStop(): void;
  /** Stops listening and closes idle connections. */
  stop(): void;
}

/**
 * Starts the listener for clients and the local target.
 *
 * @throws FailureError `listenFailed`.
 */
export async function startRequestServer(options: RequestServerOptions): Promise<RequestServer> {
  const state = { open: 0, isStopping: false };
  const server = createServer({
    maxHeaderSize: PARSER_HEADER_BYTES,
    keepAliveTimeout: DEFAULT_IDLE_MS + IDLE_SLACK_MS,
    headersTimeout: DEFAULT_HEADER_MS,
    requestTimeout: 0,
    connectionsCheckingInterval: CHECK_PERIOD_MS,
    noDelay: true,
  });
  server.maxConnections = options.maxConnections;
  server.on('request', (message, response) => {
    applyLimits(server, options.readLimits());
    state.open++;
    response.once('close', () => state.open--);
    response.sendDate = false;
    if (state.isStopping) response.shouldKeepAlive = false;
    handleMessage(options, message, response);
  });
  server.on('clientError', sendParserRefusal);
  const { host, port } = parseAddress(options.listen);
  await openServer(server, host, port);
  const bound = server.address();
  return {
    address: `${host}:${typeof bound === 'object' && bound !== null ? bound.port : port}`,
    get openRequests() {
      return state.open;
    },
    announceStop: () => {
      state.isStopping = true;
    },
    stop: () => {
      // The close of http.Server would also cut connections on which a request may be arriving.
      NetServer.prototype.close.call(server);
    },
  };
}

function openServer(server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', (error) => {
      const message = `cannot listen for requests: ${error.message}`;
      reject(new FailureError({ kind: 'listenFailed', message, address: `${host}:${port}` }));
    });
    server.listen({ host, port, backlog: BACKLOG }, resolve);
  });
}

function applyLimits(server: Server, limits: RequestLimits | undefined): void {
  if (limits === undefined) return;
  server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_SLACK_MS;
  server.headersTimeout = limits.headerTimeoutMs;
}

function handleMessage(options: RequestServerOptions, message: IncomingMessage, response: ServerResponse): void {
  const { names } = options;
  const limits = options.readLimits();
  const refusal = findHeadFault(message, names, limits);
  if (refusal !== undefined) {
    response.shouldKeepAlive = false;
    sendRefusal(response, refusal);
    return;
  }
  if (hasBody(message)) readBody(options, message, response, limits?.maxBodyBytes ?? Infinity);
  else acceptMessage(options, message, response, { body: undefined, isStreamed: false });
}

function findHeadFault(
  { rawHeaders, headers, url = '' }: IncomingMessage,
  names: RequestHeaderNames,
  limits: RequestLimits | undefined,
): Refusal | undefined {
  if ((findHeader(rawHeaders, names.requestId) ?? '') === '')
    return { kind: 'malformed', detail: 'a request has an id' };
  if (!url.startsWith('/')) return { kind: 'malformed', detail: 'a path begins with a slash' };
  if (limits === undefined) return undefined;
  let bytes = url.length;
  for (const text of rawHeaders) bytes += text.length + 2;
  if (bytes > limits.maxHeaderBytes) return { kind: 'headersTooLarge', detail: `${bytes} bytes` };
  const length = Number(headers['content-length'] ?? 0);
  return length > limits.maxBodyBytes ? { kind: 'bodyTooLarge', detail: `${length} bytes` } : undefined;
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || headers['content-length'] !== undefined;
}

/** Reads a short body whole; a longer one goes on in parts. */
function readBody(
  options: RequestServerOptions,
  message: IncomingMessage,
  response: ServerResponse,
  maxBytes: number,
): void {
  const chunks: Buffer[] = [];
  const state = { bytes: 0, credit: STREAM_WINDOW_BYTES, handle: undefined as RunHandle | undefined };
  const timer = setTimeout(
    () => {
      if (state.handle !== undefined) return;
      response.shouldKeepAlive = false;
      sendRefusal(response, { kind: 'readTimeout', detail: 'the body did not arrive in time' });
    },
    readTimeLeft(message, options.names, LONGEST_READ_MS),
  );
  response.once('close', () => {
    clearTimeout(timer);
  });
  const grant = (bytes: number): void => {
    state.credit += bytes;
    if (state.credit > 0) message.resume();
  };
  const startStream = (): void => {
    state.handle = acceptMessage(options, message, response, { body: undefined, isStreamed: true }, grant);
    sendPart(Buffer.concat(chunks.splice(0)));
  };
  const sendPart = (data: Buffer): void => {
    state.credit -= data.length;
    if (state.credit <= 0) message.pause();
    state.handle?.sendBody(data, false);
  };
  message.on('data', (chunk: Buffer) => {
    if (response.writableEnded) return;
    state.bytes += chunk.length;
    if (state.bytes > maxBytes) {
      state.handle?.cancel();
      response.shouldKeepAlive = false;
      if (!response.headersSent) sendRefusal(response, { kind: 'bodyTooLarge', detail: `over ${maxBytes} bytes` });
    } else if (state.handle !== undefined) sendPart(chunk);
    else {
      chunks.push(chunk);
      if (state.bytes > WHOLE_BODY_BYTES) startStream();
    }
  });
  message.on('end', () => {
    clearTimeout(timer);
    if (response.writableEnded) return;
    if (state.handle !== undefined) state.handle.sendBody(new Uint8Array(), true);
    else acceptMessage(options, message, response, { body: Buffer.concat(chunks), isStreamed: false });
  });
}

function readTimeLeft({ rawHeaders }: IncomingMessage, names: RequestHeaderNames, fallbackMs: number): number {
  const value = Number(findHeader(rawHeaders, names.timeLeft));
  return value > 0 ? value : fallbackMs;
}

function acceptMessage(
  options: RequestServerOptions,
  message: IncomingMessage,
  response: ServerResponse,
  body: Pick<ClientRequest, 'body' | 'isStreamed'>,
  grantBody: (bytes: number) => void = () => undefined,
): RunHandle {
  const { names } = options;
  const { rawHeaders } = message;
  const request: ClientRequest = {
    requestId: findHeader(rawHeaders, names.requestId) ?? '',
    method: message.method ?? 'GET',
    path: message.url ?? '/',
    host: message.headers.host ?? '',
    headers: selectEndToEnd(
      rawHeaders,
      new Set([names.requestId, names.timeLeft, names.callerService, names.targetId]),
    ),
    timeLeftMs: readTimeLeft(message, names, Infinity),
    ...body,
  };
  const handle: RunHandle = options.accept(request, {
    answer: (answer) => {
      sendAnswer(response, answer, message.method ?? 'GET', (bytes) => {
        handle.grantAnswer(bytes);
      });
    },
    part: (data, isLast) => {
      sendPart(response, data, isLast, (bytes) => {
        handle.grantAnswer(bytes);
      });
    },
    refuse: (refusal) => {
      // What is left of a body must not be taken for the next request.
      if (hasBody(message) && !message.complete) response.shouldKeepAlive = false;
      sendRefusal(response, refusal);
    },
    abort: () => {
      response.destroy();
    },
    grantBody,
  });
  response.once('close', () => {
    if (!response.writableFinished) handle.cancel();
  });
  return handle;
}

function sendAnswer(
  response: ServerResponse,
  { status, headers, body, isStreamed }: RunAnswer,
  method: string,
  grant: (bytes: number) => void,
): void {
  if (response.destroyed) return;
  const hasNoBody = method === 'HEAD' || status === 204 || status === 304;
  if (!isStreamed && !hasNoBody && findHeader(headers, 'content-length') === undefined) {
    response.writeHead(status, [...headers, 'Content-Length', String(body.length)]);
  } else {
    response.writeHead(status, headers);
  }
  if (isStreamed) sendPart(response, body, false, grant);
  else response.end(body);
}

function sendPart(response: ServerResponse, data: Uint8Array, isLast: boolean, grant: (bytes: number) => void): void {
  if (response.destroyed) return;
  if (data.length > 0) {
    response.write(data, () => {
      grant(data.length);
    });
  }
  if (isLast) response.end();
}

function sendRefusal(response: ServerResponse, { kind, detail, retryAfterMs }: Refusal): void {
  if (response.destroyed || response.headersSent) return;
  const body = JSON.stringify({ failure: kind, detail });
  const headers = ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body))];
  if (retryAfterMs !== undefined) headers.push('Retry-After', (retryAfterMs / 1000).toFixed(3));
  response.writeHead(refusalStatus[kind], headers);
  response.end(body);
}

/** Answers bytes that are no request. */
function sendParserRefusal(error: Error & { code?: string }, socket: Socket): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const kind = parserRefusals.get(error.code ?? '') ?? 'malformed';
  const head = [`HTTP/1.1 ${refusalStatus[kind]} ${kind}`, 'Connection: close', 'Content-Length: 0'];
  socket.end(`${head.join('\r\n')}\r\n\r\n`);
}

const parserRefusals: ReadonlyMap<string, 'headersTooLarge' | 'readTimeout'> = new Map([
  ['HPE_HEADER_OVERFLOW', 'headersTooLarge'],
  ['ERR_HTTP_REQUEST_TIMEOUT', 'readTimeout'],
]);
