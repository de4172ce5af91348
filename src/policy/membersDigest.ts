import { hashText } from '../core/hash.js';

/** The fields of a member record that identify its version. */
export interface MemberVersion {
  host: string;
  incarnation: string;
  revision: number;
}

/**
 * Adds a record to the digest of a member list, or removes one that was added. The digests of two nodes are equal when
 * their lists have the same versions of the same records.
 *
 * @example
 * const digest = updateDigest(0, record);
 * updateDigest(digest, record); // 0
 */
export function updateDigest(digest: number, { host, incarnation, revision }: MemberVersion): number {
  return (digest ^ hashText(`${host} ${incarnation} ${revision}`)) >>> 0;
}
