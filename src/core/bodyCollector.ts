/** Collects the parts of a body or a message in one buffer, so that many small parts cost no more than their bytes. */
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
  /** True if `buffer` is a received part, which must not be written to. */
  let isReceived = false;

  const allocate = (bytes: number): void => {
    if (!isReceived && bytes <= buffer.length) return;
    const larger = Buffer.allocUnsafeSlow(Math.max(MIN_CAPACITY_BYTES, bytes, 2 * collector.length));
    buffer.copy(larger, 0, 0, collector.length);
    buffer = larger;
    isReceived = false;
    collector.heldBytes = larger.length;
  };
  const collector = {
    length: 0,
    heldBytes: 0,
    add: (part: Buffer): void => {
      const { length } = collector;
      if (length === 0 && part.length >= MIN_KEPT_SHARE * part.buffer.byteLength) {
        buffer = part;
        isReceived = true;
        collector.heldBytes = part.buffer.byteLength;
      } else {
        allocate(length + part.length);
        part.copy(buffer, length);
      }
      collector.length += part.length;
    },
    take: (): Buffer => {
      const taken = buffer.subarray(0, collector.length);
      buffer = EMPTY;
      collector.length = 0;
      collector.heldBytes = 0;
      isReceived = false;
      return taken;
    },
  };
  return collector;
}
