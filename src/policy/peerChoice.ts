import { hashToUnit } from '../core/hash.js';

/** A node that another one may keep a link to. */
export interface PeerCandidate {
  host: string;
  dataCenter: string;
  service: string;
}

export interface PeerQuestion {
  self: { host: string; dataCenter: string };
  members: Iterable<PeerCandidate>;
  /** False where a host does not answer, or its target leaves: it does not count as one of those that are wanted. */
  isUsable: (host: string) => boolean;
  /** True when requests for the service enter at this node. */
  isUsed: (service: string) => boolean;
}

/** Hosts of each service to which a node keeps links: in its own data centre, and in all others together. */
const LOCAL_PEERS = 6;
const OTHER_PEERS = 4;
/** The same for services that no request needs yet. */
const SPARE_PEERS = 1;
/** While there are no more services, all are taken as used. */
const FEW_SERVICES = 16;
/** Services with no more hosts than this are linked as a whole. */
const FEW_HOSTS = 8;

/**
 * Chooses the hosts to which a node keeps links, so that neither its connections nor what it hears grow with the number of
 * hosts. Each node ranks hosts by a hash of its own, which spreads the nodes over all hosts and keeps the choice stable
 * while members come and go.
 *
 * @returns names of hosts.
 */
export function choosePeers({ self, members, isUsable, isUsed }: PeerQuestion): Set<string> {
  const byService = new Map<string, PeerCandidate[]>();
  for (const member of members) {
    if (member.host === self.host) continue;
    const ofService = byService.get(member.service);
    if (ofService === undefined) byService.set(member.service, [member]);
    else ofService.push(member);
  }
  const chosen = new Set<string>();
  for (const [service, candidates] of byService) {
    if (candidates.length <= FEW_HOSTS) {
      for (const { host } of candidates) chosen.add(host);
      continue;
    }
    const isNeeded = byService.size <= FEW_SERVICES || isUsed(service);
    const ranked = sortCandidates(candidates, self.host);
    const local = ranked.filter(({ dataCenter }) => dataCenter === self.dataCenter);
    const others = ranked.filter(({ dataCenter }) => dataCenter !== self.dataCenter);
    const found = addFirst(chosen, local, isNeeded ? LOCAL_PEERS : SPARE_PEERS, isUsable);
    // Where the own data centre has fewer, others make up for them.
    addFirst(chosen, others, isNeeded ? LOCAL_PEERS + OTHER_PEERS - found : SPARE_PEERS, isUsable);
  }
  return chosen;
}

function sortCandidates(candidates: readonly PeerCandidate[], self: string): PeerCandidate[] {
  return candidates
    .map((candidate) => ({ candidate, rank: hashToUnit(`${self} ${candidate.host}`) }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ candidate }) => candidate);
}

/** Adds hosts in their order until enough usable ones are among them; returns how many are usable. */
function addFirst(
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
