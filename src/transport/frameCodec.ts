import { Packr } from 'msgpackr';
import { FailureError } from '../schema/failure.js';
import { frameSchema } from '../schema/frame.js';
import type { Frame } from '../schema/frame.js';
import { compileSchema } from '../schema/validate.js';

// With records, the decoder would keep state between messages of different peers.
const packr = new Packr({ useRecords: false });
const validator = compileSchema(frameSchema);

/** Encodes a frame as msgpack. */
export function encodeFrame(frame: Frame): Buffer {
  return packr.pack(frame);
}

/**
 * Decodes and validates one frame.
 *
 * @throws FailureError `frameMalformed` when the bytes are not a valid frame.
 */
export function decodeFrame(bytes: Buffer): Frame {
  const value = decodeBytes(bytes);
  if (validator.isValid(value)) return value;
  throw new FailureError({
    kind: 'frameMalformed',
    message: 'a peer sent a message that does not match the frame schema',
    faults: validator.listFaults(value),
  });
}

function decodeBytes(bytes: Buffer): unknown {
  try {
    return packr.unpack(bytes);
  } catch (error) {
    const message = `a peer sent bytes that are not msgpack: ${String(error)}`;
    throw new FailureError({ kind: 'frameMalformed', message, faults: [] });
  }
}
