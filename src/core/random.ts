import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns the next number in [0, 1). */
export type Random = () => number;

/**
 * Creates a pseudo-random number generator with a fixed seed.
 *
 * @example
 * const random = createRandom(7);
 * const delayMs = 100 * random();
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Generates a random identifier of `length` base-36 digits. */
export function generateId(random: Random, length = 10): string {
  let id = '';
  while (id.length < length) id += Math.floor(random() * 36).toString(36);
  return id;
}

/** Draws a number from the exponential distribution with the given mean. */
export function generateExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random());
}
