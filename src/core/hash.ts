import murmurhash from 'murmurhash';

/** Number of distinct hashes. */
const HASH_RANGE = 2 ** 32;

/** Hashes a string to an unsigned 32-bit integer. */
export function hashText(text: string, seed = 0): number {
  return murmurhash.v3(text, seed);
}

/** Hashes a string to a number in [0, 1). */
export function hashToUnit(text: string, seed = 0): number {
  return hashText(text, seed) / HASH_RANGE;
}
