import { hashText } from '../core/hash.js';
import type { MemberRecord } from '../schema/member.js';
import { findRingIndex } from './memberMerge.js';
import type { MemberTableView, RingEntry } from './memberMerge.js';

/** Gateways per data centre: two, so that the loss of one does not cut the data centre off. */
const GATEWAYS_PER_DATA_CENTER = 2;
/** Ring distances at which predecessors watch a node. */
const WATCH_DISTANCES = [1, 2, 4];

export interface OverlayQuestion {
  table: MemberTableView;
  self: MemberRecord;
}

/** The links that a node keeps. */
export interface Overlay {
  /** All peers with a control link, in both directions. */
  neighbours: Set<string>;
  /** Successors on the ring that this node watches. */
  watched: Set<string>;
  isGateway: boolean;
}

/**
 * Computes the links of a node: ring distances 1, 2, 4, ... within its data centre, and for a gateway the same distances
 * on the ring of data centres.
 *
 * @example
 * const { neighbours } = computeOverlay({ table, self });
 */
export function computeOverlay({ table, self }: OverlayQuestion): Overlay {
  const ring = table.rings.get(self.dataCenter) ?? [];
  const ownIndex = findRingIndex(ring, { id: self.id, hash: hashText(self.id) });
  const neighbours = new Set<string>();
  const watched = new Set<string>();
  for (let distance = 1; distance < ring.length; distance *= 2) {
    const successor = getAtIndex(ring, ownIndex + distance).id;
    neighbours.add(successor);
    neighbours.add(getAtIndex(ring, ownIndex - distance).id);
    if (WATCH_DISTANCES.includes(distance)) watched.add(successor);
  }
  const gatewayIndex = selectGateways(ring).indexOf(self.id);
  if (gatewayIndex >= 0) addGatewayLinks(table, self, gatewayIndex, neighbours);
  neighbours.delete(self.id);
  watched.delete(self.id);
  return { neighbours, watched, isGateway: gatewayIndex >= 0 };
}

/** Selects the gateways of a data centre: the first live nodes by hash. */
export function selectGateways(ring: readonly RingEntry[]): string[] {
  return ring.slice(0, GATEWAYS_PER_DATA_CENTER).map(({ id }) => id);
}

/** Selects the other nodes that watch a node, as far as this node knows them. */
export function selectWatchers(table: MemberTableView, host: MemberRecord): string[] {
  const ring = table.rings.get(host.dataCenter) ?? [];
  const index = findRingIndex(ring, { id: host.id, hash: hashText(host.id) });
  if (ring[index]?.id !== host.id) return [];
  const distances = WATCH_DISTANCES.filter((distance) => distance < ring.length);
  return [...new Set(distances.map((distance) => getAtIndex(ring, index - distance).id))];
}

/**
 * Orders data centres on their ring by region and then name: the nearest distances stay within the region, and distance
 * 1, 2, 4, 8 jump over a region of up to seven data centres that cannot be reached.
 */
export function listDataCenterRing(table: MemberTableView): string[] {
  const keys = [...table.rings].map(([dataCenter, ring]) => {
    const region = table.byId.get(ring[0]?.id ?? '')?.region ?? '';
    return { dataCenter, key: `${region} ${dataCenter}` };
  });
  return keys.sort((left, right) => (left.key < right.key ? -1 : 1)).map(({ dataCenter }) => dataCenter);
}

/** Gateways link to the gateway of the same index, so that two paths share no node; alone, to the only one. */
function addGatewayLinks(
  table: MemberTableView,
  self: MemberRecord,
  gatewayIndex: number,
  neighbours: Set<string>,
): void {
  const dataCenters = listDataCenterRing(table);
  const ownIndex = dataCenters.indexOf(self.dataCenter);
  const ownGateways = selectGateways(table.rings.get(self.dataCenter) ?? []).length;
  for (let distance = 1; distance < dataCenters.length; distance *= 2) {
    for (const index of [ownIndex + distance, ownIndex - distance]) {
      const gateways = selectGateways(table.rings.get(getAtIndex(dataCenters, index)) ?? []);
      const isPaired = gatewayIndex < gateways.length && ownGateways === gateways.length;
      for (const gateway of isPaired ? gateways.slice(gatewayIndex, gatewayIndex + 1) : gateways)
        neighbours.add(gateway);
    }
  }
}

function getAtIndex<Item>(ring: readonly Item[], index: number): Item {
  return ring[((index % ring.length) + ring.length) % ring.length] as Item;
}
