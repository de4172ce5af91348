/** Collects the parts of a body in one buffer, so that many small parts cost no more than their bytes. */
export interface BodyCollector {
  readonly length: number;
  /** Memory in use. */
  readonly heldBytes: number;
  add(part: Buffer): void;
  /** Returns what was collected and begins anew. */
  take(): Buffer;
}

const EMPTY = Buffer.alloc(0);
const MIN_CAPACITY_BYTES = 1024;
/** A part that is a smaller share of the memory behind it is copied, so that it does not keep the rest in use. */
const MIN_KEPT_SHARE = 0.25;

/** Creates an empty collector; a body that arrives as one part is not copied. */
export function createBodyCollector(): BodyCollector {
  let buffer: Buffer = EMPTY;
  let length = 0;
  /** True if `buffer` is a received part, which must not be written to. */
  let isReceived = false;

  const allocate = (bytes: number): void => {
    if (!isReceived && bytes <= buffer.length) return;
    const capacity = Math.max(MIN_CAPACITY_BYTES, bytes, 2 * length);
    const larger = Buffer.allocUnsafeSlow(capacity);
    buffer.copy(larger, 0, 0, length);
    buffer = larger;
    isReceived = false;
  };
  return {
    get length() {
      return length;
    },
    get heldBytes() {
      return isReceived ? buffer.buffer.byteLength : buffer.length;
    },
    add: (part) => {
      if (length === 0 && part.length >= MIN_KEPT_SHARE * part.buffer.byteLength) {
        buffer = part;
        isReceived = true;
      } else {
        allocate(length + part.length);
        part.copy(buffer, length);
      }
      length += part.length;
    },
    take: () => {
      const taken = buffer.subarray(0, length);
      buffer = EMPTY;
      length = 0;
      isReceived = false;
      return taken;
    },
  };
}
