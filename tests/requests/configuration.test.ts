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
  it('should be applied by all nodes within 100 ms of being published', () => {
    const fleet = createRequestFleet({ hosts, configuration: first });
    fleet.store.publish(second);
    fleet.clock.advance(100);
    expect(readVersions(fleet)).toEqual([5, 5]);
  });

  it('should never be replaced by an older version', () => {
    const fleet = createRequestFleet({ hosts, configuration: second });
    fleet.store.publish(first);
    fleet.clock.advance(1000);
    expect(readVersions(fleet)).toEqual([5, 5]);
  });

  it('should be read again after the store compacted its history', () => {
    const fleet = createRequestFleet({ hosts, configuration: first });
    fleet.store.blockedHosts.add('*');
    fleet.clock.advance(26_000);
    fleet.store.publish(second);
    fleet.store.compact();
    fleet.store.blockedHosts.clear();
    fleet.clock.advance(2000);
    expect(readVersions(fleet)).toEqual([5, 5]);
  });

  it('should reach a node without access to the store through its peers', () => {
    const fleet = createRequestFleet({ hosts, configuration: first });
    fleet.store.blockedHosts.add('a2');
    fleet.store.publish(second);
    fleet.clock.advance(1500);
    expect(readVersions(fleet)).toEqual([5, 5]);
  });

  it('should reach a node that starts while the store is unavailable through its peers', () => {
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

  it('should be named in the log of a request by the version with which its route was chosen', () => {
    const fleet = createRequestFleet({ hosts, configuration: first });
    fleet.send('a1');
    fleet.clock.advance(8);
    fleet.store.publish(second);
    fleet.clock.advance(300);
    const line = fleet.lines.find(({ kind }) => kind === 'requestEnded');
    expect([line?.inputs?.configuration, line?.inputs?.configurationAtEnd]).toEqual([1, 5]);
  });

  it('should be reported as missing at a node that pulls it from a peer', () => {
    const fleet = createRequestFleet({ hosts, configuration: first });
    fleet.store.blockedHosts.add('a2');
    fleet.store.publish(second);
    fleet.clock.advance(1500);
    const line = fleet.lines.find(({ kind }) => kind === 'configurationBehind');
    expect([line?.host, line?.inputs?.peerVersion, line?.inputs?.version]).toEqual(['a2', 5, 1]);
  });

  it('should be ignored and logged when it is invalid', () => {
    const fleet = createRequestFleet({ hosts, configuration: first });
    fleet.store.publish({ ...second, routes: 'all' });
    fleet.clock.advance(300);
    expect(readVersions(fleet)).toEqual([1, 1]);
    expect(fleet.lines.some(({ kind }) => kind === 'configurationIgnored')).toEqual(true);
  });

  // Guards against reads that wait on connections which went silent without a reset, so that no node hears of a change.
  it('should be in force everywhere 3 s after all connections to the store went silent', () => {
    const fleet = createRequestFleet({ hosts, configuration: first });
    fleet.store.silenceOpenReads();
    fleet.clock.advance(1000);
    fleet.store.publish(second);
    fleet.clock.advance(2000);
    expect(readVersions(fleet)).toEqual([5, 5]);
  });

  // Guards against reads without a pause when a change is to be in force at once.
  it('should be read no more than a few times a second, however short its bound is', () => {
    const fleet = createRequestFleet({ hosts, configuration: first, bounds: { configurationApplyMs: 0 } });
    const before = fleet.store.calls.reads;
    fleet.clock.advance(10_000);
    expect(fleet.store.calls.reads - before <= 2 * 2 * 10 + 4).toEqual(true);
  });

  it('should be required for a node to be ready; without one, requests are refused with a retry time', () => {
    const fleet = createRequestFleet({ hosts });
    const sent = fleet.send('a1');
    expect([sent.refusal?.kind, sent.refusal?.retryAfterMs !== undefined]).toEqual(['noConfiguration', true]);
    expect(fleet.nodes.get('a1')?.board.read('node').phase).toEqual('starting');
  });
});
