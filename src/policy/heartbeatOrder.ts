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

/** What is known of the target in place and of the sender of a heartbeat that is another start of a target. */
export interface Replacement {
  /** Order of the heartbeat after that of the target in place; positive when it was sent later. */
  order: number;
  /** True if the sender's target was refuted: another one answered at its address. */
  wasRefuted: boolean;
  /** True if the target in place was refuted and has not answered since. */
  isPresentRefuted: boolean;
  /** True while the target in place refuses connections or does not answer. */
  isPresentEjected: boolean;
}

/**
 * True when a heartbeat takes the place of the known target. Start times come from the senders: one far in the future must not
 * keep the real target out of service, and one that was refuted must not displace a target that answers.
 *
 * @example
 * isReplacing({ order: -1, wasRefuted: false, isPresentRefuted: true, isPresentEjected: false }); // true
 */
export function isReplacing({ order, wasRefuted, isPresentRefuted, isPresentEjected }: Replacement): boolean {
  if (isPresentRefuted) return true;
  return order > 0 && (!wasRefuted || isPresentEjected);
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
