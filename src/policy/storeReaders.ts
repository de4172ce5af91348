import { hashToUnit } from '../core/hash.js';

/** What a node knows when it decides whether it waits for changes at the store. */
export interface StoreReaderInput {
  self: { host: string; dataCenter: string };
  /** All other members of the fleet. */
  members: ReadonlyMap<string, { host: string; dataCenter: string }>;
  /** True when this node is linked to a host and does not hear from it. */
  isSilent: (host: string) => boolean;
}

/** Number of nodes of each data centre that wait for changes at the store. */
const READERS_PER_DATA_CENTER = 3;
/** Up to this number of other members, every node waits for changes itself. */
const MAX_MEMBERS_ALL_READ = 24;

/** True when the fleet is so large that only some nodes wait for changes at the store. */
export function isStoreReadByFew(members: StoreReaderInput['members']): boolean {
  return members.size > MAX_MEMBERS_ALL_READ;
}

/**
 * Returns the place of a node among the nodes of its data centre that wait for changes at the store and pass them on to
 * their peers, 0 for the first one; undefined when the node learns of changes from its peers. All nodes rank the hosts of
 * a data centre by the same hash and skip those from which they hear nothing, so readers need no agreement and are
 * replaced when they fail. The number of calls per change thus depends on the data centres and not on the hosts. In a
 * small fleet every node is a first reader.
 *
 * @example
 * findReaderPlace({ self: { host: 'a1', dataCenter: 'd1' }, members: new Map(), isSilent: () => false }); // 0
 */
export function findReaderPlace({ self, members, isSilent }: StoreReaderInput): number | undefined {
  if (!isStoreReadByFew(members)) return 0;
  const ownRank = computeRank(self.host);
  let ahead = 0;
  for (const { host, dataCenter } of members.values()) {
    if (dataCenter !== self.dataCenter || computeRank(host) >= ownRank || isSilent(host)) continue;
    if (++ahead >= READERS_PER_DATA_CENTER) return undefined;
  }
  return ahead;
}

/**
 * True when the store turns away those nodes that wait for changes for this one, as far as it is linked to them. They are
 * alive, so no others take their place, and the store may serve other nodes.
 *
 * @param isTurnedAway Undefined for a host without a link.
 * @example
 * if (hasLostReaders(input, (host) => peers.get(host)?.isStoreLost)) readTopic();
 */
export function hasLostReaders(
  { self, members, isSilent }: StoreReaderInput,
  isTurnedAway: (host: string) => boolean | undefined,
): boolean {
  const readers = [...members.values()]
    .filter(({ host, dataCenter }) => dataCenter === self.dataCenter && !isSilent(host))
    .sort((left, right) => computeRank(left.host) - computeRank(right.host))
    .slice(0, READERS_PER_DATA_CENTER);
  const known = readers.map(({ host }) => isTurnedAway(host)).filter((state) => state !== undefined);
  return known.length > 0 && known.every((state) => state);
}

function computeRank(host: string): number {
  return hashToUnit(`reader ${host}`);
}
