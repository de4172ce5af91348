import { beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { buildRoute, buildRouteConfiguration, createRequestFleet, getTarget } from '../fixtures/requestFleet.js';
import type { RequestFleet } from '../fixtures/requestFleet.js';
import { stockHosts } from '../fixtures/stockFleet.js';

const configuration = buildRouteConfiguration(1, [
  buildRoute('check', 'stock'),
  buildRoute('once', 'stock', { maxAttempts: 1 }),
  buildRoute('order', 'stock', { isIdempotent: false }),
]);

describe('a request on a connection that its target had closed', () => {
  let fleet: RequestFleet;
  beforeEach(() => {
    fleet = createRequestFleet({ hosts: stockHosts, configuration });
  });

  /** Makes the connections of the targets fail once, or with each request. */
  function closeConnections(hosts: readonly string[], { isLasting = false } = {}): void {
    for (const host of hosts) {
      let isClosed = true;
      getTarget(fleet, host).respond = (_send, events) => {
        if (!isClosed) return 'answer';
        isClosed = isLasting;
        fleet.clock.schedule(1, () => {
          const failure = { kind: 'connectionLost' as const, ran: 'unknown' as const, hasArrived: true };
          events.fail({ ...failure, isStale: true, detail: 'reused connection' });
        });
        return 'handled';
      };
    }
  }
  function send(path = '/check/1'): unknown {
    const sent = fleet.send('a1', { path });
    fleet.clock.advance(500);
    return sent.answer?.status ?? sent.refusal?.kind;
  }
  const readTokens = (): number => fleet.nodes.get('a1')?.board.read('budgets').byService.get('stock')?.tokens ?? 0;

  // Guards against lost requests, since a target may close an idle connection at any time.
  it('should be served by another target, and by the same one if there is no other', () => {
    closeConnections(['a2']);
    expect([send(), send(), send(), send()]).toEqual([200, 200, 200, 200]);
    expect(fleet.sends.length).toEqual(5);
    const target = getTarget(fleet, 'a3');
    target.state = 'draining';
    fleet.sendHeartbeat('a3');
    const before = target.ran.length;
    closeConnections(['a2']);
    expect([send(), target.ran.length]).toEqual([200, before]);
  });

  // Guards against a retry that no budget and no attempt of the route pays for.
  it('should be sent again under the budget and the attempts of its route only', () => {
    closeConnections(['a2', 'a3']);
    expect(send('/once/1')).toEqual('failed');
    closeConnections(['a2', 'a3'], { isLasting: true });
    const before = readTokens();
    const arrivals = fleet.sends.length;
    expect(send()).toEqual('failed');
    expect([fleet.sends.length - arrivals, before - readTokens() > 0.5]).toEqual([2, true]);
    for (let index = 0; index < 50 && readTokens() >= 1; index++) send();
    const lastArrivals = fleet.sends.length;
    expect([send(), fleet.sends.length - lastArrivals]).toEqual(['failed', 1]);
  });

  // Guards against an order that runs twice.
  it('should not be sent again if it is not idempotent', () => {
    closeConnections(['a2', 'a3']);
    const arrivals = fleet.sends.length;
    expect([send('/order/1'), fleet.sends.length - arrivals]).toEqual(['failed', 1]);
  });

  // Guards against a request that reaches a leaving target again after its answer was lost.
  it('should not reach its target again once that leaves', () => {
    const target = getTarget(fleet, 'a2');
    getTarget(fleet, 'a3').state = 'draining';
    fleet.sendHeartbeat('a3');
    let failRequest = (): void => undefined;
    target.respond = (_send, events) => {
      failRequest = () => {
        events.fail({ kind: 'connectionLost', ran: 'unknown', hasArrived: true, isStale: true, detail: 'lost' });
      };
      return 'handled';
    };
    const sent = fleet.send('a1', { path: '/check/1' });
    fleet.clock.advance(20);
    let isAcknowledged = false;
    fleet.nodes.get('a2')?.receiveLeave('i-a2', () => {
      isAcknowledged = true;
    });
    fleet.clock.advance(100);
    const arrivals = fleet.sends.length;
    failRequest();
    fleet.clock.advance(500);
    expect([isAcknowledged, fleet.sends.length - arrivals, sent.refusal?.kind]).toEqual([true, 0, 'failed']);
  });

  // Guards against a target that counts as failing, and gets fewer requests, because it closes idle connections.
  it('should not count as a failure of its target', () => {
    closeConnections(['a2', 'a3']);
    send();
    for (const host of ['a2', 'a3']) expect(fleet.nodes.get(host)?.board.read('runs').failures.share ?? 0).toEqual(0);
  });
});
