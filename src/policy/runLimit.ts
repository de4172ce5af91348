/** Share of its slots up to which a target runs at full speed; some targets slow down when nearly full. */
const FULL_SPEED_SHARE = 0.95;

/**
 * Computes the maximum number of concurrent requests at a target.
 *
 * @example
 * computeRunLimit(17); // 16
 */
export function computeRunLimit(slots: number): number {
  return Math.max(1, Math.floor(slots * FULL_SPEED_SHARE));
}
