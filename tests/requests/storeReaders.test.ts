import { describe, it } from 'node:test';
import { expect } from 'earl';
import { findReaderPlace } from '../../src/policy/storeReaders.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';
import type { FleetHost, RequestFleet } from '../fixtures/requestFleet.js';

const dataCenters = ['d1', 'd2', 'd3'];
const services = ['orders', 'stock'];
const buildConfiguration = (version: number): ReturnType<typeof buildRouteConfiguration> =>
  buildRouteConfiguration(version, [buildRoute('check', 'stock')]);

function buildHosts(count: number): FleetHost[] {
  return Array.from({ length: count }, (_, index) => ({
    host: `h${index}`,
    dataCenter: dataCenters[index % dataCenters.length] ?? '',
    service: services[Math.floor(index / dataCenters.length) % services.length] ?? '',
  }));
}

function createLargeFleet(hosts: readonly FleetHost[]): RequestFleet {
  return createRequestFleet({ hosts, configuration: buildConfiguration(1), settleMs: 9000 });
}

/** Lists the hosts that wait for changes at the store when no host is silent. */
function listReaders(hosts: readonly FleetHost[]): string[] {
  return hosts
    .filter((self) => {
      const members = new Map(hosts.filter(({ host }) => host !== self.host).map((member) => [member.host, member]));
      return findReaderPlace({ self, members, isSilent: () => false }) !== undefined;
    })
    .map(({ host }) => host);
}

function countNodesAtVersion(fleet: RequestFleet, version: number): number {
  return [...fleet.nodes.values()].filter(({ board }) => board.read('routes').version === version).length;
}

/** Publishes a configuration and returns the reads that it caused within two seconds. */
function countReadsOfChange(count: number): number {
  const fleet = createLargeFleet(buildHosts(count));
  const before = fleet.store.calls.reads;
  fleet.store.publish(buildConfiguration(2));
  fleet.clock.advance(2000);
  expect(countNodesAtVersion(fleet, 2)).toEqual(count);
  return fleet.store.calls.reads - before;
}

describe('the readers of the store', () => {
  it('should be three in each data centre of a large fleet, and all nodes of a small one', () => {
    const hosts = buildHosts(60);
    const readers = listReaders(hosts);
    const perDataCenter = dataCenters.map(
      (name) => hosts.filter(({ host, dataCenter }) => dataCenter === name && readers.includes(host)).length,
    );
    expect(perDataCenter).toEqual([3, 3, 3]);
    expect(listReaders(buildHosts(16)).length).toEqual(16);
  });

  it('should be replaced when nothing is heard from them', () => {
    const hosts = buildHosts(60).filter(({ dataCenter }) => dataCenter === 'd1');
    const all = [...hosts, ...buildHosts(60).filter(({ dataCenter }) => dataCenter !== 'd1')];
    const silent = new Set(listReaders(all));
    const next = hosts.filter((self) => {
      const members = new Map(all.filter(({ host }) => host !== self.host).map((member) => [member.host, member]));
      const place = findReaderPlace({ self, members, isSilent: (host) => silent.has(host) });
      return !silent.has(self.host) && place !== undefined;
    });
    expect(next.length).toEqual(3);
  });

  // Guards against store calls per change that grow with the fleet: before, each node read each change.
  it('should keep the number of store reads per change independent of the number of hosts', () => {
    const [reads48, reads96] = [countReadsOfChange(48), countReadsOfChange(96)];
    expect(reads48 <= 24).toEqual(true);
    expect(reads96 <= 24).toEqual(true);
  });

  // Guards against a start whose calls grow with the square of the number of nodes.
  it('should keep the calls of a whole start to a few per node', () => {
    const { store } = createLargeFleet(buildHosts(96));
    expect((store.calls.reads + store.calls.writes) / 96 < 7).toEqual(true);
  });

  // Guards against a configuration that reaches no node because the few readers were lost when it was published.
  it('should not be needed for a configuration to reach all nodes within its bound', () => {
    const hosts = buildHosts(60);
    const fleet = createLargeFleet(hosts);
    const readers = listReaders(hosts);
    for (const host of readers) fleet.killNode(host);
    fleet.store.publish(buildConfiguration(2));
    fleet.clock.advance(2000);
    expect(countNodesAtVersion(fleet, 2)).toEqual(60 - readers.length);
  });

  // Guards against readers of a large fleet that all wait on connections which went silent.
  it('should read again when their connections to the store went silent', () => {
    const fleet = createLargeFleet(buildHosts(60));
    fleet.store.silenceOpenReads();
    fleet.clock.advance(1000);
    fleet.store.publish(buildConfiguration(2));
    fleet.clock.advance(2000);
    expect(countNodesAtVersion(fleet, 2)).toEqual(60);
  });

  // Guards against a store that is down or overloaded getting reads from all nodes at once.
  it('should keep the reads of a large fleet few while the store turns all nodes away', () => {
    const fleet = createLargeFleet(buildHosts(90));
    fleet.store.blockedHosts.add('*');
    fleet.clock.advance(5000);
    const before = fleet.store.calls.reads;
    fleet.clock.advance(10_000);
    // 20 a second for each data centre, and those of the readers.
    expect(fleet.store.calls.reads - before).toBeLessThanOrEqual(10 * (3 * 20 + 9 * 3));
  });

  // Guards against nodes without requests that wait for news on links which went silent with the connections to the store.
  it('should reach idle nodes over new links when all connections went silent', () => {
    const hosts = buildHosts(60);
    const fleet = createLargeFleet(hosts);
    fleet.store.silenceOpenReads();
    for (const left of hosts) for (const right of hosts) fleet.links.discardFrames(left.host, right.host);
    fleet.clock.advance(1000);
    fleet.store.publish(buildConfiguration(2));
    fleet.clock.advance(2000);
    expect(countNodesAtVersion(fleet, 2)).toEqual(60);
  });

  it('should be supported by those of other data centres when the store turns them away', () => {
    const hosts = buildHosts(60);
    const fleet = createLargeFleet(hosts);
    for (const host of listReaders(hosts)) {
      if (hosts.find((entry) => entry.host === host)?.dataCenter !== 'd3') fleet.store.blockedHosts.add(host);
    }
    fleet.store.publish(buildConfiguration(2));
    fleet.clock.advance(2000);
    expect(countNodesAtVersion(fleet, 2)).toEqual(60);
  });

  // Guards against hosts that stay unknown to nodes without an open read at the store.
  it('should make a joining host known to all nodes', () => {
    const hosts = buildHosts(61);
    const fleet = createRequestFleet({
      hosts: hosts.slice(0, 60),
      configuration: buildConfiguration(1),
      settleMs: 9000,
    });
    const joining = { host: 'h60', dataCenter: 'd1', service: 'stock', linkListen: '10.0.1.9:7000' };
    fleet.startNode(joining.host, joining);
    fleet.clock.advance(8000);
    const informed = [...fleet.nodes.values()].filter(({ board }) => board.read('members').byHost.has('h60'));
    expect(informed.length).toEqual(60);
  });

  // Guards against a new process that takes the few records which a reader passes on for the whole list, and so believes to
  // know what its predecessor acknowledged.
  it('should pass on records that do not count as the complete list', () => {
    const fleet = createRequestFleet({ hosts: [], sendsHeartbeats: false });
    fleet.store.blockedHosts.add('*');
    const node = fleet.startNode('a1');
    const link = node.acceptLink({ send: () => undefined, bufferedBytes: 0, close: () => undefined });
    const buildMember = (host: string, port: number) => ({
      host,
      dataCenter: 'd1',
      region: 'r1',
      service: 'stock',
      linkAddress: `10.0.2.1:${port}`,
      incarnation: host,
      startedAtMs: 1,
      revision: 0,
    });
    link.receive({ type: 'hello', to: 'a1', member: buildMember('b1', 1), lane: 'routine', pending: [] });
    const members = [buildMember('b2', 2), buildMember('b3', 3)];
    link.receive({ type: 'members', members, isComplete: false });
    const { byHost, isComplete } = node.board.read('members');
    expect([byHost.size, isComplete]).toEqual([3, false]);
  });
});
