import { isHopByHop, listConnectionOptions } from './requestHeaders.js';
import type { RequestHeaderNames } from './requestHeaders.js';

/** The parts of a request's head that a node needs. */
export interface RequestHead {
  /** Empty if the header is missing. */
  requestId: string;
  /** Value of the `Host` header; empty if it is missing. */
  host: string;
  /** Time for which the client waits for the response (ms); Infinity if it sent none. */
  timeLeftMs: number;
  hasBody: boolean;
  /** True if the client waits for a `100 Continue` response before it sends the body. */
  expectsContinue: boolean;
  /** Value of `Content-Length`; 0 if it is missing. */
  bodyBytes: number;
  /** Size of the path and all headers. */
  headBytes: number;
  /** Alternating names and values of the end-to-end headers, without those that only nodes set. */
  headers: string[];
  /** The same of the headers about the sender's identity, which are not part of `headers`. */
  identityHeaders: string[];
  /** Key in the `Authorization` header; undefined if there is none. */
  key: string | undefined;
}

const BEARER_KEY = /^bearer +(\S+) *$/i;

/**
 * Creates a function that reads a request's head in one pass over its headers. The first value of a repeated header is
 * used for `requestId`, `host`, `timeLeftMs` and `key`. Without `names`, `requestId` and `timeLeftMs` are not read.
 */
export function createHeadReader(
  names: RequestHeaderNames | undefined,
): (message: { rawHeaders: readonly string[]; url: string }) => RequestHead {
  const reservedNames = new Set(
    names === undefined ? [] : [names.requestId, names.timeLeft, names.callerService, names.targetId],
  );
  const identityNames = new Set(['authorization', names?.organisation]);
  const applyHeader = (head: RequestHead, name: string, value: string): void => {
    if (name === names?.requestId) head.requestId ||= value;
    else if (name === names?.timeLeft && head.timeLeftMs === Infinity && Number(value) > 0)
      head.timeLeftMs = Number(value);
    else if (name === 'host') head.host ||= value;
    else if (name === 'authorization') head.key ??= BEARER_KEY.exec(value)?.[1];
    else if (name === 'transfer-encoding') head.hasBody = true;
    else if (name === 'expect') head.expectsContinue = value.toLowerCase() === '100-continue';
    else if (name === 'content-length') {
      head.hasBody = true;
      head.bodyBytes = Number(value);
    }
  };
  return ({ rawHeaders, url }) => {
    const head: RequestHead = {
      requestId: '',
      host: '',
      timeLeftMs: Infinity,
      hasBody: false,
      expectsContinue: false,
      bodyBytes: 0,
      headBytes: url.length,
      headers: [],
      identityHeaders: [],
      key: undefined,
    };
    const connectionOptions = listConnectionOptions(rawHeaders);
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
      const name = rawHeaders[index] ?? '';
      const value = rawHeaders[index + 1] ?? '';
      const lowerName = name.toLowerCase();
      // 4 bytes: the colon and the space after the name, and the line break.
      head.headBytes += name.length + value.length + 4;
      applyHeader(head, lowerName, value);
      if (reservedNames.has(lowerName) || isHopByHop(lowerName) || connectionOptions?.has(lowerName) === true) continue;
      (identityNames.has(lowerName) ? head.identityHeaders : head.headers).push(name, value);
    }
    return head;
  };
}
