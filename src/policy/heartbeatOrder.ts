import type { PublishedTarget } from '../schema/nodeMember.js';

/** Names one heartbeat: its target's start and its number in that start. */
export interface HeartbeatOrder {
  startedAtMs: number;
  sequence: number;
}

/** Orders two heartbeats of the targets of one host; negative when `left` was sent earlier. */
export function compareHeartbeats(left: HeartbeatOrder, right: HeartbeatOrder): number {
  return left.startedAtMs - right.startedAtMs || left.sequence - right.sequence;
}

/**
 * True when a heartbeat or leave speaks of the same start of the same target as a record. A target may start again under
 * its id, so the id alone does not tell.
 */
export function isSameStart(
  record: Pick<PublishedTarget, 'id' | 'startedAtMs'> | undefined,
  id: string,
  startedAtMs: number,
): boolean {
  return record?.id === id && record.startedAtMs === startedAtMs;
}
