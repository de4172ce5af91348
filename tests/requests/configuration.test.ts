import { describe, it } from 'node:test';
import { expect } from 'earl';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';
import type { FleetHost, RequestFleet } from '../fixtures/requestFleet.js';

const hosts: FleetHost[] = [
  { host: 'a1', dataCenter: 'd1', service: 'orders' },
  { host: 'a2', dataCenter: 'd1', service: 'stock' },
];
const first = buildRouteConfiguration(1, [buildRoute('check', 'stock')]);
const second = buildRouteConfiguration(5, [buildRoute('check', 'orders')]);

function readVersions(fleet: RequestFleet): (number | undefined)[] {
  return ['a1', 'a2'].map((host) => fleet.nodes.get(host)?.board.read('routes').version);
}

describe('the route configuration', () => {
  it('should be in force everywhere shortly after it was published', () => {
    const fleet = createRequestFleet({ hosts, configuration: first });
    fleet.store.publish(second);
    fleet.clock.advance(100);
    expect(readVersions(fleet)).toEqual([5, 5]);
  });

  it('should never be replaced by an older one', () => {
    const fleet = createRequestFleet({ hosts, configuration: second });
    fleet.store.publish(first);
    fleet.clock.advance(1000);
    expect(readVersions(fleet)).toEqual([5, 5]);
  });

  it('should be read again when the store has deleted its history', () => {
    const fleet = createRequestFleet({ hosts, configuration: first });
    fleet.store.blockedHosts.add('*');
    fleet.clock.advance(26_000);
    fleet.store.publish(second);
    fleet.store.compact();
    fleet.store.blockedHosts.clear();
    fleet.clock.advance(2000);
    expect(readVersions(fleet)).toEqual([5, 5]);
  });

  it('should reach a node that the store turns away through its peers', () => {
    const fleet = createRequestFleet({ hosts, configuration: first });
    fleet.store.blockedHosts.add('a2');
    fleet.store.publish(second);
    fleet.clock.advance(1500);
    expect(readVersions(fleet)).toEqual([5, 5]);
  });

  it('should reach a node that starts while the store is away through its peers', () => {
    const fleet = createRequestFleet({ hosts, configuration: first });
    fleet.killNode('a2');
    fleet.store.blockedHosts.add('*');
    fleet.startNode('a2');
    fleet.clock.advance(2500);
    expect(readVersions(fleet)).toEqual([1, 1]);
    expect(fleet.nodes.get('a2')?.board.read('node').phase).toEqual('ready');
    const sent = fleet.send('a1');
    fleet.clock.advance(100);
    expect(sent.answer?.status).toEqual(200);
  });

  it('should be ignored and reported when it is not valid', () => {
    const fleet = createRequestFleet({ hosts, configuration: first });
    fleet.store.publish({ ...second, routes: 'all' });
    fleet.clock.advance(300);
    expect(readVersions(fleet)).toEqual([1, 1]);
    expect(fleet.lines.some(({ kind }) => kind === 'configurationIgnored')).toEqual(true);
  });

  it('should refuse with a time to come back while there is none, and be not ready', () => {
    const fleet = createRequestFleet({ hosts });
    const sent = fleet.send('a1');
    expect([sent.refusal?.kind, sent.refusal?.retryAfterMs !== undefined]).toEqual(['noConfiguration', true]);
    expect(fleet.nodes.get('a1')?.board.read('node').phase).toEqual('starting');
  });
});
