import { describe, it } from 'node:test';
import { expect } from 'earl';
import { choosePeers } from '../../src/policy/peerChoice.js';
import type { PeerCandidate } from '../../src/policy/peerChoice.js';

const SERVICES = ['slots', 'orders', 'contracts', 'stock'];

/** Creates hosts distributed evenly over services and four data centres. */
function createMembers(count: number, services = SERVICES): PeerCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    host: `h${index}`,
    dataCenter: `d${Math.floor(index / services.length) % 4}`,
    service: services[index % services.length] ?? '',
  }));
}

function chooseFor(
  self: PeerCandidate,
  members: readonly PeerCandidate[],
  down: ReadonlySet<string> = new Set(),
): string[] {
  return [...choosePeers({ self, members, isUsable: (host) => !down.has(host), isUsed: () => true })];
}

describe('peer choice', () => {
  it('should link every host of a small deployment', () => {
    const members = createMembers(16);
    for (const self of members) expect(chooseFor(self, members).length).toEqual(15);
  });

  // Guards against a number of connections and updates per node that grows with the fleet.
  it('should choose a bounded number of peers regardless of the number of hosts', () => {
    for (const count of [80, 300, 1300]) {
      const members = createMembers(count);
      const sizes = members.slice(0, 40).map((self) => chooseFor(self, members).length);
      expect(Math.max(...sizes) <= 4 * 10).toEqual(true);
    }
  });

  it('should choose each host at a similar number of nodes', () => {
    const members = createMembers(400);
    const links = new Map<string, number>();
    for (const self of members)
      for (const host of chooseFor(self, members)) links.set(host, (links.get(host) ?? 0) + 1);
    const counts = members.map(({ host }) => links.get(host) ?? 0);
    expect(Math.min(...counts) >= 15 && Math.max(...counts) <= 75).toEqual(true);
  });

  it('should choose most peers in the local data centre and some in others', () => {
    const members = createMembers(400);
    const [self] = members as [PeerCandidate];
    const byHost = new Map(members.map((member) => [member.host, member]));
    const local = chooseFor(self, members).filter((host) => byHost.get(host)?.dataCenter === self.dataCenter);
    expect(local.length).toEqual(4 * 6);
  });

  it('should add replacements for unusable hosts and keep all other peers', () => {
    const members = createMembers(400);
    const [self] = members as [PeerCandidate];
    const before = chooseFor(self, members);
    const down = new Set(before.slice(0, 3));
    const after = chooseFor(self, members, down);
    expect(after.filter((host) => !down.has(host)).length).toEqual(before.length);
    expect(before.every((host) => after.includes(host))).toEqual(true);
  });

  it('should keep few links to services that are not used', () => {
    const services = Array.from({ length: 200 }, (_, index) => `s${index}`);
    const members = createMembers(1300 * 2, services);
    const [self] = members as [PeerCandidate];
    const chosen = choosePeers({ self, members, isUsable: () => true, isUsed: (service) => service === 's7' });
    expect(chosen.size <= 200 * 2 + 10).toEqual(true);
  });
});
