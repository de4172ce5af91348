import { describe, it } from 'node:test';
import { expect } from 'earl';
import { buildRoute, buildRouteConfiguration, createRequestFleet, getTarget } from '../fixtures/requestFleet.js';
import type { FleetHost, RequestFleet, SentRequest } from '../fixtures/requestFleet.js';

const hosts: FleetHost[] = [
  { host: 'a1', dataCenter: 'd1', service: 'orders' },
  { host: 'a2', dataCenter: 'd1', service: 'stock', slots: 50 },
  { host: 'a3', dataCenter: 'd1', service: 'stock', slots: 50 },
];
const urgentConfiguration = buildRouteConfiguration(1, [buildRoute('check', 'stock', { priority: 0, timeoutMs: 400 })]);

/** Sends one request from `a1` every `intervalMs` for `forMs`. */
function sendPeriodically(fleet: RequestFleet, forMs: number, intervalMs = 20): SentRequest[] {
  const sent: SentRequest[] = [];
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += intervalMs) {
    sent.push(fleet.send('a1', { timeLeftMs: 400 }));
    fleet.clock.advance(intervalMs);
  }
  return sent;
}

function countUnserved(sent: readonly SentRequest[]): number {
  return sent.filter(({ answer }) => answer?.status !== 200).length;
}

describe('a link that falls silent without a reset', () => {
  // Guards against a silent link on which each request ends at its deadline before the link counts as unresponsive.
  it('should be replaced although its requests last shorter than its timeout', () => {
    const fleet = createRequestFleet({ hosts: hosts.slice(0, 2), configuration: urgentConfiguration });
    sendPeriodically(fleet, 900, 450);
    fleet.links.discardFrames('a1', 'a2');
    sendPeriodically(fleet, 900, 450);
    expect(countUnserved(sendPeriodically(fleet, 4500, 450))).toEqual(0);
  });

  // Guards against new requests that are sent to a silent link while another one works.
  it('should get no new requests while another target can be reached', () => {
    const fleet = createRequestFleet({ hosts, configuration: urgentConfiguration });
    sendPeriodically(fleet, 200);
    fleet.links.discardFrames('a1', 'a2');
    sendPeriodically(fleet, 340);
    expect(countUnserved(sendPeriodically(fleet, 2000).slice(0, -5))).toEqual(0);
  });

  it('should answer an order on it with the outcome of its one run', () => {
    const order = buildRoute('check', 'stock', { isIdempotent: false, timeoutMs: 3000 });
    const fleet = createRequestFleet({
      hosts: hosts.slice(0, 2),
      configuration: buildRouteConfiguration(1, [order]),
    });
    getTarget(fleet, 'a2').durationMs = 700;
    const sent = fleet.send('a1', { timeLeftMs: 3000 });
    fleet.clock.advance(50);
    fleet.links.discardFrames('a1', 'a2');
    fleet.clock.advance(2000);
    expect([sent.answer?.status, getTarget(fleet, 'a2').ran]).toEqual([200, ['r1']]);
  });

  it('should give up an order on it as not run when it never arrived, and run it elsewhere', () => {
    const order = buildRoute('check', 'stock', { isIdempotent: false, timeoutMs: 3000 });
    const fleet = createRequestFleet({ hosts: hosts.slice(0, 2), configuration: buildRouteConfiguration(1, [order]) });
    fleet.links.discardFrames('a1', 'a2');
    const sent = fleet.send('a1', { timeLeftMs: 3000 });
    fleet.clock.advance(1500);
    expect([sent.answer?.status, getTarget(fleet, 'a2').ran]).toEqual([200, ['r1']]);
  });
});

describe('a link that works', () => {
  // Guards against taking a target that works for long without a byte for a silent link.
  it('should stay while its requests last for seconds', () => {
    const slow = buildRoute('check', 'stock', { timeoutMs: 6000 });
    const fleet = createRequestFleet({ hosts: hosts.slice(0, 2), configuration: buildRouteConfiguration(1, [slow]) });
    getTarget(fleet, 'a2').durationMs = 4000;
    const before = fleet.lines.length;
    const sent: SentRequest[] = [];
    for (let index = 0; index < 30; index++) {
      sent.push(fleet.send('a1', { timeLeftMs: 6000 }));
      fleet.clock.advance(index * 20);
    }
    fleet.clock.advance(6000);
    const lost = fleet.lines.slice(before).filter(({ kind, outcome }) => kind === 'linkChanged' && outcome === 'down');
    expect([lost.length, countUnserved(sent)]).toEqual([0, 0]);
  });

  it('should not carry more than ten life signs a second', () => {
    const slow = buildRoute('check', 'stock', { timeoutMs: 6000 });
    const fleet = createRequestFleet({ hosts: hosts.slice(0, 2), configuration: buildRouteConfiguration(1, [slow]) });
    getTarget(fleet, 'a2').durationMs = 3000;
    const before = fleet.links.delivered.length;
    for (let index = 0; index < 100; index++) {
      fleet.send('a1', { timeLeftMs: 6000 });
      fleet.clock.advance(20);
    }
    const frames = fleet.links.delivered.slice(before);
    const signs = frames.filter(({ from, frame }) => from === 'a2' && frame.type === 'grant');
    expect([signs.length > 0, signs.length <= 20]).toEqual([true, true]);
  });
});
