import { hashText } from '../core/hash.js';
import type { MemberRecord } from '../schema/member.js';
import { findRingIndex } from './memberMerge.js';
import type { MemberTableView, RingEntry } from './memberMerge.js';

/** Two gateways per data centre, so that the failure of one does not disconnect the data centre. */
const GATEWAYS_PER_DATA_CENTER = 2;
/** Ring distances at which a node watches its successors. */
const WATCH_DISTANCES = [1, 2, 4];

export interface OverlayInput {
  table: MemberTableView;
  self: MemberRecord;
}

/** Control links of a node. */
export interface Overlay {
  /** All peers with a control link, successors and predecessors. */
  neighbours: Set<string>;
  /** Successors on the ring that this node watches. */
  watched: Set<string>;
  isGateway: boolean;
}

/**
 * Computes the links of a node: ring distances 1, 2, 4, ... within its data centre, and for a gateway the same
 * distances on the ring of data centres.
 *
 * @example
 * const { neighbours } = computeOverlay({ table, self });
 */
export function computeOverlay({ table, self }: OverlayInput): Overlay {
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

/** Selects the nodes that watch a member, according to this node's member table. */
export function selectWatchers(table: MemberTableView, member: MemberRecord): string[] {
  const ring = table.rings.get(member.dataCenter) ?? [];
  const index = findRingIndex(ring, { id: member.id, hash: hashText(member.id) });
  if (ring[index]?.id !== member.id) return [];
  const distances = WATCH_DISTANCES.filter((distance) => distance < ring.length);
  return [...new Set(distances.map((distance) => getAtIndex(ring, index - distance).id))];
}

/**
 * Lists data centres in ring order, by region and then name. Short distances stay within the region, while the
 * distances 1, 2, 4, 8 skip an unreachable region of up to seven data centres.
 */
export function listDataCenterRing(table: MemberTableView): string[] {
  const keys = [...table.rings].map(([dataCenter, ring]) => {
    const region = table.byId.get(ring[0]?.id ?? '')?.region ?? '';
    return { dataCenter, key: `${region} ${dataCenter}` };
  });
  return keys.sort((left, right) => (left.key < right.key ? -1 : 1)).map(({ dataCenter }) => dataCenter);
}

/**
 * Links gateways of the same index, so that the two paths between data centres share no node. Between data centres with
 * different numbers of gateways, each gateway links to all gateways of the other one.
 */
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
