/**
 * Computes how many of the remaining extra attempts are passed on to one child call: half, rounded up. The deepest hop
 * of a chain can then retry, where a retry repeats the least work, and a lost reply does not cost the whole allowance.
 *
 * @example
 * computeChildAllowance(2); // 1
 */
export function computeChildAllowance(remaining: number): number {
  return Math.ceil(remaining / 2);
}
