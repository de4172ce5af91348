import type { RecoveryPace } from './recoveryPace.js';

/** Share of its slots up to which a target runs at full speed; some targets slow down when nearly full. */
const FULL_SPEED_SHARE = 0.95;

/**
 * Computes the maximum number of concurrent requests at a target, which is lower while it starts or recovers.
 *
 * @example
 * computeRunLimit(17); // 16
 */
export function computeRunLimit(slots: number, recovery?: Pick<RecoveryPace, 'limit'>): number {
  const limit = Math.max(1, Math.floor(slots * FULL_SPEED_SHARE));
  return recovery === undefined ? limit : Math.min(limit, Math.max(1, Math.floor(recovery.limit)));
}
