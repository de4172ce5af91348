import { describe, it } from 'node:test';
import { expect } from 'earl';
import { buildRoute, buildRouteConfiguration, createRequestFleet, getTarget } from '../fixtures/requestFleet.js';
import type { FleetHost, RequestFleet } from '../fixtures/requestFleet.js';

const hosts: FleetHost[] = [
  { host: 'a1', dataCenter: 'd1', service: 'orders' },
  { host: 'a2', dataCenter: 'd1', service: 'stock', slots: 2 },
  { host: 'b2', dataCenter: 'd2', service: 'stock' },
];
const configuration = buildRouteConfiguration(1, [buildRoute('check', 'stock')]);

/** Lets the target of `a2` say in an answer that it leaves, and returns the number of requests that it got until then. */
function announceLeaving(fleet: RequestFleet): number {
  const target = getTarget(fleet, 'a2');
  target.isLeaving = true;
  sendToAll(fleet, 5);
  fleet.clock.advance(100);
  return target.arrivedAtMs.length;
}

function sendToAll(fleet: RequestFleet, count: number): void {
  for (let index = 0; index < count; index++) {
    for (const host of fleet.nodes.keys()) fleet.send(host);
    fleet.clock.advance(20);
  }
}

describe('a target that says in its answers that it leaves', () => {
  // Guards against requests that go on until a heartbeat says what an answer has said already.
  it('should get no further request from any node, though its heartbeats say that it is ready', () => {
    const fleet = createRequestFleet({ hosts, configuration });
    const before = announceLeaving(fleet);
    expect(before > 0).toEqual(true);
    sendToAll(fleet, 100);
    fleet.sendHeartbeat('a2', { state: 'ready' });
    sendToAll(fleet, 50);
    expect(getTarget(fleet, 'a2').arrivedAtMs.length).toEqual(before);
  });

  it('should get none of the requests that waited for it, which another target runs', () => {
    const fleet = createRequestFleet({ hosts, configuration });
    const target = getTarget(fleet, 'a2');
    target.isLeaving = true;
    const sent = Array.from({ length: 12 }, () => fleet.send('a2'));
    fleet.clock.advance(500);
    expect(target.arrivedAtMs.length <= 2).toEqual(true);
    expect(sent.filter(({ answer }) => answer?.status === 200).length).toEqual(12);
  });

  for (const away of ['store', 'peers'] as const) {
    it(`should get none after a restart of its node, the ${away} away`, () => {
      const fleet = createRequestFleet({ hosts, configuration });
      const before = announceLeaving(fleet);
      if (away === 'store') fleet.store.blockedHosts.add('*');
      fleet.killNode('a2');
      if (away === 'peers') for (const host of ['a1', 'b2']) fleet.killNode(host);
      fleet.startNode('a2');
      for (let beat = 0; beat < 3; beat++) fleet.sendHeartbeat('a2', { state: 'ready' });
      sendToAll(fleet, 50);
      expect(getTarget(fleet, 'a2').arrivedAtMs.length).toEqual(before);
    });
  }

  it('should be used again after a new start', () => {
    const fleet = createRequestFleet({ hosts, configuration });
    const before = announceLeaving(fleet);
    Object.assign(getTarget(fleet, 'a2'), { startedAtMs: 1_600_000_900_000, sequence: 0, isLeaving: false });
    fleet.sendHeartbeat('a2');
    sendToAll(fleet, 20);
    expect(getTarget(fleet, 'a2').arrivedAtMs.length > before).toEqual(true);
  });
});
