import type { ReadView } from '../core/blackboard.js';
import { hashText } from '../core/hash.js';
import type { MemberRecord } from '../schema/member.js';

/** A live node on the hash ring of its data centre. */
export interface RingEntry {
  readonly id: string;
  readonly hash: number;
}

/** Member records known to a node, with indexes that are updated with every change. */
export interface MemberTable {
  byId: Map<string, MemberRecord>;
  byService: Map<string, MemberRecord[]>;
  /** Live nodes of each data centre, in order of hash. */
  rings: Map<string, RingEntry[]>;
  /** Order-independent hash over the records of each data centre that are not down. */
  digests: Map<string, number>;
  /** Incremented when any ring changes. */
  ringVersion: number;
}

/** Read-only view of a member table. */
export type MemberTableView = ReadView<MemberTable>;

/** Maximum number of records; bounds the memory that a faulty peer can fill. */
export const MAX_MEMBERS = 4096;

/** Creates a table without records. */
export function createMemberTable(): MemberTable {
  return { byId: new Map(), byService: new Map(), rings: new Map(), digests: new Map(), ringVersion: 0 };
}

/**
 * Compares two records of one node; positive when `left` is newer. Watchers mark a node as down without incrementing
 * its version, so that all watchers create the same record and only the node itself creates versions.
 */
export function compareMemberRecords(left: MemberRecord, right: MemberRecord): number {
  return left.startedAtMs - right.startedAtMs || computeMemberRank(left) - computeMemberRank(right);
}

/**
 * Computes the order of a record within one incarnation: by version, and down after other states of the same version.
 */
export function computeMemberRank(record: MemberRecord): number {
  return 2 * record.version + (record.nodeState === 'down' ? 1 : 0);
}

/**
 * Merges a record into a table; true when the table changed. A down record of an unknown node is ignored: it belongs to
 * a removed node whose record was deleted here earlier than at the sender.
 */
export function mergeMember(table: MemberTable, record: MemberRecord): boolean {
  const current = table.byId.get(record.id);
  if (current === undefined) {
    if (record.nodeState === 'down' || table.byId.size >= MAX_MEMBERS) return false;
  } else if (compareMemberRecords(record, current) <= 0) return false;
  putMember(table, record);
  return true;
}

/** Stores a record, replacing an older one of the same node, and updates the indexes. */
export function putMember(table: MemberTable, record: MemberRecord): void {
  const current = table.byId.get(record.id);
  if (current !== undefined) removeFromIndexes(table, current, record);
  table.byId.set(record.id, record);
  if (record.service !== undefined) {
    const list = table.byService.get(record.service);
    if (list === undefined) table.byService.set(record.service, [record]);
    else list.push(record);
  }
  if (record.nodeState !== 'down') updateDigest(table, record);
  if (isOnRing(record) && (current === undefined || !hasSameRingPosition(current, record))) addToRing(table, record);
}

/** Removes the record of a node and updates the indexes. */
export function removeMember(table: MemberTable, id: string): void {
  const current = table.byId.get(id);
  if (current === undefined) return;
  removeFromIndexes(table, current, undefined);
  table.byId.delete(id);
}

function removeFromIndexes(table: MemberTable, current: MemberRecord, next: MemberRecord | undefined): void {
  if (current.service !== undefined) {
    const list = table.byService.get(current.service);
    const index = list?.indexOf(current) ?? -1;
    if (index >= 0) list?.splice(index, 1);
    if (list?.length === 0) table.byService.delete(current.service);
  }
  if (current.nodeState !== 'down') updateDigest(table, current);
  if (isOnRing(current) && (next === undefined || !hasSameRingPosition(current, next))) removeFromRing(table, current);
}

function isOnRing(record: MemberRecord): boolean {
  return record.nodeState === 'alive';
}

function hasSameRingPosition(left: MemberRecord, right: MemberRecord): boolean {
  return isOnRing(left) && isOnRing(right) && left.dataCenter === right.dataCenter;
}

function addToRing(table: MemberTable, { id, dataCenter }: MemberRecord): void {
  const entry: RingEntry = { id, hash: hashText(id) };
  const ring = table.rings.get(dataCenter);
  if (ring === undefined) table.rings.set(dataCenter, [entry]);
  else ring.splice(findRingIndex(ring, entry), 0, entry);
  table.ringVersion++;
}

function removeFromRing(table: MemberTable, { id, dataCenter }: MemberRecord): void {
  const ring = table.rings.get(dataCenter) ?? [];
  const index = findRingIndex(ring, { id, hash: hashText(id) });
  if (ring[index]?.id === id) ring.splice(index, 1);
  if (ring.length === 0) table.rings.delete(dataCenter);
  table.ringVersion++;
}

/** Finds the index at which an entry is or would be inserted. */
export function findRingIndex(ring: readonly RingEntry[], entry: RingEntry): number {
  let low = 0;
  let high = ring.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    const found = ring[middle];
    if (found !== undefined && (found.hash < entry.hash || (found.hash === entry.hash && found.id < entry.id)))
      low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Adds a record to the digest of its data centre, or removes it if it was added before (XOR). */
function updateDigest(table: MemberTable, { id, dataCenter, startedAtMs, version }: MemberRecord): void {
  const hash = hashText(`${id} ${startedAtMs} ${version}`);
  const digest = ((table.digests.get(dataCenter) ?? 0) ^ hash) >>> 0;
  if (digest === 0) table.digests.delete(dataCenter);
  else table.digests.set(dataCenter, digest);
}
