import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, generateExponential } from '../../src/core/random.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet, getTarget } from '../fixtures/requestFleet.js';
import type { RequestFleet, SentRequest } from '../fixtures/requestFleet.js';

const SLOTS = 40;
const WORK_MS = 40;
const entryHosts = ['e1', 'e2', 'e3', 'e4'];
const stockHosts = ['s1', 's2', 's3'];
const hosts = [
  ...entryHosts.map((host) => ({ host, dataCenter: 'd1', service: 'orders' })),
  ...stockHosts.map((host) => ({ host, dataCenter: 'd1', service: 'stock', slots: SLOTS })),
];
const routes = [buildRoute('check', 'stock', { targetLatencyMs: 300, timeoutMs: 1000 })];

/** Makes a target reject requests beyond the room that it has at the time. */
function limitRoom(fleet: RequestFleet, host: string, readRoom: () => number): { rejected: number } {
  const target = getTarget(fleet, host);
  const counts = { rejected: 0 };
  target.respond = ({ request: { requestId } }, events) => {
    if (target.running.size >= readRoom()) {
      counts.rejected++;
      fleet.clock.schedule(1, () => {
        events.fail({ kind: 'rejected', ran: 'no', hasArrived: true, detail: 'no room' });
      });
      return 'handled';
    }
    target.ran.push(requestId);
    target.running.add(requestId);
    target.peakRunning = Math.max(target.peakRunning, target.running.size);
    fleet.clock.schedule(WORK_MS, () => {
      target.running.delete(requestId);
      events.answer({ status: 200, headers: [], body: Buffer.from('done'), isStreamed: false });
    });
    return 'handled';
  };
  return counts;
}

function sendLoad(fleet: RequestFleet, forMs: number, perSecond: number): SentRequest[] {
  const random = createRandom(5);
  const sent: SentRequest[] = [];
  const endMs = fleet.clock.now() + forMs;
  const sendNext = (): void => {
    if (fleet.clock.now() >= endMs) return;
    const host = entryHosts[Math.floor(random() * entryHosts.length)] ?? '';
    sent.push(fleet.send(host, { timeLeftMs: 1000 }));
    fleet.clock.schedule(generateExponential(random, 1000 / perSecond), sendNext);
  };
  sendNext();
  fleet.clock.advance(forMs);
  return sent;
}

function restartTarget(fleet: RequestFleet, host: string): void {
  const target = getTarget(fleet, host);
  const restarted = { id: 'i-restarted', sequence: 0, startedAtMs: target.startedAtMs + 60_000 };
  fleet.targets.set(host, { ...target, ...restarted, ran: [], running: new Set(), peakRunning: 0, arrivedAtMs: [] });
  fleet.sendHeartbeat(host, { id: 'i-restarted', coldLeftMs: 3000 });
}

describe('a target that has started or recovered', () => {
  // Guards against a restarted target that gets its full share at once and rejects most of it.
  it('should get few requests beyond the room that it has while it warms up', () => {
    const fleet = createRequestFleet({ hosts, configuration: buildRouteConfiguration(1, routes) });
    for (const host of stockHosts) limitRoom(fleet, host, () => SLOTS);
    sendLoad(fleet, 3000, 1500);
    restartTarget(fleet, 's1');
    const warmUpStartMs = fleet.clock.now();
    // Room for a fifth of its slots at first, and for all of them after a second.
    const readRoom = (): number => SLOTS * Math.min(1, 0.2 + (0.8 * (fleet.clock.now() - warmUpStartMs)) / 1000);
    const counts = limitRoom(fleet, 's1', readRoom);
    const sent = sendLoad(fleet, 800, 2000);
    fleet.clock.advance(1000);
    const { ran } = getTarget(fleet, 's1');
    expect(counts.rejected / (counts.rejected + ran.length) < 0.05).toEqual(true);
    expect(sent.filter(({ answer }) => answer?.status === 200).length / sent.length > 0.99).toEqual(true);
  });

  // Guards against a restarted target that stays nearly idle although its answers are good.
  it('should carry its share again within two seconds when its answers are good', () => {
    const fleet = createRequestFleet({ hosts, configuration: buildRouteConfiguration(1, routes) });
    for (const host of stockHosts) limitRoom(fleet, host, () => SLOTS);
    sendLoad(fleet, 3000, 1500);
    restartTarget(fleet, 's1');
    limitRoom(fleet, 's1', () => SLOTS);
    sendLoad(fleet, 2000, 1500);
    const runs = stockHosts.map((host) => getTarget(fleet, host).ran.length);
    sendLoad(fleet, 2000, 1500);
    const later = stockHosts.map((host, index) => getTarget(fleet, host).ran.length - (runs[index] ?? 0));
    const share = (later[0] ?? 0) / later.reduce((sum, count) => sum + count, 0);
    expect(share > 0.25).toEqual(true);
  });

  // Guards against targets of a fleet that starts being limited long after they are warm.
  it('should not be limited once it has been up for some seconds', () => {
    const fleet = createRequestFleet({ hosts, configuration: buildRouteConfiguration(1, routes) });
    for (const host of stockHosts) limitRoom(fleet, host, () => SLOTS);
    restartTarget(fleet, 's1');
    fleet.clock.advance(8000);
    expect(fleet.nodes.get('s1')?.board.read('runs').recovery).toEqual(undefined);
  });
});
