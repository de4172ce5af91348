import type { Ran } from '../schema/failure.js';

const CERTAINTY: Record<Ran, number> = { no: 0, unknown: 1, yes: 2 };

/**
 * Merges the `ran` values of two attempts of one call: the call did not run only if neither attempt ran.
 *
 * @example
 * mergeRan('unknown', 'no'); // unknown
 */
export function mergeRan(left: Ran, right: Ran): Ran {
  return CERTAINTY[left] >= CERTAINTY[right] ? left : right;
}
