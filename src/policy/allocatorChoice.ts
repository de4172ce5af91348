import { hashToUnit } from '../core/hash.js';

/** A host that may become the allocator. */
export interface PoolMember {
  readonly host: string;
  readonly dataCenter: string;
}

/** Up to this number of hosts in the fleet, one allocator serves all of them; in a larger one, each data centre has its own. */
const MAX_POOL_HOSTS = 128;
/** Number of hosts of the pool, and of the own data centre in it, to which a node keeps a link. */
const LINKED_CANDIDATES = 2;
/** Time since its start after which the nodes are linked to a process (ms). */
const SETTLED_MS = 5000;
/** Time within which the processes of a fleet start together (ms). */
const START_SPREAD_MS = 3000;

/**
 * Ranks the hosts of the pool of `self` by a hash of their names. All nodes with the same member list have the same order,
 * so they follow the same allocator without agreement.
 *
 * @example
 * const [first] = sortAllocators(self, members.values());
 */
export function sortAllocators(self: PoolMember, others: Iterable<PoolMember>): PoolMember[] {
  const all = [self, ...others];
  const pool = all.length > MAX_POOL_HOSTS ? all.filter(({ dataCenter }) => dataCenter === self.dataCenter) : all;
  return pool
    .map((member) => ({ member, rank: hashToUnit(`allocator ${member.host}`) }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ member: { host, dataCenter } }) => ({ host, dataCenter }));
}

/**
 * Returns the Unix time (ms) up to which processes must have started to be settled: all nodes know those that have run for
 * some time, and those that started together with most of the fleet.
 */
export function computeSettledStart(startedAtMs: readonly number[], nowWallMs: number): number {
  const sorted = [...startedAtMs].sort((left, right) => left - right);
  const median = sorted[Math.floor(sorted.length / 2)] ?? -Infinity;
  return Math.max(nowWallMs - SETTLED_MS, median + START_SPREAD_MS);
}

/**
 * Lists the hosts to which a node must have a link, so that it reaches an allocator when the first one fails or its data
 * centre is cut off. Hosts that do not respond do not count.
 *
 * @example
 * for (const host of listAllocatorCandidates(ranked, self, isSilent)) openLink(host);
 */
export function listAllocatorCandidates(
  ranked: readonly PoolMember[],
  self: PoolMember,
  isSilent: (host: string) => boolean,
): string[] {
  const local = ranked.filter(({ dataCenter }) => dataCenter === self.dataCenter);
  const chosen = new Set([...selectFirst(ranked, isSilent), ...selectFirst(local, isSilent)]);
  chosen.delete(self.host);
  return [...chosen];
}

/** Selects hosts in order until they include enough that respond. */
function selectFirst(ranked: readonly PoolMember[], isSilent: (host: string) => boolean): string[] {
  const hosts: string[] = [];
  let responding = 0;
  for (const { host } of ranked) {
    if (responding >= LINKED_CANDIDATES) break;
    hosts.push(host);
    if (!isSilent(host)) responding++;
  }
  return hosts;
}
