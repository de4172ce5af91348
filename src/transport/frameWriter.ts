import type { Frame } from '../schema/frame.js';
import { estimateFrameBytes, MAX_BUFFERED_BYTES } from './peerService.js';

/** The writing part of a grpc-js stream, which client and server streams share. */
export interface FrameSink {
  readonly writable: boolean;
  write(frame: Frame, written: () => void): boolean;
}

/** Writes a frame; returns false if it was not written, because the stream has ended or the peer reads too slowly. */
export type WriteFrame = (frame: Frame) => boolean;

/**
 * Creates a writer that limits the bytes buffered in a stream to `MAX_BUFFERED_BYTES`. It calls `closeStalled` when a
 * frame would exceed the limit, and `changeBufferedBytes` with each change of the buffered bytes.
 *
 * @example
 * const writeFrame = createFrameWriter(stream, () => stream.cancel());
 */
export function createFrameWriter(
  sink: FrameSink,
  closeStalled: () => void,
  changeBufferedBytes: (bytes: number) => void = () => undefined,
): WriteFrame {
  let bufferedBytes = 0;
  return (frame) => {
    if (!sink.writable) return false;
    const bytes = estimateFrameBytes(frame);
    if (bufferedBytes + bytes > MAX_BUFFERED_BYTES) {
      closeStalled();
      return false;
    }
    bufferedBytes += bytes;
    changeBufferedBytes(bytes);
    sink.write(frame, () => {
      bufferedBytes -= bytes;
      changeBufferedBytes(-bytes);
    });
    return true;
  };
}
