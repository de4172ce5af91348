/** Share of its slots up to which a target works at full speed; some slow down when they are nearly full. */
const FULL_SPEED_SHARE = 0.95;

/**
 * Computes how many requests a target runs at once.
 *
 * @example
 * computeRunLimit(17); // 16
 */
export function computeRunLimit(slots: number): number {
  return Math.max(1, Math.floor(slots * FULL_SPEED_SHARE));
}
