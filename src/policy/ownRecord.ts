import type { NodeMember } from '../schema/nodeMember.js';

/** Fields of a record that a process does not change. */
const fixedFields = ['dataCenter', 'region', 'service', 'linkAddress'] as const;

/**
 * True when a record names the process of `self` but did not come from it. Answers other writers in the store: all nodes would
 * believe a copy of a node's record with one field changed and a later revision.
 *
 * @example
 * if (isForgedRecord(record, self)) replaceRecord();
 */
export function isForgedRecord(record: NodeMember, self: NodeMember): boolean {
  if (record.incarnation !== self.incarnation) return false;
  if (record.startedAtMs > self.startedAtMs || record.revision > self.revision) return true;
  if (fixedFields.some((field) => record[field] !== self[field])) return true;
  const isSameVersion = record.startedAtMs === self.startedAtMs && record.revision === self.revision;
  return isSameVersion && JSON.stringify(record.target) !== JSON.stringify(self.target);
}
