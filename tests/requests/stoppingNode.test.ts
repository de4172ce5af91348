import { describe, it } from 'node:test';
import { expect } from 'earl';
import { buildRoute, buildRouteConfiguration, createRequestFleet, getTarget } from '../fixtures/requestFleet.js';
import type { SentRequest } from '../fixtures/requestFleet.js';
import { listRuns, sendPeriodically, stockConfiguration, stockHosts } from '../fixtures/stockFleet.js';

describe('a stopping node', () => {
  // Guards against requests on kept connections that are taken in while the process exits, and cut off by its end.
  it('should refuse what it reads between its last check for open requests and its end', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration });
    const node = fleet.nodes.get('a2');
    const ran = fleet.targets.get('a2')?.arrivedAtMs.length;
    node?.stop(() => {
      node.close();
    });
    fleet.clock.advance(4000);
    const late = fleet.send('a2');
    fleet.clock.advance(100);
    expect([late.refusal?.kind, fleet.targets.get('a2')?.arrivedAtMs.length]).toEqual(['stopping', ran]);
  });

  it('should finish requests in flight, refuse new ones for its target, and report when it is done', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration });
    const target = fleet.targets.get('a2');
    if (target !== undefined) target.durationMs = 500;
    const own = fleet.send('a2');
    let isDone = false;
    fleet.nodes.get('a2')?.stop(() => {
      isDone = true;
    });
    fleet.clock.advance(50);
    const before = listRuns(fleet, 'a2').length;
    sendPeriodically(fleet, 300);
    expect(listRuns(fleet, 'a2').length).toEqual(before);
    expect([own.answer?.status, isDone]).toEqual([200, false]);
    fleet.clock.advance(2000);
    expect(isDone).toEqual(true);
  });

  // Guards against interrupting, at the end of the grace time, the requests of clients that continue to send.
  it('should refuse new requests near the end of its grace time, and answer open ones when it ends', () => {
    const fleet = createRequestFleet({
      hosts: stockHosts,
      configuration: buildRouteConfiguration(1, [buildRoute('check', 'stock', { timeoutMs: 9000 })]),
    });
    for (const host of ['a2', 'a3']) {
      const target = fleet.targets.get(host);
      if (target !== undefined) target.durationMs = 3500;
    }
    const node = fleet.nodes.get('a1');
    fleet.send('a1', { timeLeftMs: 9000 });
    node?.stop(() => {
      node.close();
    });
    fleet.clock.advance(2500);
    const open = fleet.send('a1', { timeLeftMs: 9000 });
    for (const waitMs of [400, 1600]) {
      fleet.clock.advance(waitMs);
      const late = fleet.send('a1', { timeLeftMs: 9000 });
      expect([late.refusal?.kind, late.refusal?.retryAfterMs !== undefined]).toEqual(['stopping', true]);
    }
    fleet.clock.advance(1500);
    expect(open.refusal?.kind).toEqual('failed');
  });

  // Guards against taking a request that may last longer than the time until the node closes.
  it('should answer each request that it takes once clients can know that it stops', () => {
    const longWork = buildRoute('check', 'stock', { isIdempotent: false, timeoutMs: 5000 });
    const shortWork = buildRoute('look', 'stock', { timeoutMs: 600 });
    const fleet = createRequestFleet({
      hosts: stockHosts.map((entry) => ({ ...entry, slots: 127 })),
      configuration: buildRouteConfiguration(1, [longWork, shortWork]),
    });
    for (const host of ['a2', 'a3']) {
      getTarget(fleet, host).respond = (send, events) => {
        fleet.clock.schedule(send.request.route === 'check' ? 2500 : 300, () => {
          events.answer({ status: 200, headers: [], body: new Uint8Array(), isStreamed: false });
        });
        return 'handled';
      };
    }
    const node = fleet.nodes.get('a1');
    let closedAtMs = Infinity;
    const startedAtMs = fleet.clock.now();
    node?.stop(() => {
      closedAtMs = fleet.clock.now();
      node.close();
    });
    const sent: SentRequest[] = [];
    while (closedAtMs === Infinity) {
      sent.push(fleet.send('a1', { timeLeftMs: 5000 }), fleet.send('a1', { path: '/look/1', timeLeftMs: 5000 }));
      fleet.clock.advance(100);
    }
    const late = sent.filter(({ sentAtMs }) => sentAtMs > startedAtMs + 2600);
    const outcomes = new Set(late.map(({ answer, refusal }) => answer?.status ?? refusal?.kind));
    expect([...outcomes].sort()).toEqual([200, 'stopping']);
    expect(late.filter(({ answer }) => answer?.status === 200).length >= 20).toEqual(true);
  });

  // Guards against keeping the clients of the only node of a data centre out for longer than the open requests last.
  it('should close as soon as its open requests have ended, and tell clients without another node to come back then', () => {
    const fleet = createRequestFleet({
      hosts: [...stockHosts, { host: 'b1', dataCenter: 'd2', service: 'orders' }],
      configuration: buildRouteConfiguration(1, [buildRoute('check', 'stock', { timeoutMs: 5000 })]),
    });
    const node = fleet.nodes.get('b1');
    let isClosed = false;
    node?.stop(() => {
      isClosed = true;
    });
    const sent: SentRequest[] = [];
    for (let elapsedMs = 0; elapsedMs < 3000; elapsedMs += 10) {
      sent.push(fleet.send('b1', { timeLeftMs: 5000 }));
      fleet.clock.advance(10);
    }
    expect(isClosed).toEqual(true);
    const refused = sent.filter(({ refusal }) => refusal !== undefined);
    expect(new Set(refused.map(({ refusal }) => refusal?.kind))).toEqual(new Set(['stopping']));
    const delays = refused.map(({ refusal }) => refusal?.retryAfterMs ?? 0);
    expect([Math.max(...delays) > 2500, Math.min(...delays) > 2000]).toEqual([true, true]);
  });

  it('should still serve its clients', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration });
    fleet.nodes.get('a1')?.stop(() => undefined);
    fleet.clock.advance(1000);
    const sent = fleet.send('a1');
    fleet.clock.advance(100);
    expect(sent.answer?.status).toEqual(200);
  });
});
