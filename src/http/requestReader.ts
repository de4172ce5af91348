import type { RequestLimits } from '../schema/routeConfiguration.js';
import { HEAD_OVERFLOW_CODE } from './checkRequestHead.js';
import { createMessageParser } from './messageParser.js';
import type { MessageHead, ParseError } from './messageParser.js';

export interface RequestReaderEvents {
  /** `readBytes` is the size of the head as received, or up to `SLICE_BYTES` more if another request is in front of it. */
  head(message: MessageHead, readBytes: number): void;
  body(part: Buffer): void;
  end(): void;
}

export interface RequestReaderOptions {
  /** Returns the limits of the active configuration; undefined before a configuration was read. */
  readLimits: () => RequestLimits | undefined;
  events: RequestReaderEvents;
}

/** Outcome of reading one slice. */
export interface SliceResult {
  /** Number of bytes that were read. */
  length: number;
  /** Number of parser events, which cost far more time than the bytes; a head counts more with each header. */
  eventCount: number;
  fault: ParseError | undefined;
}

/** Reads the successive requests of one connection in small slices, within the limits for heads and for framing. */
export interface RequestReader {
  /** True while a head, or empty lines in front of one, has been received and is not complete. */
  readonly isInHead: boolean;
  /** Estimated memory held for a head, a chunk header or trailers that are not complete. */
  readonly heldBytes: number;
  /** Reads the next part of the received bytes. */
  readSlice(received: Buffer): SliceResult;
  /** Frees the parser; must not be called from within its events. */
  close(): void;
}

/**
 * Maximum number of bytes that are parsed at once. Node's parser cannot be suspended, so one slice bounds the requests and
 * chunks that a single call parses. Bodies with a length are not cut.
 */
export const SLICE_BYTES = 2048;
/** Estimated memory of one header beyond its bytes: two strings and their places in an array. */
export const HEADER_OVERHEAD_BYTES = 80;
/** Number of headers that cost about as much time as one more event. */
const HEADERS_PER_EVENT = 8;
/** Limit for heads until a configuration is read. */
const DEFAULT_MAX_HEAD_BYTES = 128 * 1024;
/**
 * A head is cut off this far above the limit, which `checkHead` applies exactly to complete heads: bytes of the request in
 * front of it may be counted, and the request line is not part of the limit.
 */
const HEAD_TOLERANCE_BYTES = SLICE_BYTES + 1024;
/**
 * Chunk headers, extensions and trailers of a body may take this many times the bytes of the body, and
 * `MIN_FRAMING_BYTES` more. A chunk of one byte takes five.
 */
const MAX_FRAMING_RATIO = 8;
const MIN_FRAMING_BYTES = 64 * 1024;
const headOverflow: ParseError = { code: HEAD_OVERFLOW_CODE, message: 'the request head is too large' };
const framingOverflow: ParseError = { code: '', message: 'chunk headers and trailers are too large for the body' };

/** Creates the reader of one connection. */
export function createRequestReader(options: RequestReaderOptions): RequestReader {
  const { readLimits, events } = options;
  /** Where the next byte belongs; `chunks` are those of a body of unknown length. */
  let place: 'head' | 'body' | 'chunks' = 'head';
  /** Bytes read since the request before ended. */
  let headBytes = 0;
  /** Bytes of a body with a length that are still to come. */
  let bodyLeftBytes = 0;
  /** Bytes of a body of unknown length, and all bytes read with them. */
  let chunkBytes = 0;
  let framedBytes = 0;
  /** Bytes read since the last event, which the parser may hold. */
  let silentBytes = 0;
  let eventCount = 0;
  let sliceBytes = 0;
  let hasEndedInSlice = false;

  const getMaxHeadBytes = (): number => readLimits()?.maxHeaderBytes ?? DEFAULT_MAX_HEAD_BYTES;
  const observeEvent = (): void => {
    eventCount++;
    silentBytes = 0;
  };
  const parser = createMessageParser(
    'request',
    {
      begin: () => {
        // Where in the slice the request begins is not known.
        if (hasEndedInSlice) headBytes = sliceBytes;
      },
      head: (message) => {
        observeEvent();
        eventCount += Math.floor(message.rawHeaders.length / 2 / HEADERS_PER_EVENT);
        bodyLeftBytes = message.body.type === 'length' ? message.body.bytes : 0;
        place = bodyLeftBytes > 0 ? 'body' : 'chunks';
        chunkBytes = framedBytes = 0;
        events.head(message, headBytes);
      },
      body: (part) => {
        observeEvent();
        bodyLeftBytes -= part.length;
        chunkBytes += part.length;
        events.body(part);
      },
      end: () => {
        observeEvent();
        place = 'head';
        headBytes = 0;
        hasEndedInSlice = true;
        events.end();
      },
    },
    { maxHeadBytes: Math.max(DEFAULT_MAX_HEAD_BYTES, getMaxHeadBytes() + HEAD_TOLERANCE_BYTES) },
  );
  /** Cuts heads at the limit, so that one that ends there is known to be within it. */
  const chooseSliceBytes = (): number => {
    if (place === 'body') return bodyLeftBytes;
    const leftBytes = getMaxHeadBytes() - headBytes;
    return place === 'head' && leftBytes > 0 ? Math.min(SLICE_BYTES, leftBytes) : SLICE_BYTES;
  };
  const findOverflow = (): ParseError | undefined => {
    if (place === 'head') return headBytes > getMaxHeadBytes() + HEAD_TOLERANCE_BYTES ? headOverflow : undefined;
    const framingBytes = framedBytes - chunkBytes;
    const isOverflow = place === 'chunks' && framingBytes > MIN_FRAMING_BYTES + MAX_FRAMING_RATIO * chunkBytes;
    return isOverflow ? framingOverflow : undefined;
  };
  return {
    get isInHead() {
      return place === 'head' && headBytes > 0;
    },
    get heldBytes() {
      if (place === 'head') return headBytes + parser.partialHeaderCount * HEADER_OVERHEAD_BYTES;
      return place === 'chunks' ? silentBytes : 0;
    },
    readSlice: (received) => {
      const maxBytes = chooseSliceBytes();
      const slice = maxBytes >= received.length ? received : received.subarray(0, maxBytes);
      sliceBytes = slice.length;
      eventCount = 0;
      hasEndedInSlice = false;
      silentBytes += slice.length;
      if (place === 'head') headBytes += slice.length;
      else framedBytes += slice.length;
      const fault = parser.parse(slice) ?? findOverflow();
      return { length: slice.length, eventCount, fault };
    },
    close: parser.close,
  };
}
