import { hashToUnit } from '../core/hash.js';

/** A host to which a node may keep a link. */
export interface PeerCandidate {
  host: string;
  dataCenter: string;
  service: string;
}

/** What a node knows when it chooses its links. */
export interface PeerChoiceInput {
  self: { host: string; dataCenter: string };
  members: Iterable<PeerCandidate>;
  /**
   * False when a host does not respond or its target is leaving; such hosts do not count towards the required number.
   */
  isUsable: (host: string) => boolean;
  /** True when requests for the service enter at this node. */
  isUsed: (service: string) => boolean;
}

/** Number of hosts of each service to which a node keeps links in its own data centre. */
const LOCAL_PEERS = 6;
/** Number of hosts of each service to which a node keeps links in all other data centres together. */
const REMOTE_PEERS = 4;
/** Number of local, and of remote, hosts for each service that is not used by requests at this node. */
const UNUSED_SERVICE_PEERS = 1;
/** With at most this number of services, all count as used. */
const MAX_SERVICES_ALL_USED = 16;
/** With at most this number of hosts of a service, all are linked. */
const MAX_HOSTS_ALL_LINKED = 8;

/**
 * Chooses the hosts to which a node keeps links, so that neither its connections nor the updates it receives grow with
 * the number of hosts. Each node ranks hosts by a hash of both names (rendezvous hashing), which distributes the nodes
 * evenly over all hosts and keeps the choice stable while members join and leave.
 *
 * @returns Host names.
 * @example
 * const hosts = choosePeers({ self, members: byHost.values(), isUsable: () => true, isUsed: (service) => service === 'stock' });
 */
export function choosePeers({ self, members, isUsable, isUsed }: PeerChoiceInput): Set<string> {
  const byService = new Map<string, PeerCandidate[]>();
  for (const member of members) {
    if (member.host === self.host) continue;
    const candidates = byService.get(member.service);
    if (candidates === undefined) byService.set(member.service, [member]);
    else candidates.push(member);
  }
  const chosen = new Set<string>();
  for (const [service, candidates] of byService) {
    if (candidates.length <= MAX_HOSTS_ALL_LINKED) {
      for (const { host } of candidates) chosen.add(host);
      continue;
    }
    const isNeeded = byService.size <= MAX_SERVICES_ALL_USED || isUsed(service);
    const ranked = sortCandidates(candidates, self.host);
    const local = ranked.filter(({ dataCenter }) => dataCenter === self.dataCenter);
    const others = ranked.filter(({ dataCenter }) => dataCenter !== self.dataCenter);
    const found = addCandidates(chosen, local, isNeeded ? LOCAL_PEERS : UNUSED_SERVICE_PEERS, isUsable);
    // If the local data centre has too few usable hosts, more remote ones are added.
    addCandidates(chosen, others, isNeeded ? LOCAL_PEERS + REMOTE_PEERS - found : UNUSED_SERVICE_PEERS, isUsable);
  }
  return chosen;
}

function sortCandidates(candidates: readonly PeerCandidate[], self: string): PeerCandidate[] {
  return candidates
    .map((candidate) => ({ candidate, rank: hashToUnit(`${self} ${candidate.host}`) }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ candidate }) => candidate);
}

/** Adds hosts in order until they include enough usable ones; returns the number of usable ones. */
function addCandidates(
  chosen: Set<string>,
  ranked: readonly PeerCandidate[],
  wanted: number,
  isUsable: (host: string) => boolean,
): number {
  let usable = 0;
  let added = 0;
  for (const { host } of ranked) {
    if (usable >= wanted || added >= 2 * wanted) break;
    chosen.add(host);
    added++;
    if (isUsable(host)) usable++;
  }
  return usable;
}
