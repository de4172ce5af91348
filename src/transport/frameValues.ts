/**
 * Maximum number of values in a frame: each takes up to some 64 bytes once it is decoded, whatever its size in the frame. The
 * records of 1,300 nodes have some 40,000.
 */
export const MAX_FRAME_VALUES = 250_000;

/** Bytes of length and type in front of the payload, and the payload if its length is fixed, by first byte from 0xc4. */
const payloadForms: readonly { lengthBytes: number; otherBytes: number }[] = [
  ...[1, 2, 4].map((lengthBytes) => ({ lengthBytes, otherBytes: 0 })),
  ...[1, 2, 4].map((lengthBytes) => ({ lengthBytes, otherBytes: 1 })),
  // Numbers from 0xca, then extensions of fixed size from 0xd4, each with its type.
  ...[4, 8, 1, 2, 4, 8, 1, 2, 4, 8].map((otherBytes) => ({ lengthBytes: 0, otherBytes })),
  ...[1, 2, 4, 8, 16].map((bytes) => ({ lengthBytes: 0, otherBytes: bytes + 1 })),
  ...[1, 2, 4].map((lengthBytes) => ({ lengthBytes, otherBytes: 0 })),
  // Counts of arrays and maps, whose items follow as values of their own.
  ...[2, 4, 2, 4].map((otherBytes) => ({ lengthBytes: 0, otherBytes })),
];
const FIRST_SHORT_TEXT = 0xa0;
const LAST_SHORT_TEXT = 0xbf;
const SHORT_TEXT_LENGTH = 0x1f;
const FIRST_PAYLOAD_FORM = 0xc4;
const LAST_PAYLOAD_FORM = 0xdf;

/**
 * Returns true if msgpack bytes have more than `MAX_FRAME_VALUES` values. Counts them in the order of their bytes, without
 * decoding them; record definitions are extensions in front of an array of names, and records a byte in front of their values.
 *
 * @example
 * if (hasTooManyValues(bytes)) disconnect('received a frame with too many values');
 */
export function hasTooManyValues(bytes: Buffer): boolean {
  // Each value has at least one byte.
  if (bytes.length <= MAX_FRAME_VALUES) return false;
  let position = 0;
  for (let count = 0; position < bytes.length; count++) {
    if (count >= MAX_FRAME_VALUES) return true;
    position += countValueBytes(bytes, position);
  }
  return false;
}

/** Counts the bytes of a value without its items. */
function countValueBytes(bytes: Buffer, position: number): number {
  const first = bytes[position] ?? 0;
  if (first >= FIRST_SHORT_TEXT && first <= LAST_SHORT_TEXT) return 1 + (first & SHORT_TEXT_LENGTH);
  if (first < FIRST_PAYLOAD_FORM || first > LAST_PAYLOAD_FORM) return 1;
  const { lengthBytes = 0, otherBytes = 0 } = payloadForms[first - FIRST_PAYLOAD_FORM] ?? {};
  const hasLength = lengthBytes > 0 && position + 1 + lengthBytes <= bytes.length;
  return 1 + lengthBytes + otherBytes + (hasLength ? bytes.readUIntBE(position + 1, lengthBytes) : 0);
}
