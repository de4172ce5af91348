import { describe, it } from 'node:test';
import { expect } from 'earl';
import { computeClientDemands } from '../../src/policy/fleetDemand.js';
import { createUnknownLoad } from '../../src/control/requests/sections.js';
import { computeCompletedShare, createCallLoad } from '../fixtures/callLoad.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';

const hosts = [
  ...['e1', 'e2', 'e3'].map((host) => ({ host, dataCenter: 'd1', service: 'front' })),
  ...['s1', 's2'].map((host) => ({ host, dataCenter: 'd1', service: 'stock', slots: 11 })),
];
const routes = [buildRoute('level', 'stock', { priority: 1, targetLatencyMs: 300, timeoutMs: 700 })];
const organisations = [
  { name: 'urgent', keys: ['k-urgent'], priority: 0 },
  { name: 'small', keys: ['k-small'] },
  { name: 'big', keys: ['k-big'] },
];

describe('organisations that compete for a short service', () => {
  // The service runs 1,000 requests a second. Guards against limits by the priority of the route alone, which refuse as many
  // requests of an urgent organisation as of others, and against an organisation that gets others refused by its flood.
  it('should be admitted by the priority of the organisation, and by even parts within it', () => {
    const configuration = { ...buildRouteConfiguration(1, routes), organisations };
    const fleet = createRequestFleet({ hosts, configuration });
    const load = createCallLoad(fleet, { level: { workMs: 20, calls: [] } }, ['e1', 'e2', 'e3']);
    const names = ['urgent', 'small', 'big', 'big', 'big', 'big', 'big', 'big', 'big', 'big'];
    const getName = (index: number): string => names[index % names.length] ?? '';
    const buildChange = (_route: string, index: number): { key: string } => ({ key: `k-${getName(index)}` });
    load.send({ level: 1800 }, 3000, { buildChange, settleMs: 0 });
    const sent = load.send({ level: 1800 }, 2000, { buildChange }).get('level') ?? [];
    const completed = new Map(
      ['urgent', 'small', 'big'].map((name) => [
        name,
        computeCompletedShare(sent.filter((_, index) => getName(index) === name)),
      ]),
    );
    expect((completed.get('urgent') ?? 0) > 0.97).toEqual(true);
    // The small one has the priority of the big one and sends an eighth as much.
    expect((completed.get('small') ?? 0) > 0.9).toEqual(true);
    expect((completed.get('big') ?? 1) < 0.7).toEqual(true);
    const kinds = new Set(fleet.lines.map(({ inputs }) => inputs?.route));
    expect(kinds.has('level at priority 0')).toEqual(false);
  });

  it('should be a demand of their own where they replace the priority of the route', () => {
    const profile = {
      demand: [{ route: 'level', perSecond: 100 }],
      priorities: [{ route: 'level', priority: 0, perSecond: 30 }],
      calls: [],
      durations: [],
    };
    const view = { load: { ...createUnknownLoad(), phase: 'ready' as const, service: 'stock' }, profile, weight: 2 };
    const findRoute = (): { priority: number; parts: { service: string; weight: number }[] } => ({
      priority: 1,
      parts: [{ service: 'stock', weight: 1 }],
    });
    const demands = computeClientDemands([view], findRoute, new Map());
    expect(demands.map(({ kind, priority, perSecond }) => ({ kind, priority, perSecond }))).toEqual([
      { kind: 'level', priority: 1, perSecond: 140 },
      { kind: 'level at priority 0', priority: 0, perSecond: 60 },
    ]);
  });
});
