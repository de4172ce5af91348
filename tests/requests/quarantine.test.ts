import { describe, it } from 'node:test';
import { expect } from 'earl';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';
import type { FleetHost, RequestFleet } from '../fixtures/requestFleet.js';

const configuration = buildRouteConfiguration(1, [buildRoute('check', 'stock')]);
const hosts: FleetHost[] = [
  { host: 'a1', dataCenter: 'd1', service: 'orders' },
  ...['a2', 'a3', 'a4', 'a5', 'a6'].map((host) => ({ host, dataCenter: 'd1', service: 'stock' })),
];

/** Creates a fleet in which requests to `/check/bad` crash the target that runs them; all others are answered. */
function createCrashingFleet(): { fleet: RequestFleet; crashes: string[] } {
  const fleet = createRequestFleet({ hosts, configuration });
  const crashes: string[] = [];
  for (const [host, target] of fleet.targets) {
    target.respond = (send, events) => {
      if (send.request.path !== '/check/bad') return 'answer';
      crashes.push(host);
      fleet.targets.delete(host);
      fleet.clock.schedule(5, () => {
        events.fail({ kind: 'connectionLost', ran: 'unknown', hasArrived: true, detail: 'crash' });
      });
      return 'handled';
    };
  }
  return { fleet, crashes };
}

describe('a request that crashes targets', () => {
  // Guards against a client that repeats such a request until all targets have crashed.
  it('should be refused by all nodes once it crashed two targets, while other requests are served', () => {
    const { fleet, crashes } = createCrashingFleet();
    for (let index = 0; index < 20; index++) {
      fleet.send(index % 2 === 0 ? 'a1' : 'a6', { path: '/check/bad' });
      fleet.clock.advance(50);
      for (let other = 0; other < 8; other++) fleet.send('a1', { path: `/check/${index}` });
      fleet.clock.advance(450);
    }
    expect(crashes.length <= 3).toEqual(true);
    const last = fleet.send('a1', { path: '/check/bad' });
    const good = fleet.send('a1', { path: '/check/good' });
    fleet.clock.advance(200);
    expect([last.refusal?.kind, good.answer?.status]).toEqual(['quarantined', 200]);
  });
});
