import { createLineSyntax } from './lineSyntax.js';
import { listHeader } from './requestHeaders.js';

export type MessageKind = 'request' | 'response';

/** How the end of a body is found. */
export type BodyFraming =
  | { type: 'none' }
  | { type: 'length'; bytes: number }
  | { type: 'chunked' }
  /** The body ends with the connection. */
  | { type: 'close' };

/** Follows the successive messages of one connection and checks all bytes that belong to no body. */
export interface MessageFraming {
  /** True from the end of a head to the end of its message. */
  readonly isInMessage: boolean;
  /** Bytes of the body that were read of the last message. */
  readonly bodyBytes: number;
  /** What is wrong with the bytes that were read last; undefined if they are valid. */
  readonly fault: string | undefined;
  /**
   * Reads bytes from `start` on, up to the end of the head or of the body that they belong to. Returns the position after the
   * last byte read. After the end of a head, `startBody` must be called before more is read.
   */
  read(bytes: Uint8Array, start: number): number;
  startBody(framing: BodyFraming): void;
  /** Takes the end of the connection into account, which ends a body without a length. */
  finish(): void;
}

const INFORMATIONAL_STATUSES = { min: 100, max: 199 };
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const DIGITS = /^\d+$/;

/**
 * Creates the framing of one connection, on which messages of one kind arrive.
 *
 * @example
 * const framing = createMessageFraming('response');
 * const end = framing.read(bytes, 0); // position after the head, or `bytes.length` while it is not complete
 */
export function createMessageFraming(kind: MessageKind): MessageFraming {
  let place: 'head' | 'headEnd' | 'body' | 'chunkHeader' | 'chunk' | 'chunkEnd' | 'trailers' = 'head';
  /** Bytes of the body or chunk that are still to come. */
  let leftBytes = 0;
  let bodyBytes = 0;
  const lines = createLineSyntax();

  const startHead = (): void => {
    place = 'head';
    lines.start(kind === 'request' ? 'requestHead' : 'responseHead');
  };
  const startLines = (next: 'chunkHeader' | 'chunkEnd' | 'trailers'): void => {
    place = next;
    lines.start(next);
  };
  /** Enters the place after the lines that are complete. */
  const finishLines = (): void => {
    if (place === 'head') place = 'headEnd';
    else if (place === 'trailers') startHead();
    else if (place === 'chunkEnd') startLines('chunkHeader');
    else if (lines.chunkBytes === 0) startLines('trailers');
    else {
      place = 'chunk';
      leftBytes = lines.chunkBytes;
    }
  };
  const readBody = (availableBytes: number): number => {
    const readBytes = Math.min(leftBytes, availableBytes);
    leftBytes -= readBytes;
    bodyBytes += readBytes;
    if (leftBytes === 0) {
      if (place === 'chunk') startLines('chunkEnd');
      else startHead();
    }
    return readBytes;
  };
  startHead();
  return {
    get isInMessage() {
      return place !== 'head';
    },
    get bodyBytes() {
      return bodyBytes;
    },
    get fault() {
      return lines.fault;
    },
    read: (bytes, start) => {
      let index = start;
      do {
        if (place === 'body' || place === 'chunk') index += readBody(bytes.length - index);
        else {
          index = lines.read(bytes, index);
          if (lines.isComplete) finishLines();
        }
      } while (index < bytes.length && lines.fault === undefined && place !== 'head' && place !== 'headEnd');
      return index;
    },
    startBody: (framing) => {
      bodyBytes = 0;
      if (framing.type === 'none') startHead();
      else if (framing.type === 'chunked') startLines('chunkHeader');
      else {
        place = 'body';
        leftBytes = framing.type === 'length' ? framing.bytes : Infinity;
      }
    },
    finish: () => {
      if (place === 'body' && leftBytes === Infinity) startHead();
    },
  };
}

export interface FramedHead {
  kind: MessageKind;
  /** Undefined for a request. */
  status: number | undefined;
  /** Alternating names and values. */
  rawHeaders: readonly string[];
  /** True if no body follows regardless of the headers. */
  isWithoutBody: boolean;
}

/**
 * Returns how the body of a message is delimited (RFC 9112, section 6.3), or undefined if its head does not say so clearly:
 * several lengths, a length beside a transfer coding, or a transfer coding other than `chunked`.
 *
 * @example
 * const rawHeaders = ['Content-Length', '4'];
 * findBodyFraming({ kind: 'response', status: 200, rawHeaders, isWithoutBody: false }); // { type: 'length', bytes: 4 }
 */
export function findBodyFraming({ kind, status, rawHeaders, isWithoutBody }: FramedHead): BodyFraming | undefined {
  const codings = listHeader(rawHeaders, 'transfer-encoding');
  const lengths = listHeader(rawHeaders, 'content-length');
  if (codings.length + lengths.length > 1) return undefined;
  if (isWithoutBody || (status !== undefined && isBodilessStatus(status))) return { type: 'none' };
  const [coding] = codings;
  if (coding !== undefined) return coding.trim().toLowerCase() === 'chunked' ? { type: 'chunked' } : undefined;
  const [length] = lengths;
  if (length === undefined) return { type: kind === 'request' ? 'none' : 'close' };
  const bytes = DIGITS.test(length.trim()) ? Number(length) : NaN;
  if (!Number.isSafeInteger(bytes)) return undefined;
  return bytes === 0 ? { type: 'none' } : { type: 'length', bytes };
}

function isBodilessStatus(status: number): boolean {
  const { min, max } = INFORMATIONAL_STATUSES;
  return (status >= min && status <= max) || status === NO_CONTENT || status === NOT_MODIFIED;
}
