import type { NodeMember } from '../schema/nodeMember.js';

/**
 * True when a record replaces another one of the same host: it has a later start, or a later revision of the same
 * start.
 */
export function isNewerMember(candidate: NodeMember, known: NodeMember | undefined): boolean {
  if (known === undefined) return true;
  if (candidate.startedAtMs !== known.startedAtMs) return candidate.startedAtMs > known.startedAtMs;
  return candidate.revision > known.revision;
}
