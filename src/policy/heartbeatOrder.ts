import type { PublishedTarget } from '../schema/nodeMember.js';

/** Identifies one heartbeat: the start time of its target and its sequence number since that start. */
export interface HeartbeatOrder {
  startedAtMs: number;
  sequence: number;
}

/**
 * Compares two heartbeats from targets of one host; negative when `left` was sent earlier.
 *
 * @example
 * if (compareHeartbeats(heartbeat, latest) <= 0) ignore(heartbeat);
 */
export function compareHeartbeats(left: HeartbeatOrder, right: HeartbeatOrder): number {
  return left.startedAtMs - right.startedAtMs || left.sequence - right.sequence;
}

/**
 * True when a heartbeat or leave message belongs to the same start of the same target as a record. The id alone is not
 * enough, since a target may restart with the same id.
 */
export function isSameStart(
  record: Pick<PublishedTarget, 'id' | 'startedAtMs'> | undefined,
  id: string,
  startedAtMs: number,
): boolean {
  return record?.id === id && record.startedAtMs === startedAtMs;
}
