import { isDeepStrictEqual } from 'node:util';
import type { NodeMember } from '../schema/nodeMember.js';
import { mergeTargets } from './targetHistory.js';

/** The fields of a record that order it among those of its host. */
export type RecordOrder = Pick<NodeMember, 'startedAtMs' | 'revision'>;

/**
 * True when a record replaces another one of the same host: it has a later start, or a later revision of the same
 * start.
 *
 * @example
 * isNewerMember({ startedAtMs: 2000, revision: 1 }, { startedAtMs: 1000, revision: 7 }); // true
 */
export function isNewerMember(candidate: RecordOrder, known: RecordOrder | undefined): boolean {
  if (known === undefined) return true;
  if (candidate.startedAtMs !== known.startedAtMs) return candidate.startedAtMs > known.startedAtMs;
  return candidate.revision > known.revision;
}

/**
 * True when a record names the process of a current one, but was not written by it: it is newer, or differs from it otherwise
 * than by a leave of the target that peers know of.
 */
export function isAlteredCopy(record: NodeMember, current: NodeMember): boolean {
  if (record.incarnation !== current.incarnation) return false;
  if (isNewerMember(record, current)) return true;
  if (isNewerMember(current, record) || isDeepStrictEqual(record, current)) return false;
  return !isDeepStrictEqual(record, mergeTargets(current, record));
}
