/**
 * Computes how many of the remaining extra attempts go along with one child call. Half, rounded up, so that the deepest
 * hop of a chain can retry, where a retry repeats the least work, and a lost reply does not cost the whole allowance.
 *
 * @example
 * computeLoan(2); // 1
 */
export function computeChildAllowance(remaining: number): number {
  return Math.ceil(remaining / 2);
}
