import { describe, it } from 'node:test';
import { expect } from 'earl';
import { findReaderPlace } from '../../src/policy/storeReaders.js';
import type { RouteConfiguration } from '../../src/schema/routeConfiguration.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';
import type { FleetHost, RequestFleet } from '../fixtures/requestFleet.js';

/** Time within which a configuration must be in force, and the same while the store is disturbed (ms). */
const APPLY_MS = 2500;
const REVOKE_MS = 5000;

/** Builds a version with the given keys. */
function buildVersion(version: number, keys: string[]): RouteConfiguration {
  const routes = [buildRoute('check', 'stock')];
  return { ...buildRouteConfiguration(version, routes), organisations: [{ name: 'acme', keys }] };
}

const first = buildVersion(1, ['k-old', 'k-kept']);
const second = buildVersion(2, ['k-new', 'k-kept']);

const few: FleetHost[] = [
  { host: 'a1', dataCenter: 'd1', service: 'orders' },
  { host: 'a2', dataCenter: 'd1', service: 'stock' },
  { host: 'a3', dataCenter: 'd1', service: 'stock' },
];

/** Builds so many hosts that only some of them read the store. */
function buildMany(dataCenters: number): FleetHost[] {
  return Array.from({ length: 30 }, (_, index) => ({
    host: `h${index}`,
    dataCenter: `d${index % dataCenters}`,
    service: ['stock', 'orders', 'slots'][Math.floor(index / dataCenters) % 3] ?? '',
  }));
}

function createFleet(hosts: readonly FleetHost[]): RequestFleet {
  return createRequestFleet({
    hosts,
    configuration: first,
    settleMs: 8000,
    bounds: { configurationApplyMs: APPLY_MS },
  });
}

/** Lists the hosts that usually read the store. */
function listReaders(hosts: readonly FleetHost[]): string[] {
  const isReader = (self: FleetHost): boolean => {
    const others = hosts.filter(({ host }) => host !== self.host);
    const members = new Map(others.map((member) => [member.host, member]));
    return findReaderPlace({ self, members, isSilent: () => false }) !== undefined;
  };
  return hosts.filter(isReader).map(({ host }) => host);
}

/** Sends a request with a key to each node; returns the hosts at which it was accepted. */
function listAccepting(fleet: RequestFleet, key: string): string[] {
  const sent = [...fleet.nodes.keys()].map((host) => ({ host, request: fleet.send(host, { key }) }));
  fleet.clock.advance(300);
  return sent
    .filter(({ request: { answer, refusal } }) => answer !== undefined && refusal === undefined)
    .map(({ host }) => host);
}

function countUnauthorized(fleet: RequestFleet, key: string): number {
  return [...fleet.nodes.keys()].filter((host) => fleet.send(host, { key }).refusal?.kind === 'unauthorized').length;
}

function checkWithdrawn(fleet: RequestFleet): void {
  expect(listAccepting(fleet, 'k-old')).toEqual([]);
  expect(countUnauthorized(fleet, 'k-old')).toEqual(fleet.nodes.size);
  expect(listAccepting(fleet, 'k-new').length).toEqual(fleet.nodes.size);
  expect(listAccepting(fleet, 'k-kept').length).toEqual(fleet.nodes.size);
}

describe('a withdrawn key', () => {
  // Guards against a key that is looked up once for a connection: the requests of one connection differ only in time.
  it('should be refused for the next request, while a request that runs is answered', () => {
    const fleet = createFleet(few);
    const running = fleet.send('a1', { key: 'k-old' });
    fleet.clock.advance(5);
    fleet.store.publish(second);
    fleet.clock.advance(100);
    expect(running.answer?.status).toEqual(200);
    checkWithdrawn(fleet);
  });

  it('should be refused on all hosts of a large fleet in time', () => {
    const fleet = createFleet(buildMany(3));
    fleet.store.publish(second);
    fleet.clock.advance(APPLY_MS);
    checkWithdrawn(fleet);
  });

  it('should be refused on hosts that the store turns away', () => {
    const fleet = createFleet(buildMany(3));
    for (const host of ['h3', 'h7', 'h14', 'h21', 'h28']) fleet.store.blockedHosts.add(host);
    fleet.store.publish(second);
    fleet.clock.advance(APPLY_MS);
    checkWithdrawn(fleet);
  });

  // Guards against a change that nobody reads, since the usual readers are turned away and still alive.
  for (const dataCenters of [1, 3]) {
    for (const blockedMs of [20_000, 0]) {
      it(`should be refused when the usual readers of ${dataCenters} data centres were turned away ${blockedMs} ms before`, () => {
        const hosts = buildMany(dataCenters);
        const fleet = createFleet(hosts);
        const readers = listReaders(hosts);
        expect(readers.length).toEqual(3 * dataCenters);
        for (const host of readers) fleet.store.blockedHosts.add(host);
        fleet.clock.advance(blockedMs);
        fleet.store.publish(second);
        fleet.clock.advance(REVOKE_MS);
        checkWithdrawn(fleet);
        const lines = fleet.lines.filter(({ outcome }) => outcome.startsWith('reads itself'));
        expect(lines.length).toBeGreaterThan(0);
      });
    }
  }

  it('should be refused after a restart', () => {
    const fleet = createFleet(few);
    fleet.store.publish(second);
    fleet.clock.advance(APPLY_MS);
    for (const { host } of few) {
      fleet.killNode(host);
      fleet.clock.advance(200);
      fleet.startNode(host);
      fleet.clock.advance(2000);
    }
    checkWithdrawn(fleet);
  });

  it('should be refused after a restart of a host that the store turns away', () => {
    const fleet = createFleet(few);
    fleet.store.blockedHosts.add('a1');
    fleet.store.publish(second);
    fleet.clock.advance(APPLY_MS);
    fleet.killNode('a1');
    fleet.startNode('a1');
    fleet.clock.advance(1500);
    checkWithdrawn(fleet);
  });

  // Guards against a restarted process that goes by an older record of the store until it hears of the newer one.
  it('should not be accepted for a moment after a restart although the store has an older version than the peers', () => {
    const fleet = createFleet(few);
    fleet.store.publish(second);
    fleet.clock.advance(APPLY_MS);
    fleet.store.publish(first);
    fleet.clock.advance(100);
    fleet.killNode('a1');
    fleet.startNode('a1');
    for (let step = 0; step < 200; step++) {
      fleet.clock.advance(10);
      const sent = fleet.send('a1', { key: 'k-old' });
      expect(['noConfiguration', 'unauthorized']).toInclude(sent.refusal?.kind ?? 'accepted');
    }
    checkWithdrawn(fleet);
  });

  it('should be refused while hosts stop and restart one after the other', () => {
    const hosts = buildMany(3);
    const fleet = createFleet(hosts);
    const readers = listReaders(hosts);
    const order = [...readers, ...hosts.map(({ host }) => host).filter((host) => !readers.includes(host))];
    let publishedAtMs = Infinity;
    order.slice(0, 16).forEach((host, index) => {
      fleet.nodes.get(host)?.stop(() => undefined);
      if (index === 3) {
        fleet.store.publish(second);
        publishedAtMs = fleet.clock.now();
      }
      fleet.clock.advance(400);
      fleet.killNode(host);
      fleet.clock.advance(100);
      fleet.startNode(host);
      fleet.clock.advance(100);
      if (fleet.clock.now() - publishedAtMs < APPLY_MS) return;
      const accepting = [...fleet.nodes.keys()].filter(
        (name) => fleet.send(name, { key: 'k-old' }).refusal === undefined,
      );
      expect(accepting).toEqual([]);
    });
    fleet.clock.advance(3000);
    checkWithdrawn(fleet);
  });

  it('should be refused by a host that stops', () => {
    const fleet = createFleet(few);
    fleet.nodes.get('a1')?.stop(() => undefined);
    fleet.store.publish(second);
    fleet.clock.advance(100);
    expect(fleet.send('a1', { key: 'k-old' }).refusal?.kind).toEqual('unauthorized');
    const sent = fleet.send('a1', { key: 'k-new' });
    fleet.clock.advance(100);
    expect(sent.answer?.status).toEqual(200);
  });

  it('should not come back with an older version from the store or a peer', () => {
    const fleet = createFleet(few);
    fleet.store.publish(second);
    fleet.clock.advance(APPLY_MS);
    fleet.store.publish(first);
    fleet.nodes.get('a2')?.board.post('routes', { configuration: first, source: 'a1' });
    fleet.clock.advance(APPLY_MS);
    checkWithdrawn(fleet);
  });
});
