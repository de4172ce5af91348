import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';
import type { RunAnswer } from '../control/requests/runPort.js';
import { refusalStatus } from '../schema/refusal.js';
import type { Refusal } from '../schema/refusal.js';
import { findHeader } from './requestHeaders.js';

/** Writes the response to one request to its connection. */
export interface ResponseWriter {
  /** True once a part of the response was written. */
  readonly hasBegun: boolean;
  /** True once the whole response was written. */
  readonly hasEnded: boolean;
  /** Writes a target's answer: the whole of it, or its head and the first part of its body. */
  answer(answer: RunAnswer): void;
  /** Writes the next part of a streamed answer. */
  part(data: Uint8Array, isLast: boolean): void;
  /** Writes a refusal by this node; does nothing once a response has begun. */
  refuse(refusal: Refusal): void;
}

export interface ResponseWriterOptions {
  socket: Socket;
  /** Method of the request; a response to HEAD has no body. */
  method: string;
  /** Minor HTTP version of the request; HTTP/1.0 does not support chunked encoding. */
  minorVersion: number;
  /**
   * Formats the `Connection` and `Keep-Alive` header lines, each with its line break. `mustClose` is true if only the end of the
   * connection ends the response.
   */
  formatConnectionHeaders: (mustClose: boolean) => string;
  /** Called with the number of bytes of a streamed answer that were flushed; the sender may then send as many more. */
  grantBytes: (bytes: number) => void;
  /** Formats the head and the body of a refusal; see `formatRefusal`. */
  formatRefusal: RefusalFormat;
  /** Called once the whole response was written. */
  handleEnd: () => void;
}

/** Formats a refusal by this node. The head lacks the `Connection` header and the blank line at its end. */
export type RefusalFormat = (refusal: Refusal) => { head: string; body: string };

/** Maximum size of a body that is written in one call with its head. */
const MAX_COALESCED_BODY_BYTES = 16 * 1024;
/** Longest time after which clients are asked to retry (ms). */
const MAX_RETRY_AFTER_MS = 3_600_000;
const LAST_CHUNK = '0\r\n\r\n';

/** Creates the writer of one response. */
export function createResponseWriter(options: ResponseWriterOptions): ResponseWriter {
  const { socket, method, minorVersion } = options;
  let isChunked = false;

  const end = (): void => {
    writer.hasEnded = true;
    options.handleEnd();
  };
  const writeWhole = (head: string, body: Uint8Array): void => {
    if (body.length > MAX_COALESCED_BODY_BYTES) {
      socket.write(head, 'latin1');
      socket.write(body);
    } else {
      // As Latin-1 text, which preserves its bytes, the body is sent in the same write as the head.
      socket.write(head + Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString('latin1'), 'latin1');
    }
    end();
  };
  const writePart = (data: Uint8Array, isLast: boolean): void => {
    if (!writer.hasBegun || writer.hasEnded || !socket.writable) return;
    if (data.length > 0) {
      if (isChunked) socket.write(`${data.length.toString(16)}\r\n`, 'latin1');
      socket.write(data, () => {
        options.grantBytes(data.length);
      });
      if (isChunked) socket.write('\r\n', 'latin1');
    }
    if (!isLast) return;
    if (isChunked) socket.write(LAST_CHUNK, 'latin1');
    end();
  };
  const writeAnswer = ({ status, headers, body, isStreamed }: RunAnswer): void => {
    if (writer.hasBegun || !socket.writable) return;
    writer.hasBegun = true;
    const hasBody = method !== 'HEAD' && status !== 204 && status !== 304;
    const isFramed = !hasBody || findHeader(headers, 'content-length') !== undefined;
    const head = formatHead(status, headers);
    if (!isStreamed) {
      const length = isFramed ? '' : `Content-Length: ${body.length}\r\n`;
      writeWhole(`${head}${length}${options.formatConnectionHeaders(false)}\r\n`, hasBody ? body : new Uint8Array());
      return;
    }
    isChunked = !isFramed && minorVersion > 0;
    const framing = isChunked ? 'Transfer-Encoding: chunked\r\n' : '';
    const connection = options.formatConnectionHeaders(!isFramed && !isChunked);
    socket.write(`${head}${framing}${connection}\r\n`, 'latin1');
    writePart(body, false);
  };
  // Plain fields: an object literal with getters takes several times as long to create, and there is one per response.
  const writer = {
    hasBegun: false,
    hasEnded: false,
    answer: writeAnswer,
    part: writePart,
    refuse: (refusal: Refusal) => {
      if (writer.hasBegun || !socket.writable) return;
      writer.hasBegun = true;
      const { head, body } = options.formatRefusal(refusal);
      socket.write(`${head}${options.formatConnectionHeaders(false)}\r\n${method === 'HEAD' ? '' : body}`);
      end();
    },
  };
  return writer;
}

/** Formats a refusal as its status with a JSON body that names its kind; the format of a request server by default. */
export function formatRefusal({ kind, detail, retryAfterMs }: Refusal): ReturnType<RefusalFormat> {
  const body = JSON.stringify({ failure: kind, detail });
  const headers = ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body))];
  if (retryAfterMs !== undefined)
    headers.push('Retry-After', (Math.min(retryAfterMs, MAX_RETRY_AFTER_MS) / 1000).toFixed(3));
  return { head: formatHead(refusalStatus[kind], headers), body };
}

/** Formats the status line and the headers, which alternate names and values. */
export function formatHead(status: number, headers: readonly string[]): string {
  let text = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n`;
  for (let index = 0; index + 1 < headers.length; index += 2)
    text += `${headers[index] ?? ''}: ${headers[index + 1] ?? ''}\r\n`;
  return text;
}
