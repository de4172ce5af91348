import type { MemberRecord } from '../schema/member.js';

/** Orders two records of one node; positive when `left` is newer. */
export function compareMemberRecords(left: MemberRecord, right: MemberRecord): number {
  return left.startedAtMs - right.startedAtMs || left.version - right.version;
}

/** Merges a record into a map; true when it was news. */
export function mergeMember(byId: Map<string, MemberRecord>, record: MemberRecord): boolean {
  const known = byId.get(record.id);
  if (known !== undefined && compareMemberRecords(record, known) <= 0) return false;
  byId.set(record.id, record);
  return true;
}
