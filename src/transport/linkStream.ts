import type { Socket } from 'node:net';
import { Packr } from 'msgpackr';
import { createBodyCollector } from '../core/bodyCollector.js';
import { FailureError } from '../schema/failure.js';
import { linkFrameSchema, MAX_LINK_FRAME_BYTES } from '../schema/linkFrame.js';
import type { LinkFrame } from '../schema/linkFrame.js';
import { compileSchema } from '../schema/validate.js';
import { hasTooManyValues, MAX_FRAME_VALUES } from './frameValues.js';

const LENGTH_PREFIX_BYTES = 4;
const validator = compileSchema(linkFrameSchema);

/** Exchanges frames over one connection. Each is encoded as its length (4 bytes, big-endian) and one msgpack record. */
export interface LinkStream {
  send(frame: LinkFrame): void;
  /** Bytes that the socket has not sent yet. */
  readonly bufferedBytes: number;
  close(): void;
}

export interface LinkStreamEvents {
  receive(frame: LinkFrame): void;
  /** Called when the connection ends, except by `close`. */
  closed(reason: string): void;
  /** Called when the bytes change that the connection holds: an unfinished frame, and what a slow peer has not read. */
  changeHeldBytes?(bytes: number): void;
}

/**
 * Exchanges frames over a socket. msgpack record definitions are sent once per connection and kept by both ends.
 *
 * @example
 * const stream = createLinkStream(socket, { receive: handleFrame, closed: redial });
 * stream.send({ type: 'cancel', id: 7 });
 */
export function createLinkStream(
  socket: Socket,
  events: LinkStreamEvents,
  options: { readMaxFrameBytes?: () => number } = {},
): LinkStream {
  const encoder = new Packr({ sequential: true });
  const decoder = new Packr({ sequential: true });
  /** The start of a frame whose rest has not arrived. */
  const unfinished = createBodyCollector();
  /** Length from which on `unfinished` can be read further. */
  let neededBytes = 0;
  const { readMaxFrameBytes = () => MAX_LINK_FRAME_BYTES } = options;
  let heldBytes = 0;
  let isCorked = false;
  let isClosed = false;

  const disconnect = (reason: string): void => {
    if (isClosed) return;
    isClosed = true;
    socket.destroy();
    events.closed(reason);
  };
  const settleHeldBytes = (): void => {
    const bytes = unfinished.heldBytes + (socket.writableNeedDrain ? socket.writableLength : 0);
    const change = bytes - heldBytes;
    heldBytes = bytes;
    if (change !== 0 && !isClosed) events.changeHeldBytes?.(change);
  };
  const flushWrites = (): void => {
    isCorked = false;
    socket.uncork();
  };
  const receiveBytes = (chunk: Buffer): void => {
    if (unfinished.length === 0) {
      readFrames(chunk);
      return;
    }
    unfinished.add(chunk);
    if (unfinished.length >= neededBytes) readFrames(unfinished.take());
  };
  const readFrames = (received: Buffer): void => {
    let start = 0;
    neededBytes = LENGTH_PREFIX_BYTES;
    while (!isClosed && received.length - start >= LENGTH_PREFIX_BYTES) {
      const length = received.readUInt32BE(start);
      if (length > readMaxFrameBytes()) {
        disconnect(`received a frame of ${length} bytes, which is above the limit`);
        return;
      }
      const frameStart = start + LENGTH_PREFIX_BYTES;
      if (received.length < frameStart + length) {
        neededBytes = LENGTH_PREFIX_BYTES + length;
        break;
      }
      start = frameStart + length;
      receiveFrame(received.subarray(frameStart, start));
    }
    if (start < received.length && !isClosed) unfinished.add(received.subarray(start));
  };
  const receiveFrame = (bytes: Buffer): void => {
    if (hasTooManyValues(bytes)) {
      disconnect(`received a frame with more than ${MAX_FRAME_VALUES} values`);
      return;
    }
    let value: unknown;
    try {
      value = decoder.unpack(bytes);
    } catch (error) {
      disconnect(`received bytes that are not msgpack: ${String(error)}`);
      return;
    }
    if (validator.isValid(value)) events.receive(value);
    else disconnect(`received an invalid frame: ${validator.listFaults(value)[0]?.path ?? ''}`);
  };
  socket.setNoDelay(true);
  socket.on('data', (chunk) => {
    receiveBytes(chunk);
    settleHeldBytes();
  });
  socket.on('drain', settleHeldBytes);
  socket.on('error', (error) => {
    disconnect(error.message);
  });
  socket.on('close', () => {
    disconnect('the peer closed the connection');
  });
  socket.on('end', () => {
    disconnect('the peer closed the connection');
  });
  return {
    send: (frame) => {
      if (isClosed) return;
      if (!isCorked) {
        isCorked = true;
        socket.cork();
        process.nextTick(flushWrites);
      }
      const payload = encoder.pack(frame);
      const bytes = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + payload.length);
      bytes.writeUInt32BE(payload.length);
      payload.copy(bytes, LENGTH_PREFIX_BYTES);
      if (!socket.write(bytes)) settleHeldBytes();
    },
    get bufferedBytes() {
      return socket.writableLength;
    },
    close: () => {
      if (isClosed) return;
      isClosed = true;
      flushWrites();
      socket.destroy();
    },
  };
}

/** Throws `frameMalformed` if a frame created by this process is invalid; used by tests of senders. */
export function checkLinkFrame(frame: unknown): asserts frame is LinkFrame {
  if (validator.isValid(frame)) return;
  const message = 'the value is not a valid link frame';
  throw new FailureError({ kind: 'frameMalformed', message, faults: validator.listFaults(frame) });
}
