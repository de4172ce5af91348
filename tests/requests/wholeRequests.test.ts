import { describe, it } from 'node:test';
import { expect } from 'earl';
import { computeCompletedShare, computeWastedShare, createCallLoad } from '../fixtures/callLoad.js';
import type { CallLoad } from '../fixtures/callLoad.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';
import type { FleetHost, RequestFleet } from '../fixtures/requestFleet.js';

const hosts: FleetHost[] = [
  ...['i1', 'i2', 'i3'].map((host) => ({ host, dataCenter: 'd1', service: 'index', slots: 51 })),
  ...['c1', 'c2'].map((host) => ({ host, dataCenter: 'd1', service: 'certificates', slots: 72 })),
  ...['l1', 'l2'].map((host) => ({ host, dataCenter: 'd1', service: 'ledger', slots: 60 })),
  ...['s1', 's2'].map((host) => ({ host, dataCenter: 'd1', service: 'scans', slots: 60 })),
  ...['r1', 'r2'].map((host) => ({ host, dataCenter: 'd1', service: 'rolls', slots: 11 })),
];
const rolls = ['roll', 'roll', 'roll', 'roll'];
const plans = {
  lookup: { workMs: 20, calls: ['ledger'] },
  ledger: { workMs: 15, calls: ['scan'] },
  scan: { workMs: 15, calls: rolls },
  order: { workMs: 20, calls: ['scan'] },
  roll: { workMs: 20, calls: [] },
  query: { workMs: 20, calls: [] },
  page: { workMs: 40, calls: [] },
};
const routes = [
  buildRoute('lookup', 'index', { priority: 1, targetLatencyMs: 1500, timeoutMs: 1500 }),
  buildRoute('ledger', 'ledger', { priority: 1, targetLatencyMs: 300, timeoutMs: 1000 }),
  buildRoute('scan', 'scans', { priority: 1, targetLatencyMs: 300, timeoutMs: 1000 }),
  buildRoute('order', 'certificates', { priority: 0, targetLatencyMs: 1500, timeoutMs: 1500, isIdempotent: false }),
  buildRoute('roll', 'rolls', { priority: 1, targetLatencyMs: 300, timeoutMs: 700 }),
  buildRoute('query', 'rolls', { priority: 1, targetLatencyMs: 300, timeoutMs: 700 }),
  buildRoute('page', 'ledger', { priority: 2, targetLatencyMs: 800, timeoutMs: 1500 }),
];

function createLoad(): { fleet: RequestFleet; load: CallLoad } {
  const fleet = createRequestFleet({ hosts, configuration: buildRouteConfiguration(1, routes) });
  return {
    fleet,
    load: createCallLoad(
      fleet,
      plans,
      hosts.map(({ host }) => host),
    ),
  };
}

/** The rolls run 20 requests of 20 ms at once: 1,000 a second. This demand takes two thirds of it. */
const calmDemand = { lookup: 80, order: 40, query: 160, page: 40 };

describe('requests whose calls end at a small service', () => {
  // Guards against limits that hold back a fleet with room.
  it('should all complete while that service has room', () => {
    const { fleet, load } = createLoad();
    load.send(calmDemand, 4000);
    load.resetCounts();
    const sent = load.send(calmDemand, 2000);
    for (const route of Object.keys(calmDemand)) expect(computeCompletedShare(sent.get(route))).toEqual(1);
    expect(computeWastedShare(load)).toEqual(0);
    expect(fleet.nodes.get('i1')?.board.read('admission').fractions.size).toEqual(0);
  });
});
