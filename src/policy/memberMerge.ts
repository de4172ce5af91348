import type { ReadView } from '../core/blackboard.js';
import { hashText } from '../core/hash.js';
import type { MemberRecord } from '../schema/member.js';

/** A live node on the ring of its data centre. */
export interface RingEntry {
  readonly id: string;
  readonly hash: number;
}

/** All member records of a node with the indexes that are kept up to date with every change. */
export interface MemberTable {
  byId: Map<string, MemberRecord>;
  byService: Map<string, MemberRecord[]>;
  /** By data centre: its live nodes in order of hash. */
  rings: Map<string, RingEntry[]>;
  /** By data centre: an order-independent hash over its records that are not down. */
  digests: Map<string, number>;
  /** Counts changes of any ring. */
  ringVersion: number;
}

/** A table that is only read. */
export type MemberTableView = ReadView<MemberTable>;

/** More records than this are refused, so that a faulty peer cannot fill the memory. */
export const MAX_MEMBERS = 4096;

/** Creates a table without records. */
export function createMemberTable(): MemberTable {
  return { byId: new Map(), byService: new Map(), rings: new Map(), digests: new Map(), ringVersion: 0 };
}

/**
 * Orders two records of one node; positive when `left` is newer. Watchers mark a node as down without raising its
 * version, so that several watchers make the same record and only the node itself makes versions.
 */
export function compareMemberRecords(left: MemberRecord, right: MemberRecord): number {
  return left.startedAtMs - right.startedAtMs || computeMemberRank(left) - computeMemberRank(right);
}

/** Orders the records of one incarnation: by version, and down after all others of a version. */
export function computeMemberRank(record: MemberRecord): number {
  return 2 * record.version + (record.nodeState === 'down' ? 1 : 0);
}

/**
 * Merges a record into a table; true when it was news. A down record of an unknown node is none: the node is gone, and
 * its record was removed here earlier than at the sender.
 */
export function mergeMember(table: MemberTable, record: MemberRecord): boolean {
  const known = table.byId.get(record.id);
  if (known === undefined) {
    if (record.nodeState === 'down' || table.byId.size >= MAX_MEMBERS) return false;
  } else if (compareMemberRecords(record, known) <= 0) return false;
  putMember(table, record);
  return true;
}

/** Puts a record in place of an older one of the same node and updates the indexes. */
export function putMember(table: MemberTable, record: MemberRecord): void {
  const known = table.byId.get(record.id);
  if (known !== undefined) removeFromIndexes(table, known, record);
  table.byId.set(record.id, record);
  if (record.service !== undefined) {
    const list = table.byService.get(record.service);
    if (list === undefined) table.byService.set(record.service, [record]);
    else list.push(record);
  }
  if (record.nodeState !== 'down') updateDigest(table, record);
  if (isOnRing(record) && (known === undefined || !isSameRingPlace(known, record))) addToRing(table, record);
}

/** Removes all trace of a node. */
export function removeMember(table: MemberTable, id: string): void {
  const known = table.byId.get(id);
  if (known === undefined) return;
  removeFromIndexes(table, known, undefined);
  table.byId.delete(id);
}

function removeFromIndexes(table: MemberTable, known: MemberRecord, next: MemberRecord | undefined): void {
  if (known.service !== undefined) {
    const list = table.byService.get(known.service);
    const index = list?.indexOf(known) ?? -1;
    if (index >= 0) list?.splice(index, 1);
    if (list?.length === 0) table.byService.delete(known.service);
  }
  if (known.nodeState !== 'down') updateDigest(table, known);
  if (isOnRing(known) && (next === undefined || !isSameRingPlace(known, next))) removeFromRing(table, known);
}

function isOnRing(record: MemberRecord): boolean {
  return record.nodeState === 'alive';
}

function isSameRingPlace(left: MemberRecord, right: MemberRecord): boolean {
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

/** Adds a record to the digest of its data centre, or takes it out again. */
function updateDigest(table: MemberTable, { id, dataCenter, startedAtMs, version }: MemberRecord): void {
  const hash = hashText(`${id} ${startedAtMs} ${version}`);
  const digest = ((table.digests.get(dataCenter) ?? 0) ^ hash) >>> 0;
  if (digest === 0) table.digests.delete(dataCenter);
  else table.digests.set(dataCenter, digest);
}
