import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createUnknownLoad } from '../../src/control/requests/sections.js';
import { computeClientDemands } from '../../src/policy/fleetDemand.js';
import { createRunQueue } from '../../src/policy/runQueue.js';
import type { QueuedRun } from '../../src/policy/runQueue.js';
import { computeCompletedShare, createCallLoad } from '../fixtures/callLoad.js';
import { sendAnswer, startFrontEnd } from '../fixtures/frontEnd.js';
import type { FrontEnd, FrontEndOptions } from '../fixtures/frontEnd.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';
import { waitUntil } from '../fixtures/sampleFleet.js';

const hosts = [
  ...['e1', 'e2', 'e3'].map((host) => ({ host, dataCenter: 'd1', service: 'front' })),
  ...['s1', 's2'].map((host) => ({ host, dataCenter: 'd1', service: 'stock', slots: 11 })),
];
const routes = [buildRoute('level', 'stock', { priority: 1, targetLatencyMs: 300, timeoutMs: 700 })];

describe('excess requests of clients that do not wait for responses', () => {
  // The service runs 1,000 requests a second. Guards against refusals by route alone, in proportion to what each client sends.
  it('should be refused before the requests of clients that wait', () => {
    const fleet = createRequestFleet({ hosts, configuration: buildRouteConfiguration(1, routes) });
    const load = createCallLoad(fleet, { level: { workMs: 20, calls: [] } }, ['e1', 'e2', 'e3']);
    const isExcess = (index: number): boolean => index % 10 !== 0;
    const buildChange = (_route: string, index: number): { isExcess: boolean } => ({ isExcess: isExcess(index) });
    load.send({ level: 3000 }, 3000, { buildChange, settleMs: 0 });
    const sent = load.send({ level: 3000 }, 2000, { buildChange }).get('level') ?? [];
    const single = sent.filter((_, index) => !isExcess(index));
    const excess = sent.filter((_, index) => isExcess(index));
    expect(computeCompletedShare(single) > 0.97).toEqual(true);
    expect(computeCompletedShare(excess) > 0.05).toEqual(true);
    expect(computeCompletedShare(excess) < 0.4).toEqual(true);
  });

  it('should be a demand of their own behind the others of their priority', () => {
    const profile = {
      demand: [{ route: 'level', perSecond: 100 }],
      excess: [{ route: 'level', priority: 1, perSecond: 30 }],
      calls: [],
      durations: [],
    };
    const view = { load: { ...createUnknownLoad(), phase: 'ready' as const, service: 'stock' }, profile, weight: 1 };
    const demands = computeClientDemands(
      [view],
      () => ({ priority: 1, parts: [{ service: 'stock', weight: 1 }] }),
      new Map(),
    );
    expect(demands.map(({ kind, priority, perSecond }) => ({ kind, priority, perSecond }))).toEqual([
      { kind: 'level', priority: 1, perSecond: 70 },
      { kind: 'level, excess', priority: 1.5, perSecond: 30 },
    ]);
  });

  it('should wait for the target behind others of their priority, and before those of the next', () => {
    const queue = createRunQueue<QueuedRun & { name: string }>();
    const add = (name: string, priority: number, isStarted = false): void => {
      queue.add({ name, priority, isStarted, flow: '', costMs: 10, worthUntilMs: 1000, isDropped: false });
    };
    add('next', 2);
    add('excess', 1.5);
    add('call of excess', 1.5, true);
    add('new', 1);
    add('call', 1, true);
    const names = Array.from({ length: 5 }, () => queue.takeNext(0, 10)?.name);
    expect(names).toEqual(['call', 'new', 'call of excess', 'excess', 'next']);
  });
});

describe('the front end', () => {
  let frontEnd: FrontEnd | undefined;
  afterEach(() => {
    frontEnd?.stop();
  });
  const formatGet = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: h\r\ntest-id: ${path}\r\n\r\n`;
  const listExcess = (): [string, boolean][] =>
    (frontEnd?.passed ?? []).map(({ request }) => [request.path, request.isExcess]);
  async function start(options: FrontEndOptions = {}): Promise<FrontEnd> {
    frontEnd = await startFrontEnd({ isIdempotent: () => true, ...options });
    return frontEnd;
  }

  // Guards against ordinary clients that keep a connection and are taken for such that do not wait.
  it('should not mark requests that follow an answered one, also if it was answered while it was read', async () => {
    const { openClient, passed } = await start({ respond: sendAnswer });
    const client = openClient();
    for (const path of ['/a', '/b', '/c']) {
      client.socket.write(formatGet(path));
      await waitUntil(`${path} was answered`, () => client.readText().endsWith(path));
    }
    expect(passed.length).toEqual(3);
    expect(listExcess().some(([, isExcess]) => isExcess)).toEqual(false);
  });

  // Guards against clients that are let in by the number of their requests, and against clients that pipeline a few and are not.
  it('should mark the ninth and later requests that a client sends without waiting for responses', async () => {
    const { openClient, passed } = await start();
    const client = openClient();
    const paths = Array.from({ length: 11 }, (_, index) => `/${index}`);
    client.socket.write(paths.map(formatGet).join(''));
    for (let answered = 0; answered < paths.length; answered++) {
      await waitUntil(`request ${answered} was passed on`, () => passed.length > answered);
      sendAnswer(passed[answered] as (typeof passed)[number]);
    }
    await waitUntil('all were answered', () => client.readText().endsWith('/10'));
    client.socket.write(formatGet('/next'));
    await waitUntil('the next was passed on', () => passed.length === 12);
    const marked = listExcess().flatMap(([path, isExcess]) => (isExcess ? [path] : []));
    expect(marked).toEqual(['/8', '/9', '/10']);
  });
});
