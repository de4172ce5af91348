import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, generateExponential } from '../../src/core/random.js';
import { estimateSpeeds } from '../../src/policy/targetSpeed.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';
import type { FakeTarget, FleetHost, RequestFleet, SentRequest } from '../fixtures/requestFleet.js';

const entryHosts = ['e1', 'e2', 'e3', 'e4'];
const stockHosts = ['s1', 's2', 's3', 's4'];
const hosts: FleetHost[] = [
  ...entryHosts.map((host, index) => ({ host, dataCenter: `d${index + 1}`, service: 'orders' })),
  ...stockHosts.map((host, index) => ({ host, dataCenter: `d${index + 1}`, service: 'stock', slots: 32 })),
];
const WORK_MS: Record<string, number> = { level: 30, report: 480 };
const routes = [
  buildRoute('level', 'stock', { targetLatencyMs: 300, timeoutMs: 700 }),
  buildRoute('report', 'stock', { targetLatencyMs: 1200, timeoutMs: 2500 }),
];

/** Makes the target of a host work at `speed` times the normal speed. */
function setSpeed(fleet: RequestFleet, host: string, speed: number): void {
  const target = fleet.targets.get(host) as FakeTarget;
  target.respond = (send, events) => {
    target.ran.push(send.request.requestId);
    fleet.clock.schedule((WORK_MS[send.request.route] ?? 0) / speed, () => {
      events.answer({ status: 200, headers: [], body: Buffer.from('done'), isStreamed: false });
    });
    return 'handled';
  };
}

function createStockFleet(speeds: readonly number[]): RequestFleet {
  const fleet = createRequestFleet({ hosts, configuration: buildRouteConfiguration(1, routes) });
  speeds.forEach((speed, index) => {
    setSpeed(fleet, stockHosts[index] ?? '', speed);
  });
  return fleet;
}

/** Sends both routes to `stock` from all entry hosts for `forMs`; `level` at `levelsPerSecond`, `report` at 42 a second. */
function sendLoad(fleet: RequestFleet, forMs: number, levelsPerSecond: number): SentRequest[] {
  const random = createRandom(11);
  const sent: SentRequest[] = [];
  const endMs = fleet.clock.now() + forMs;
  for (const [route, perSecond] of Object.entries({ level: levelsPerSecond, report: 42 })) {
    const sendNext = (): void => {
      if (fleet.clock.now() >= endMs) return;
      const host = entryHosts[Math.floor(random() * entryHosts.length)] ?? '';
      sent.push(fleet.send(host, { path: `/${route}/1`, timeLeftMs: 2500 }));
      fleet.clock.schedule(generateExponential(random, 1000 / perSecond), sendNext);
    };
    sendNext();
  }
  fleet.clock.advance(forMs + 3000);
  return sent;
}

function countRuns(fleet: RequestFleet): number[] {
  return stockHosts.map((host) => fleet.targets.get(host)?.ran.length ?? 0);
}

/** Returns the share of the runs since `before` that each target got. */
function computeShares(fleet: RequestFleet, before: readonly number[]): number[] {
  const runs = countRuns(fleet).map((count, index) => count - (before[index] ?? 0));
  const total = runs.reduce((sum, count) => sum + count, 0);
  return runs.map((count) => count / total);
}

function computeAnsweredShare(sent: readonly SentRequest[], withinMs: number): number {
  const answered = sent.filter(
    ({ answer, sentAtMs, endedAtMs }) => answer?.status === 200 && endedAtMs - sentAtMs <= withinMs,
  );
  return answered.length / sent.length;
}

describe('placement among the targets of a service', () => {
  // Guards against a target that gets no requests because its last ones were of a long route: half of the targets then
  // run at their limit while the others are idle.
  it('should use all targets when routes take 30 and 480 ms', () => {
    const fleet = createStockFleet([1, 1, 1, 1]);
    sendLoad(fleet, 5000, 1200);
    const before = countRuns(fleet);
    const sent = sendLoad(fleet, 8000, 1200);
    for (const share of computeShares(fleet, before)) expect(share > 0.15).toEqual(true);
    expect(computeAnsweredShare(sent, 600) > 0.999).toEqual(true);
  });

  // Guards against a choice that ignores speed, which makes callers wait at the slow target.
  it('should send fewer requests to slower targets and keep answers fast', () => {
    const fleet = createStockFleet([0.5, 1, 1, 1.5]);
    sendLoad(fleet, 5000, 1200);
    const before = countRuns(fleet);
    const sent = sendLoad(fleet, 8000, 1200);
    const [slow = 0, , , fast = 0] = computeShares(fleet, before);
    expect(slow < fast).toEqual(true);
    expect(computeAnsweredShare(sent, 1000) > 0.999).toEqual(true);
  });

  // Guards against an old duration that keeps a recovered target idle for good.
  it('should use a target again within seconds after it was slow', () => {
    const fleet = createStockFleet([0.1, 1, 1, 1]);
    sendLoad(fleet, 6000, 1200);
    setSpeed(fleet, 's1', 1);
    sendLoad(fleet, 6000, 1200);
    const before = countRuns(fleet);
    sendLoad(fleet, 4000, 1200);
    const [recovered = 0] = computeShares(fleet, before);
    expect(recovered > 0.15).toEqual(true);
  });

  // Guards against a target without runs that all nodes choose at once.
  it('should not overload a target that has just joined', () => {
    const fleet = createStockFleet([1, 1, 1, 1]);
    const [joining = ''] = stockHosts;
    const leaving = fleet.targets.get(joining) as FakeTarget;
    leaving.state = 'draining';
    sendLoad(fleet, 5000, 1600);
    fleet.targets.set(joining, {
      ...leaving,
      id: 'i-new',
      ran: [],
      sequence: 0,
      startedAtMs: 1_600_000_060_000,
      state: 'ready',
    });
    setSpeed(fleet, joining, 1);
    fleet.clock.advance(1600);
    const before = countRuns(fleet);
    const sent = sendLoad(fleet, 4000, 1600);
    const [share = 0] = computeShares(fleet, before);
    expect(share > 0.1 && share < 0.45).toEqual(true);
    expect(computeAnsweredShare(sent, 800) > 0.995).toEqual(true);
  });
});

describe('the estimated speed of a target', () => {
  const report = (
    samples: number,
    meanMs: number,
  ): { host: string; durations: { route: string; meanMs: number; leastMs: number; samples: number }[] } => ({
    host: `after ${samples}`,
    durations: [{ route: 'level', meanMs, leastMs: meanMs, samples }],
  });

  it('should be compared by route', () => {
    const durations = [{ route: 'report', meanMs: 480, leastMs: 480, samples: 20 }];
    const { byHost } = estimateSpeeds([
      { host: 's1', durations },
      { host: 's2', durations: [...durations, { route: 'level', meanMs: 30, leastMs: 30, samples: 200 }] },
    ]);
    expect([...byHost.values()].map(({ slowness }) => Math.round(slowness * 100) / 100)).toEqual([1, 1]);
  });

  it('should return to the mean as the samples age', () => {
    const others = { host: 's2', durations: [{ route: 'level', meanMs: 30, leastMs: 30, samples: 500 }] };
    const estimate = (samples: number): number =>
      estimateSpeeds([report(samples, 300), others]).byHost.get(`after ${samples}`)?.slowness ?? 0;
    expect(estimate(30) > 5).toEqual(true);
    expect(estimate(0.1) < 1.5).toEqual(true);
  });
});
