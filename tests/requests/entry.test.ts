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

/** Lets both targets of `stock` fail each request in one way. */
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
  it('should be refused where no route matches', () => {
    const fleet = createFleet();
    const sent = fleet.send('a1', { path: '/other/1' });
    expect(sent.refusal?.kind).toEqual('noRoute');
  });

  it('should run at most once when it is not idempotent and its outcome is unknown', () => {
    const fleet = createFleet({ kind: 'nonIdempotent' });
    failTargets(fleet, {});
    const sent = fleet.send('a1');
    fleet.clock.advance(200);
    expect([countRuns(fleet), sent.refusal?.kind, sent.refusal?.retryAfterMs]).toEqual([1, 'failed', undefined]);
  });

  it('should go to another target when it is not idempotent and was rejected unrun', () => {
    const fleet = createFleet({ kind: 'nonIdempotent' });
    failTargets(fleet, { kind: 'rejected', ran: 'no' });
    const sent = fleet.send('a1');
    fleet.clock.advance(200);
    expect([countRuns(fleet), sent.refusal?.kind, sent.refusal?.retryAfterMs !== undefined]).toEqual([
      2,
      'rejected',
      true,
    ]);
  });

  it('should be sent to no more targets than its route allows', () => {
    const fleet = createFleet({ maxAttempts: 1 });
    failTargets(fleet, {});
    const sent = fleet.send('a1');
    fleet.clock.advance(200);
    expect([countRuns(fleet), sent.refusal?.kind]).toEqual([1, 'failed']);
  });

  it('should be measured where it entered and at its target, and only when it was answered', () => {
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

  it('should say that it has not run when it waited until its time was over', () => {
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

  it('should never hand a target more requests than it has slots', () => {
    const fleet = createFleet();
    for (let index = 0; index < 60; index++) fleet.send('a1');
    fleet.clock.advance(1000);
    const peaks = ['a2', 'a3'].map((host) => (fleet.targets.get(host) as FakeTarget).peak);
    expect(Math.max(...peaks) <= 4).toEqual(true);
  });

  it('should be stopped at its target when its client left and it may be repeated', () => {
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

  it('should not be started when its client left while it waited', () => {
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

  it('should be divided among the services of its route as their weights say', () => {
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

  it('should keep to the target of its own data centre while that costs little time', () => {
    const spread: FleetHost[] = [
      { host: 'a1', dataCenter: 'd1', service: 'orders' },
      { host: 'a2', dataCenter: 'd1', service: 'stock' },
      { host: 'b1', dataCenter: 'd2', service: 'stock' },
    ];
    const fleet = createRequestFleet({
      hosts: spread,
      configuration: buildRouteConfiguration(1, [buildRoute('check', 'stock')]),
    });
    for (let index = 0; index < 50; index++) {
      fleet.send('a1');
      fleet.clock.advance(25);
    }
    fleet.clock.advance(500);
    // One request tells how a target of which nothing is known first-hand does.
    expect(fleet.targets.get('b1')?.ran.length).toEqual(1);
  });
});

describe('retries of all nodes', () => {
  it('should stay within the share of the requests and the extra of the settings', () => {
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
