import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createEmptyProfile, createUnknownLoad } from '../../src/control/requests/sections.js';
import type { NodeView } from '../../src/policy/fleetDemand.js';
import { findParentRun } from '../../src/policy/parentRun.js';
import { computeServiceChances } from '../../src/policy/servedShare.js';
import { createTreeChanceEstimator } from '../../src/policy/treeChance.js';
import { limitWaste } from '../../src/policy/wasteLimit.js';
import type { TreeDemand } from '../../src/policy/wasteLimit.js';
import type { LoadReport } from '../../src/schema/linkFrame.js';
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

  // Guards against runs spent on trees whose calls a service rejects: 65 to 70% of all runs were wasted.
  it('should waste few runs while it rejects half of its requests, and return soon after it recovers', () => {
    const { load } = createLoad();
    load.send(calmDemand, 6000);
    load.rejectedShares.set('rolls', 0.55);
    load.send(calmDemand, 1500, { settleMs: 0 });
    load.resetCounts();
    const rejected = load.send(calmDemand, 4000, { settleMs: 500 });
    expect(computeWastedShare(load) < 0.1).toEqual(true);
    expect(computeCompletedShare(rejected.get('query')) > 0.4).toEqual(true);
    expect(computeCompletedShare(rejected.get('page')) > 0.97).toEqual(true);
    expect(computeCompletedShare(rejected.get('order')) >= computeCompletedShare(rejected.get('lookup'))).toEqual(true);

    load.rejectedShares.clear();
    load.send(calmDemand, 1500, { settleMs: 0 });
    const recovered = load.send(calmDemand, 2000);
    for (const route of Object.keys(calmDemand)) {
      expect(computeCompletedShare(recovered.get(route)) > 0.97).toEqual(true);
    }
  });
});

describe('calls of running requests', () => {
  // Guards against trees that wait behind new requests for their last calls: a quarter of the orders completed.
  it('should take over the urgency of their request at any depth and go before new requests', () => {
    const { fleet, load } = createLoad();
    load.send(calmDemand, 6000);
    const firstSend = fleet.sends.length;
    const overload = { lookup: 240, order: 120, query: 480 };
    const sent = load.send(overload, 2000);
    expect(computeCompletedShare(sent.get('order')) > 0.85).toEqual(true);
    expect(computeCompletedShare(sent.get('query')) < 0.6).toEqual(true);

    const sends = fleet.sends.slice(firstSend).map(({ request }) => request);
    const treesOfOrders = new Set(sends.filter(({ route }) => route === 'order').map(({ path }) => path.split('/')[2]));
    const rollsOfOrders = sends.filter(({ route, path }) => route === 'roll' && treesOfOrders.has(path.split('/')[2]));
    expect(rollsOfOrders.length > 400).toEqual(true);
    const inherited = rollsOfOrders.filter(({ priority, isStarted }) => priority === 0 && isStarted === true);
    expect(inherited.length / rollsOfOrders.length > 0.95).toEqual(true);
    // Requests of clients are never taken for calls.
    const queries = sends.filter(({ route }) => route === 'query');
    expect(queries.some(({ priority, isStarted }) => priority !== 1 || isStarted === true)).toEqual(false);
  });

  const callers = { routes: new Set(['scan']), callShare: 1 };
  const runs = [
    { route: 'scan', priority: 2, deadlineAtMs: 1800 },
    { route: 'scan', priority: 0, deadlineAtMs: 1500 },
    { route: 'page', priority: 0, deadlineAtMs: 1800 },
  ];

  it('should belong to the run with the same time left', () => {
    const parent = findParentRun({ runs, callers, timeLeftMs: 802, nowMs: 1000 });
    expect(parent?.priority).toEqual(2);
  });

  it('should belong to the most urgent run with enough time if their time tells nothing', () => {
    expect(findParentRun({ runs, callers, timeLeftMs: 300, nowMs: 1000 })?.priority).toEqual(0);
    expect(findParentRun({ runs, callers, timeLeftMs: 700, nowMs: 1000 })?.priority).toEqual(2);
  });

  // Guards against callers of a route that are never found because other callers are already known.
  it('should be searched for among all runs, each observed once with the time that the request has more', () => {
    const observed: [string, number][] = [];
    findParentRun({
      runs,
      callers,
      timeLeftMs: 802,
      nowMs: 1000,
      observeRun: ({ route }, excessMs) => observed.push([route, excessMs]),
    });
    expect(observed).toEqual([
      ['scan', 2],
      ['scan', 302],
      ['page', 2],
    ]);
  });

  // Guards against clients that get ahead of others with requests to a route that targets call, too.
  it('should not include requests without such a match to a route that clients use most', () => {
    const shared = { ...callers, callShare: 0.3 };
    expect(findParentRun({ runs, callers: shared, timeLeftMs: 300, nowMs: 1000 })).toEqual(undefined);
    expect(findParentRun({ runs, callers: shared, timeLeftMs: 500, nowMs: 1000 })?.priority).toEqual(0);
    expect(findParentRun({ runs: [], callers, timeLeftMs: 300, nowMs: 1000 })).toEqual(undefined);
  });
});

describe('the chance of requests at a service', () => {
  const buildView = (change: Partial<LoadReport>): NodeView => ({
    load: { ...createUnknownLoad(), phase: 'ready', service: 'rolls', limit: 10, ...change },
    profile: createEmptyProfile(),
    weight: 1,
  });

  // Guards against limits after single failures.
  it('should not fall for a few failures by chance', () => {
    const views = [buildView({ unservedShare: 0.07, failureShare: 0.07 }), buildView({}), buildView({})];
    expect(computeServiceChances(views, 0.06).get('rolls')).toEqual({ served: 1, succeeded: 1 });
  });

  it('should be that of the targets which serve, since fewer requests are sent to the others', () => {
    const lossy = buildView({ unservedShare: 0.95, failureShare: 0.95 });
    const views = [lossy, buildView({}), buildView({}), buildView({})];
    expect((computeServiceChances(views, 0.06).get('rolls')?.served ?? 0) > 0.98).toEqual(true);
    expect((computeServiceChances([lossy, lossy], 0.06).get('rolls')?.served ?? 1) < 0.2).toEqual(true);
  });

  it('should count once for each call of a tree', () => {
    const computeChance = createTreeChanceEstimator({
      listParts: (route) => [{ service: route === 'roll' ? 'rolls' : 'index', share: 1 }],
      listCalls: (_, route) => (route === 'lookup' ? [{ called: 'roll', perRun: 4 }] : []),
      getChance: (service) => (service === 'rolls' ? { served: 0.5, succeeded: 1 } : undefined),
    });
    const { whole, runs, weakest } = computeChance('lookup');
    expect([whole, runs, weakest]).toEqual([0.0625, 5, { service: 'rolls', share: 0.5 }]);
  });
});

describe('the limit of wasted runs', () => {
  const lossy = { service: 'rolls', share: 0.5 };
  const buildTree = (route: string, priority: number, whole: number): TreeDemand => ({
    route,
    priority,
    perSecond: 100,
    variance: 0,
    work: new Map(),
    chance: { served: 1, whole, succeeded: whole, runs: 5, weakest: lossy },
  });
  const query: TreeDemand = {
    ...buildTree('query', 1, 0.5),
    chance: { served: 0.5, whole: 0.5, succeeded: 0.5, runs: 1, weakest: lossy },
  };

  it('should admit the most urgent trees first with what other requests leave', () => {
    const limits = limitWaste([buildTree('lookup', 1, 0.15), buildTree('order', 0, 0.15), query], new Map());
    const [order = 1, lookup = 1, direct = 1] = ['order', 'lookup', 'query'].map((kind) => limits.get(kind));
    expect(order > lookup).toEqual(true);
    expect(lookup < 0.01).toEqual(true);
    expect(direct).toEqual(1);
    const wasted = 0.85 * 5 * 100 * (order + lookup);
    expect(wasted <= 0.1 * (5 * 100 * (order + lookup) + 50) + 1).toEqual(true);
  });

  it('should keep a larger probe where no other requests show that the service serves again', () => {
    expect(limitWaste([buildTree('order', 0, 0.05)], new Map()).get('order')).toEqual(0.03);
  });

  // Guards against refusing most callers of requests that often finish: a service that fails some calls does not fail fewer then.
  it('should not limit trees that finish one time in five or more often', () => {
    expect(limitWaste([buildTree('order', 0, 0.2), buildTree('lookup', 1, 0.7), query], new Map()).size).toEqual(0);
  });

  it('should not limit trees of which nine in ten finish, and raise a former limit in steps', () => {
    expect(limitWaste([buildTree('order', 0, 0.92)], new Map()).size).toEqual(0);
    expect(limitWaste([buildTree('order', 0, 1)], new Map([['order', 0.03]])).get('order')).toEqual(0.125);
    expect(limitWaste([buildTree('order', 0, 1)], new Map([['order', 0.3]])).get('order')).toEqual(0.6);
  });
});
