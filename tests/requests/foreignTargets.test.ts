import { beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import type { Heartbeat } from '../../src/schema/nodeMember.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet, getTarget } from '../fixtures/requestFleet.js';
import type { RequestFleet } from '../fixtures/requestFleet.js';
import { buildHeartbeat } from '../fixtures/requests.js';

const hosts = [
  { host: 'a1', dataCenter: 'd1', service: 'stock' },
  { host: 'a2', dataCenter: 'd1', service: 'orders' },
];
const configuration = buildRouteConfiguration(1, [buildRoute('check', 'stock')]);
/** Time within which the next heartbeats of the real target show that it is there (ms). */
const RECOVERY_MS = 10_000;
/** Later than the start of the fleet's targets. */
const LATER_START_MS = 1_700_000_000_000;

/** Messages of other senders, or of an earlier target that arrive late, with the service and the address of the host. */
describe('a message that is not from the target of the host', () => {
  let fleet: RequestFleet;
  beforeEach(() => {
    fleet = createRequestFleet({ hosts, configuration });
  });

  function verifyService(): void {
    const statuses = ['a1', 'a2'].map((host) => {
      const sent = fleet.send(host);
      fleet.clock.advance(200);
      return sent.answer?.status;
    });
    expect(statuses).toEqual([200, 200]);
  }

  // Guards against a host whose target gets no requests until it starts anew.
  it('should not keep the real target out of service after a draining heartbeat of another id', () => {
    fleet.sendHeartbeat('a1', { id: 'i-foreign', startedAtMs: LATER_START_MS, state: 'draining' });
    fleet.clock.advance(RECOVERY_MS);
    verifyService();
  });

  // Guards against the same after heartbeats and a leave of another id: no request is sent that could refute it.
  it('should not keep the real target out of service after the leave of another id', () => {
    const startedAtMs = LATER_START_MS;
    for (const sequence of [1, 2]) fleet.sendHeartbeat('a1', { id: 'i-foreign', startedAtMs, sequence });
    fleet.nodes.get('a1')?.receiveLeave('i-foreign', () => undefined);
    fleet.clock.advance(RECOVERY_MS);
    verifyService();
  });

  // Guards against a late leave of an earlier target that is the first message after a restart of the node.
  it('should not keep the real target out of service after a leave that arrives before its heartbeats', () => {
    fleet.killNode('a1');
    fleet.startNode('a1').receiveLeave('i-earlier', () => undefined);
    fleet.clock.advance(RECOVERY_MS);
    verifyService();
  });

  const changes: [string, Partial<Heartbeat>][] = [
    ['a later start', { startedAtMs: LATER_START_MS }],
    ['a high sequence number', { sequence: 1_000_000 }],
  ];
  for (const [what, change] of changes) {
    // Guards against a drain that is acknowledged and not obeyed, since the real heartbeats count as older.
    it(`should not keep the drain of the real target from being obeyed after a heartbeat with its id and ${what}`, () => {
      fleet.sendHeartbeat('a1', change);
      getTarget(fleet, 'a1').state = 'draining';
      const isAcknowledged = fleet.sendHeartbeat('a1');
      const sentBefore = fleet.sends.length;
      fleet.clock.advance(3000);
      fleet.send('a1');
      fleet.clock.advance(200);
      expect([isAcknowledged, fleet.sends.length > sentBefore]).not.toEqual([true, true]);
    });
  }

  // Guards against an earlier target that comes back by its late heartbeats.
  for (const isTargetSilent of [false, true]) {
    const when = isTargetSilent ? 'that arrive together' : 'while the real target sends its own';
    it(`should not take the place of the real target by older heartbeats ${when}`, () => {
      if (isTargetSilent) fleet.targets.delete('a1');
      for (const sequence of [1, 2, 3, 4, 5]) {
        const heartbeat = buildHeartbeat({ startedAtMs: 1_500_000_000_000, sequence });
        fleet.nodes.get('a1')?.receiveHeartbeat('i-earlier', heartbeat, () => undefined);
        if (!isTargetSilent) fleet.clock.advance(1000);
      }
      expect(fleet.nodes.get('a1')?.board.read('target').id).toEqual('i-a1');
    });
  }

  // Guards against an acknowledged leave of the real target that is forgotten, since another one had its place then.
  it('should not let a late heartbeat bring back the real target after its leave', () => {
    fleet.sendHeartbeat('a1', { id: 'i-foreign', startedAtMs: LATER_START_MS });
    let isAcknowledged = false;
    fleet.nodes.get('a1')?.receiveLeave('i-a1', () => {
      isAcknowledged = true;
    });
    fleet.send('a1');
    fleet.clock.advance(200);
    fleet.sendHeartbeat('a1');
    expect([isAcknowledged, fleet.nodes.get('a1')?.board.read('target').phase]).not.toEqual([true, 'ready']);
  });

  // Guards against a leave without an id that publishes a record which no other node accepts.
  it('should have no effect if it is a leave with an id that no target can have', () => {
    fleet.killNode('a1');
    const node = fleet.startNode('a1');
    node.receiveLeave('', () => undefined);
    node.receiveLeave('i\r\nx: 1', () => undefined);
    expect(node.board.read('target').phase).toEqual('none');
    fleet.clock.advance(RECOVERY_MS);
    verifyService();
  });
});
