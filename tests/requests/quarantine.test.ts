import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { ClientRequest } from '../../src/control/requests/entry.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';
import type { FleetHost, RequestFleet, SentRequest } from '../fixtures/requestFleet.js';
import { createFakeTarget } from '../fixtures/fakeTarget.js';

const configuration = buildRouteConfiguration(1, [
  buildRoute('check', 'stock'),
  buildRoute('thrice', 'stock', { maxAttempts: 3 }),
  buildRoute('order', 'stock', { isIdempotent: false }),
]);
const targetHosts = ['a2', 'a3', 'a4', 'a5', 'a6'];
const hosts: FleetHost[] = [
  ...['a1', 'a7'].map((host) => ({ host, dataCenter: 'd1', service: 'orders' })),
  ...targetHosts.map((host) => ({ host, dataCenter: 'd1', service: 'stock' })),
];
/** The client of a request in these tests sends it at a host of this service. */
const CALLER = 'orders';
/** Time after which a target that crashed is back (ms). */
const RESTART_MS = 2000;

interface CrashingFleet {
  readonly fleet: RequestFleet;
  /** Hosts of the targets that crashed, oldest first. */
  readonly crashes: string[];
}

/**
 * Creates a fleet in which `/check/bad` and `/thrice/bad` from `CALLER` crash the target that runs them, with all that runs there.
 * Targets come back with another id if `isRestarted`.
 */
function createCrashingFleet({ isRestarted = false, isStale = false } = {}): CrashingFleet {
  const fleet = createRequestFleet({ hosts, configuration });
  const crashes: string[] = [];
  const startTarget = (host: string, id: string): void => {
    const target = createFakeTarget(id);
    target.startedAtMs += crashes.length;
    fleet.targets.set(host, target);
    const running = new Set<() => void>();
    const crash = (): void => {
      crashes.push(host);
      fleet.targets.delete(host);
      for (const fail of running) fail();
      if (isRestarted)
        fleet.clock.schedule(RESTART_MS, () => {
          startTarget(host, `i-${host}-${crashes.length}`);
        });
    };
    target.respond = ({ request }, events) => {
      const fail = (): void => {
        const stale = isStale ? { isStale } : {};
        events.fail({ kind: 'connectionLost', ran: 'unknown', hasArrived: true, ...stale, detail: 'crash' });
      };
      running.add(fail);
      if (request.path.endsWith('/bad') && request.callerService === CALLER) {
        fleet.clock.schedule(5, crash);
        return 'handled';
      }
      fleet.clock.schedule(60, () => {
        if (!running.delete(fail) || fleet.targets.get(host) !== target) return;
        events.answer({ status: 200, headers: [], body: new Uint8Array(), isStreamed: false });
      });
      return 'handled';
    };
  };
  for (const host of targetHosts) startTarget(host, `i-${host}`);
  return { fleet, crashes };
}

describe('a request that crashes targets', () => {
  // Guards against a client that repeats such a request until all targets have crashed.
  for (const isStale of [false, true]) {
    it(`should be refused by all nodes after three crashes, on ${isStale ? 'kept' : 'new'} connections`, () => {
      const { fleet, crashes } = createCrashingFleet({ isStale });
      for (let index = 0; index < 20; index++) {
        fleet.send(index % 2 === 0 ? 'a1' : 'a7', { path: '/check/bad' });
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
  }

  // Guards against innocent requests that are blamed with it, and against a culprit that those with its path clear.
  const innocents: [string, (index: number) => Partial<ClientRequest>, string][] = [
    ['paths of their own', (index) => ({ path: `/check/${index}` }), 'a1'],
    ['a common path', () => ({ path: '/check/common' }), 'a1'],
    ['a common path and body', () => ({ method: 'POST', path: '/check/common', body: Buffer.from('x') }), 'a1'],
    ['its path, from another caller', () => ({ path: '/check/bad' }), 'a6'],
  ];
  for (const [what, build, entryHost] of innocents) {
    for (const path of ['/check/bad', '/thrice/bad']) {
      it(`should be known after its third crash (${path}), while innocent requests are served: ${what}`, () => {
        const { fleet, crashes } = createCrashingFleet({ isRestarted: true });
        const sent: SentRequest[] = [];
        const send = (count: number): void => {
          for (let index = 0; index < count; index++) sent.push(fleet.send(entryHost, build(sent.length)));
        };
        for (let second = 0; second < 40; second++) {
          for (let step = 0; step < 10; step++) {
            send(12);
            if (step === 5 && second % 4 === 0) fleet.send(second % 8 === 0 ? 'a1' : 'a7', { path });
            fleet.clock.advance(100);
          }
        }
        fleet.clock.advance(1000);
        const served = sent.filter(({ answer }) => answer?.status === 200).length;
        expect([crashes.length <= 4, served > 0.97 * sent.length]).toEqual([true, true]);
        expect(fleet.send('a1', { path }).refusal?.kind).toEqual('quarantined');
      });
    }
  }

  // Guards against suspects that are blamed for the crash of another one, since they run beside it.
  it('should not run beside another suspect, which an answer clears at all nodes', () => {
    const { fleet, crashes } = createCrashingFleet({ isRestarted: true });
    const suspect = { path: '/check/slow' };
    const ejectOthers = (host: string): void => {
      for (const other of targetHosts)
        if (other !== host) fleet.nodes.get(other)?.board.post('target', { type: 'eject', reason: '', isDown: false });
      fleet.clock.advance(1);
    };
    for (const host of ['a2', 'a3']) {
      ejectOthers(host);
      for (const path of [suspect.path, '/check/bad']) fleet.send('a1', { path });
      fleet.clock.advance(RESTART_MS + 4000);
    }
    const listPhases = (host: string): string[] => {
      const states = fleet.nodes.get(host)?.board.read('quarantine').byFingerprint.values() ?? [];
      return [...states].map(({ phase }) => phase);
    };
    expect([crashes, listPhases('a1')]).toEqual([
      ['a2', 'a3'],
      ['suspect', 'suspect'],
    ]);
    ejectOthers('a4');
    const [first, second] = [suspect.path, '/check/bad'].map((path) => fleet.send('a1', { path }));
    fleet.clock.advance(200);
    expect([first?.answer?.status, second?.refusal?.kind, crashes.length]).toEqual([200, 'overloaded', 2]);
    for (const host of ['a1', 'a4', 'a7']) expect(listPhases(host)).toEqual(['suspect']);
  });

  // Guards against a trial at each node at once when the quarantine ends.
  it('should crash one target only when its quarantine ends, and then stay away for longer', () => {
    const { fleet, crashes } = createCrashingFleet({ isRestarted: true });
    for (let index = 0; index < 4; index++) {
      fleet.send('a1', { path: '/check/bad' });
      fleet.clock.advance(RESTART_MS + 4000);
    }
    const before = crashes.length;
    fleet.clock.advance(60_000);
    for (let index = 0; index < 60; index++) {
      for (const host of ['a1', 'a7']) fleet.send(host, { path: '/check/bad' });
      fleet.clock.advance(1000);
    }
    expect([before <= 3, crashes.length - before]).toEqual([true, 1]);
  });
});
