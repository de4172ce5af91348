import type { NodeMember, PublishedTarget } from '../schema/nodeMember.js';
import { isFurtherLeaving, mergeDepartures } from './departures.js';
import { isSameStart } from './heartbeatOrder.js';

/** True when a published state says of the same start of a target that it has come further in leaving. */
function isLeavingFurther(target: PublishedTarget | undefined, than: PublishedTarget | undefined): boolean {
  if (target === undefined || than === undefined) return false;
  return isSameStart(target, than.id, than.startedAtMs) && isFurtherLeaving(target.phase, than.phase);
}

/**
 * Merges two published states of the target of one host. The newer one counts, but for a leave: it is final for that start
 * of the target, whichever record says so.
 *
 * @example
 * mergePublishedTargets({ ...target, phase: 'ready' }, { ...target, phase: 'left' }); // { ...target, phase: 'left' }
 */
export function mergePublishedTargets(
  newer: PublishedTarget | undefined,
  older: PublishedTarget | undefined,
): PublishedTarget | undefined {
  if (newer === undefined || older === undefined) return newer ?? older;
  if (!isLeavingFurther(older, newer)) return newer;
  return { ...newer, phase: older.phase, sequence: Math.max(newer.sequence, older.sequence) };
}

/**
 * Returns a record of a host with what an older one says of its target and of those that left, as far as that still holds.
 *
 * @example
 * // A restarted process may not know yet that its target has left.
 * byHost.set(record.host, mergeTargets(record, byHost.get(record.host)));
 */
export function mergeTargets(newer: NodeMember, older: NodeMember | undefined): NodeMember {
  const target = mergePublishedTargets(newer.target, older?.target);
  const departures = mergeDepartures(newer.departures, older?.departures);
  if (target === newer.target && departures === newer.departures) return newer;
  return { ...newer, ...(target === undefined ? {} : { target }), ...(departures === undefined ? {} : { departures }) };
}

/** True when a process may not know what its host is known to have acknowledged; `current` is its own record. */
export function isHistoryNews(known: NodeMember, current: NodeMember): boolean {
  return known.incarnation !== current.incarnation || mergeTargets(current, known) !== current;
}
