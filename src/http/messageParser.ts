import { HTTPParser, methods } from 'node:_http_common';

/** The head of a request or an answer. */
export interface MessageHead {
  /** Of a request. */
  method: string;
  url: string;
  /** Of an answer. */
  status: number;
  /** Names and values in turn. */
  rawHeaders: string[];
  /** The connection may carry another message after this one. */
  shouldKeepAlive: boolean;
  /** The other end asks for another protocol. */
  isUpgrade: boolean;
  minorVersion: number;
}

export interface MessageEvents {
  /** The first byte of a message arrived. */
  begin?(): void;
  /** Returns true where no body follows whatever the headers say, as after a HEAD request. */
  head(head: MessageHead): boolean;
  body(chunk: Buffer): void;
  end(): void;
}

/** Why bytes are no HTTP message. */
export interface ParseError {
  code: string;
  message: string;
}

/** Parses the messages that arrive on one connection, one after the other. */
export interface MessageParser {
  parse(chunk: Buffer): ParseError | undefined;
  /** The connection ended: completes a message that only the end of the connection ends. */
  finish(): ParseError | undefined;
  /** Frees the parser; not from within its events. */
  close(): void;
}

/** Bounds what is taken before the limits in force are checked. */
const MAX_HEAD_BYTES = 128 * 1024;

/**
 * Creates a parser on Node's HTTP parser. `node:http` on top of it creates streams and several objects per message, which
 * costs more than all the rest of a node's work on a request.
 *
 * @example
 * const parser = createMessageParser('request', { head: readHead, body: collect, end: respond });
 * socket.on('data', (chunk) => parser.parse(chunk));
 */
export function createMessageParser(kind: 'request' | 'response', events: MessageEvents): MessageParser {
  const parser = new HTTPParser();
  parser.initialize(kind === 'request' ? HTTPParser.REQUEST : HTTPParser.RESPONSE, {}, MAX_HEAD_BYTES);
  /** Headers beyond those that one event carries, and the URL that comes with them; after the body they are trailers. */
  let flushed: { headers: string[]; url: string } = { headers: [], url: '' };
  if (events.begin !== undefined) parser[HTTPParser.kOnMessageBegin] = events.begin;
  parser[HTTPParser.kOnHeaders] = (headers: string[], url: string): void => {
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
    const hasNoBody = events.head({
      method: method === undefined ? '' : (methods[method] ?? ''),
      url: url ?? flushed.url,
      status: status ?? 0,
      rawHeaders: headers ?? flushed.headers,
      shouldKeepAlive,
      isUpgrade,
      minorVersion,
    });
    return hasNoBody ? 1 : 0;
  };
  parser[HTTPParser.kOnBody] = (chunk: Buffer): void => {
    events.body(chunk);
  };
  parser[HTTPParser.kOnMessageComplete] = (): void => {
    flushed = { headers: [], url: '' };
    events.end();
  };
  return {
    parse: (chunk) => describeParseError(parser.execute(chunk)),
    finish: () => describeParseError(parser.finish()),
    close: () => {
      parser.close();
    },
  };
}

function describeParseError(result: number | Error | undefined): ParseError | undefined {
  if (!(result instanceof Error)) return undefined;
  const code = 'code' in result && typeof result.code === 'string' ? result.code : '';
  return { code, message: result.message };
}
