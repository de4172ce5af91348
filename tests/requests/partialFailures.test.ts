import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { RunEvents } from '../../src/control/requests/runPort.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';
import type { FakeTarget, FleetHost, RequestFleet, SentRequest } from '../fixtures/requestFleet.js';
import type { Route } from '../../src/schema/routeConfiguration.js';

const hosts: FleetHost[] = [
  { host: 'a1', dataCenter: 'd1', service: 'orders' },
  ...['a2', 'a3', 'a4', 'a5'].map((host) => ({ host, dataCenter: 'd1', service: 'stock' })),
];

function createFleet(change: Partial<Route> = {}): RequestFleet {
  const route = buildRoute('check', 'stock', { timeoutMs: 2000, maxAttempts: 3, ...change });
  return createRequestFleet({ hosts, configuration: buildRouteConfiguration(1, [route]) });
}

function getTarget(fleet: RequestFleet, host: string): FakeTarget {
  return fleet.targets.get(host) as FakeTarget;
}

function respondWithError(fleet: RequestFleet, events: RunEvents): 'handled' {
  fleet.clock.schedule(20, () => {
    events.answer({ status: 500, headers: [], body: Buffer.from('failed'), isStreamed: false });
  });
  return 'handled';
}

function sendMany(fleet: RequestFleet, count: number): SentRequest[] {
  return Array.from({ length: count }, () => {
    const sent = fleet.send('a1');
    fleet.clock.advance(10);
    return sent;
  });
}

function countServed(sent: readonly SentRequest[], withinMs = Infinity): number {
  return sent.filter(({ answer, endedAtMs, sentAtMs }) => answer?.status === 200 && endedAtMs - sentAtMs <= withinMs)
    .length;
}

describe('a target that responds with errors', () => {
  // Without retries, a quarter of the requests would end with the error of the one failing target.
  it('should be avoided, and idempotent requests that failed there are retried at another target', () => {
    const fleet = createFleet();
    getTarget(fleet, 'a2').respond = (_send, events) => respondWithError(fleet, events);
    const sent = sendMany(fleet, 300);
    fleet.clock.advance(2500);
    expect(countServed(sent)).toEqual(300);
  });

  it('should have its error response to a non-idempotent request returned to the client without a retry', () => {
    const fleet = createFleet({ isIdempotent: false });
    let ran = 0;
    for (const host of ['a2', 'a3', 'a4', 'a5']) {
      getTarget(fleet, host).respond = (_send, events) => {
        ran++;
        return respondWithError(fleet, events);
      };
    }
    const sent = fleet.send('a1');
    fleet.clock.advance(500);
    expect([ran, sent.answer?.status, sent.refusal]).toEqual([1, 500, undefined]);
  });

  // Guards against a target that remains avoided after its recovery.
  it('should receive its share of requests again within seconds of its recovery', () => {
    const fleet = createFleet();
    getTarget(fleet, 'a2').respond = (_send, events) => respondWithError(fleet, events);
    sendMany(fleet, 300);
    getTarget(fleet, 'a2').respond = () => 'answer';
    sendMany(fleet, 800);
    const before = getTarget(fleet, 'a2').ran.length;
    sendMany(fleet, 400);
    // Its full share of the 400 requests is 100.
    expect(getTarget(fleet, 'a2').ran.length - before > 40).toEqual(true);
  });

  it('should not cause many retries if all targets do so, and its error is returned to the client', () => {
    const fleet = createFleet();
    let ran = 0;
    for (const host of ['a2', 'a3', 'a4', 'a5']) {
      getTarget(fleet, host).respond = (_send, events) => {
        ran++;
        return respondWithError(fleet, events);
      };
    }
    const sent = sendMany(fleet, 400);
    fleet.clock.advance(2500);
    expect(ran < 440).toEqual(true);
    expect(sent.every(({ answer }) => answer?.status === 500)).toEqual(true);
  });
});

describe('a refusal after an attempt that may have run', () => {
  // The second target rejects the request without running it, but the first one may have run it.
  it('should not claim that the request has not run', () => {
    const fleet = createFleet();
    let sends = 0;
    for (const host of ['a2', 'a3', 'a4', 'a5']) {
      getTarget(fleet, host).respond = (_send, events) => {
        const isFirst = sends++ === 0;
        fleet.clock.schedule(5, () => {
          const ran = isFirst ? ('unknown' as const) : ('no' as const);
          events.fail({ kind: isFirst ? 'connectionLost' : 'rejected', ran, hasArrived: true, detail: 'test' });
        });
        return 'handled';
      };
    }
    const sent = fleet.send('a1');
    fleet.clock.advance(2500);
    expect([sends >= 2, sent.refusal?.kind, sent.refusal?.retryAfterMs]).toEqual([true, 'failed', undefined]);
  });
});
