import { HTTPParser, methods } from 'node:_http_common';
import { createMessageFraming, findBodyFraming } from './messageFraming.js';
import type { BodyFraming, MessageKind } from './messageFraming.js';

/** The start line and headers of a request or response. */
export interface MessageHead {
  /** Empty for a response. */
  method: string;
  url: string;
  /** 0 for a request. */
  status: number;
  /** Alternating names and values. */
  rawHeaders: string[];
  body: BodyFraming;
  /** True if the connection may carry another message after this one. */
  shouldKeepAlive: boolean;
  /** True if the peer asks to switch to another protocol. */
  isUpgrade: boolean;
  minorVersion: number;
}

export interface MessageEvents {
  /** Called on the first byte of a message. */
  begin?(): void;
  /** Returns true if no body follows regardless of the headers, as in the response to a HEAD request. Default: false. */
  isWithoutBody?(): boolean;
  head(head: MessageHead): void;
  body(chunk: Buffer): void;
  end(): void;
}

/** Reason why received bytes are not a valid HTTP message. */
export interface ParseError {
  /** Error code of Node's parser, such as `HPE_HEADER_OVERFLOW`, or `INVALID_SYNTAX_CODE`; empty if there is none. */
  code: string;
  message: string;
}

/** Parses the successive HTTP messages of one connection. */
export interface MessageParser {
  /** Number of headers that were read of a head that is not complete. */
  readonly partialHeaderCount: number;
  parse(chunk: Buffer): ParseError | undefined;
  /** Signals the end of the connection, which completes a message without length or chunks. */
  finish(): ParseError | undefined;
  /** Frees the parser; must not be called from within its events. */
  close(): void;
}

/**
 * Maximum size of the names and values of a head, without the bytes between them. Of requests `requestReader.ts` limits all
 * bytes, to the limit of the configuration.
 */
const DEFAULT_MAX_HEAD_BYTES = 128 * 1024;
/** Tells Node's parser that no body follows. */
const SKIP_BODY = 1;
/** Error code of a head, or of the lines between the chunks of a body, that is not valid. */
export const INVALID_SYNTAX_CODE = 'INVALID_SYNTAX';

/**
 * Creates a message parser on Node's internal HTTP parser. `node:http` would add streams and several objects per
 * message, which cost more than the rest of a node's work on a request. What the parser accepts beyond the protocol depends on
 * the release of Node, so `messageFraming.ts` checks heads and trailers before it, and both must find the same ends of messages.
 *
 * @example
 * const parser = createMessageParser('request', { head: readHead, body: collect, end: respond });
 * socket.on('data', (chunk) => parser.parse(chunk));
 */
export function createMessageParser(
  kind: MessageKind,
  events: MessageEvents,
  options: { maxHeadBytes?: number } = {},
): MessageParser {
  const { maxHeadBytes = DEFAULT_MAX_HEAD_BYTES } = options;
  const parser = new HTTPParser();
  parser.initialize(kind === 'request' ? HTTPParser.REQUEST : HTTPParser.RESPONSE, {}, maxHeadBytes);
  /** Headers beyond those that one parser event carries, with their URL. */
  let flushed: { headers: string[]; url: string } = { headers: [], url: '' };
  let isHeadComplete = false;
  const framing = createMessageFraming(kind);
  /** Why a head or the end of its message is not reported: its body is unclear, or the parser reads it in another way. */
  let messageFault: ParseError | undefined;
  let bodyBytes = 0;
  /** True after a request to switch protocols, which other bytes than HTTP may follow. */
  let isSwitched = false;
  if (events.begin !== undefined) parser[HTTPParser.kOnMessageBegin] = events.begin;
  parser[HTTPParser.kOnHeaders] = (headers: string[], url: string): void => {
    // Trailers are not used, and a peer may send them without end.
    if (isHeadComplete) return;
    flushed.headers.push(...headers);
    flushed.url += url;
  };
  parser[HTTPParser.kOnHeadersComplete] = (
    _majorVersion: number,
    minorVersion: number,
    headers: string[] | undefined,
    method: number | undefined,
    url: string | undefined,
    status: number | undefined,
    _statusText: string | undefined,
    isUpgrade: boolean,
    shouldKeepAlive: boolean,
  ): number => {
    isHeadComplete = true;
    isSwitched = isUpgrade;
    const rawHeaders = headers ?? flushed.headers;
    const isWithoutBody = events.isWithoutBody?.() ?? false;
    const body = findBodyFraming({ kind, status, rawHeaders, isWithoutBody });
    if (body === undefined) {
      messageFault = buildSyntaxError('the head does not tell the length of the body');
      return SKIP_BODY;
    }
    framing.startBody(body);
    bodyBytes = 0;
    events.head({
      method: method === undefined ? '' : (methods[method] ?? ''),
      url: url ?? flushed.url,
      status: status ?? 0,
      rawHeaders,
      body,
      shouldKeepAlive,
      isUpgrade,
      minorVersion,
    });
    return kind === 'response' && body.type === 'none' ? SKIP_BODY : 0;
  };
  parser[HTTPParser.kOnBody] = (chunk: Buffer): void => {
    bodyBytes += chunk.length;
    events.body(chunk);
  };
  parser[HTTPParser.kOnMessageComplete] = (): void => {
    flushed = { headers: [], url: '' };
    isHeadComplete = false;
    if (framing.isInMessage || bodyBytes !== framing.bodyBytes)
      messageFault ??= buildSyntaxError('the parser found another body in the message');
    if (messageFault === undefined) events.end();
  };
  /** Parses bytes that belong to one head or one body. */
  const parsePart = (part: Buffer): ParseError | undefined => {
    const fault = describeParseError(parser.execute(part)) ?? messageFault;
    if (fault !== undefined || isSwitched || framing.isInMessage === isHeadComplete) return fault;
    return buildSyntaxError('the parser found another end of the message');
  };
  return {
    get partialHeaderCount() {
      return isHeadComplete ? 0 : flushed.headers.length / 2;
    },
    parse: (chunk) => {
      for (let start = 0; start < chunk.length && !isSwitched;) {
        const end = framing.read(chunk, start);
        if (framing.fault !== undefined) return buildSyntaxError(framing.fault);
        const fault = parsePart(start === 0 && end === chunk.length ? chunk : chunk.subarray(start, end));
        if (fault !== undefined) return fault;
        start = end;
      }
      return undefined;
    },
    finish: () => {
      framing.finish();
      return describeParseError(parser.finish());
    },
    close: () => {
      parser.close();
    },
  };
}

function buildSyntaxError(message: string): ParseError {
  return { code: INVALID_SYNTAX_CODE, message };
}

function describeParseError(result: number | Error | undefined): ParseError | undefined {
  if (!(result instanceof Error)) return undefined;
  const code = 'code' in result && typeof result.code === 'string' ? result.code : '';
  return { code, message: result.message };
}
