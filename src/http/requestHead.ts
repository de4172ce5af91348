import { isHopByHop, listConnectionOptions } from './requestHeaders.js';
import type { RequestHeaderNames } from './requestHeaders.js';

/** What a node needs of a request's head. */
export interface RequestHead {
  /** Empty where there is none. */
  requestId: string;
  /** The `Host` header. */
  host: string;
  /** How long the client will wait (ms); Infinity where it does not say. */
  timeLeftMs: number;
  hasBody: boolean;
  /** The client sends its body only when it is told to. */
  expectsContinue: boolean;
  /** Length of the body as announced; 0 where it is not. */
  bodyBytes: number;
  /** Bytes of the path and all headers. */
  headBytes: number;
  /** End-to-end headers without those that nodes set, names and values in turn. */
  headers: string[];
}

/**
 * Creates the function that reads a request's head in one pass over its headers. Of a header that is sent twice, the first
 * counts.
 */
export function createHeadReader(
  names: RequestHeaderNames,
): (message: { rawHeaders: readonly string[]; url: string }) => RequestHead {
  const reservedNames = new Set([names.requestId, names.timeLeft, names.callerService, names.targetId]);
  const applyHeader = (head: RequestHead, name: string, value: string): void => {
    if (name === names.requestId) head.requestId ||= value;
    else if (name === names.timeLeft && head.timeLeftMs === Infinity && Number(value) > 0)
      head.timeLeftMs = Number(value);
    else if (name === 'host') head.host ||= value;
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
    };
    const connectionOptions = listConnectionOptions(rawHeaders);
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
      const name = rawHeaders[index] ?? '';
      const value = rawHeaders[index + 1] ?? '';
      const lowerName = name.toLowerCase();
      head.headBytes += name.length + value.length + 4;
      applyHeader(head, lowerName, value);
      if (!reservedNames.has(lowerName) && !isHopByHop(lowerName) && connectionOptions?.has(lowerName) !== true)
        head.headers.push(name, value);
    }
    return head;
  };
}
