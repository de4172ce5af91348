import type { Frame } from '../schema/frame.js';
import { estimateFrameBytes, MAX_BUFFERED_BYTES } from './peerService.js';

/** The part of a grpc-js stream that writing needs, the same on both ends. */
export interface FrameSink {
  readonly writable: boolean;
  write(frame: Frame, written: () => void): boolean;
}

/** Writes a frame; false when it was not written since the stream ended or its peer reads too slowly. */
export type WriteFrame = (frame: Frame) => boolean;

/**
 * Creates a writer that bounds what waits in a stream.
 *
 * @example
 * const writeFrame = createFrameWriter(stream, () => stream.cancel());
 */
export function createFrameWriter(sink: FrameSink, closeStalled: () => void): WriteFrame {
  let bufferedBytes = 0;
  return (frame) => {
    if (!sink.writable) return false;
    const bytes = estimateFrameBytes(frame);
    if (bufferedBytes + bytes > MAX_BUFFERED_BYTES) {
      closeStalled();
      return false;
    }
    bufferedBytes += bytes;
    sink.write(frame, () => {
      bufferedBytes -= bytes;
    });
    return true;
  };
}
