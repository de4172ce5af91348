import { describe, it } from 'node:test';
import { expect } from 'earl';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';
import type { FakeTarget, FleetHost, RequestFleet } from '../fixtures/requestFleet.js';
import type { Route } from '../../src/schema/routeConfiguration.js';
import type { RunFailure } from '../../src/schema/linkFrame.js';

const hosts: FleetHost[] = [
  { host: 'a1', dataCenter: 'd1', service: 'orders' },
  { host: 'a2', dataCenter: 'd1', service: 'stock' },
  { host: 'a3', dataCenter: 'd1', service: 'stock' },
];

function createFleet(change: Partial<Route> = {}): RequestFleet {
  return createRequestFleet({
    hosts,
    configuration: buildRouteConfiguration(1, [buildRoute('check', 'stock', change)]),
  });
}

/** Makes both targets of `stock` fail each request with the given failure. */
function failTargets(fleet: RequestFleet, failure: Partial<RunFailure>): void {
  for (const host of ['a2', 'a3']) {
    const target = fleet.targets.get(host);
    if (target === undefined) continue;
    target.respond = (send, events) => {
      target.ran.push(send.request.requestId);
      fleet.clock.schedule(5, () => {
        events.fail({ kind: 'connectionLost', ran: 'unknown', hasArrived: true, detail: 'test', ...failure });
      });
      return 'handled';
    };
  }
}

function countRuns(fleet: RequestFleet): number {
  return ['a2', 'a3'].reduce((sum, host) => sum + (fleet.targets.get(host)?.ran.length ?? 0), 0);
}

describe('a request at its entry node', () => {
  // Guards against a request that runs ahead although its client may have to send it again.
  it('should let requests run ahead of those before them only where their route is idempotent', () => {
    const statuses = [true, false].map((isIdempotent) => {
      const fleet = createFleet({ isIdempotent });
      return fleet.nodes.get('a1')?.isIdempotent({ host: 'shop.example', path: '/check/1' });
    });
    expect(statuses).toEqual([true, false]);
  });

  it('should be refused when no route matches', () => {
    const fleet = createFleet();
    const sent = fleet.send('a1', { path: '/other/1' });
    expect(sent.refusal?.kind).toEqual('noRoute');
  });

  it('should run at most once when it is not idempotent and its outcome is unknown', () => {
    const fleet = createFleet({ isIdempotent: false });
    failTargets(fleet, {});
    const sent = fleet.send('a1');
    fleet.clock.advance(200);
    expect([countRuns(fleet), sent.refusal?.kind, sent.refusal?.retryAfterMs]).toEqual([1, 'failed', undefined]);
  });

  it('should be sent to another target when it is not idempotent and was rejected without being run', () => {
    const fleet = createFleet({ isIdempotent: false });
    failTargets(fleet, { kind: 'rejected', ran: 'no' });
    const sent = fleet.send('a1');
    fleet.clock.advance(200);
    expect([countRuns(fleet), sent.refusal?.kind, sent.refusal?.retryAfterMs !== undefined]).toEqual([
      2,
      'rejected',
      true,
    ]);
  });

  it('should be attempted no more often than its route allows', () => {
    const fleet = createFleet({ maxAttempts: 1 });
    failTargets(fleet, {});
    const sent = fleet.send('a1');
    fleet.clock.advance(200);
    expect([countRuns(fleet), sent.refusal?.kind]).toEqual([1, 'failed']);
  });

  it('should have its duration recorded at its entry node and at its target, and only when it is answered', () => {
    const fleet = createFleet({ timeoutMs: 400 });
    fleet.send('a1');
    fleet.clock.advance(200);
    failTargets(fleet, {});
    fleet.send('a1');
    fleet.clock.advance(200);
    expect(fleet.durations.map(({ place, route }) => `${place} ${route}`)).toEqual(['target check', 'entry check']);
    for (const { durationMs } of fleet.durations) expect(durationMs >= 20 && durationMs < 60).toEqual(true);
  });

  it('should end at the timeout of its route', () => {
    const fleet = createFleet({ timeoutMs: 400 });
    for (const host of ['a2', 'a3']) {
      const target = fleet.targets.get(host);
      if (target !== undefined) target.respond = () => 'handled';
    }
    const startMs = fleet.clock.now();
    const sent = fleet.send('a1');
    fleet.clock.advance(1000);
    expect(sent.refusal?.kind).toEqual('timedOut');
    expect(sent.endedAtMs - startMs >= 400 && sent.endedAtMs - startMs < 450).toEqual(true);
  });

  it('should be refused as not run, with a retry time, when its deadline passes in the queue', () => {
    const fleet = createFleet({ timeoutMs: 400 });
    for (const host of ['a2', 'a3']) {
      const target = fleet.targets.get(host);
      if (target !== undefined) target.durationMs = 5000;
    }
    const sent = Array.from({ length: 20 }, () => fleet.send('a1'));
    fleet.clock.advance(1000);
    const late = sent.filter(({ refusal }) => refusal?.kind === 'tooLate' || refusal?.kind === 'overloaded');
    expect(late.length).toEqual(20 - countRuns(fleet));
    expect(late.every(({ refusal }) => refusal?.retryAfterMs !== undefined)).toEqual(true);
  });

  it('should never run on a target that has no free slot', () => {
    const fleet = createFleet();
    for (let index = 0; index < 60; index++) fleet.send('a1');
    fleet.clock.advance(1000);
    const peaks = ['a2', 'a3'].map((host) => (fleet.targets.get(host) as FakeTarget).peakRunning);
    expect(Math.max(...peaks) <= 4).toEqual(true);
  });

  it('should be cancelled at its target when its client disconnects and it is idempotent', () => {
    const fleet = createFleet();
    for (const host of ['a2', 'a3']) {
      const target = fleet.targets.get(host);
      if (target !== undefined) target.durationMs = 500;
    }
    const sent = fleet.send('a1');
    fleet.clock.advance(20);
    sent.handle.cancel();
    fleet.clock.advance(10);
    expect(['a2', 'a3'].map((host) => fleet.targets.get(host)?.running.size)).toEqual([0, 0]);
  });

  it('should not be started when its client disconnects while it is queued', () => {
    const fleet = createFleet();
    for (const host of ['a2', 'a3']) {
      const target = fleet.targets.get(host);
      if (target !== undefined) target.durationMs = 300;
    }
    for (let index = 0; index < 8; index++) fleet.send('a1');
    fleet.clock.advance(20);
    const waiting = fleet.send('a1');
    fleet.clock.advance(20);
    waiting.handle.cancel();
    fleet.clock.advance(1500);
    expect(countRuns(fleet)).toEqual(8);
    expect(['a2', 'a3'].flatMap((host) => fleet.targets.get(host)?.ran ?? []).includes('r9')).toEqual(false);
  });

  it('should be distributed over the services of its route in proportion to their weights', () => {
    const parts = [
      { service: 'stock', weight: 75 },
      { service: 'orders', weight: 25 },
    ];
    const fleet = createFleet({ service: null, parts });
    for (let index = 0; index < 40; index++) {
      fleet.send('a1');
      fleet.clock.advance(30);
    }
    fleet.clock.advance(500);
    expect([countRuns(fleet), fleet.targets.get('a1')?.ran.length]).toEqual([30, 10]);
  });

  it('should prefer the target in its own data centre while that target is not much slower', () => {
    const acrossDataCenters: FleetHost[] = [
      { host: 'a1', dataCenter: 'd1', service: 'orders' },
      { host: 'a2', dataCenter: 'd1', service: 'stock' },
      { host: 'b1', dataCenter: 'd2', service: 'stock' },
    ];
    const fleet = createRequestFleet({
      hosts: acrossDataCenters,
      configuration: buildRouteConfiguration(1, [buildRoute('check', 'stock')]),
    });
    for (let index = 0; index < 50; index++) {
      fleet.send('a1');
      fleet.clock.advance(25);
    }
    fleet.clock.advance(500);
    // One request probes a target to which this node has sent none before.
    expect(fleet.targets.get('b1')?.ran.length).toEqual(1);
  });
});

describe('the retry budget', () => {
  it('should limit retries to the ratio and the extra number of the settings', () => {
    const fleet = createFleet();
    failTargets(fleet, {});
    for (let index = 0; index < 500; index++) {
      fleet.send('a1');
      fleet.clock.advance(10);
    }
    fleet.clock.advance(1000);
    const repeats = countRuns(fleet) - 500;
    expect(repeats > 10 && repeats < 0.2 * 500 + 48).toEqual(true);
  });
});
