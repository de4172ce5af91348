import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '../../src/core/random.js';
import { createRequestFleet } from '../fixtures/requestFleet.js';
import { listRuns, sendPeriodically, stockConfiguration, stockHosts } from '../fixtures/stockFleet.js';
import { sendLeave } from '../fixtures/storeCopyFleet.js';

describe('a target that left, while nodes are restarted', () => {
  // Guards against accepting a late heartbeat after the node was killed right after it acknowledged the leave.
  for (const isStoreUnavailable of [false, true]) {
    it(`should stay left after a restart of its node${isStoreUnavailable ? ' while the store is unavailable' : ''}`, () => {
      const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration });
      if (isStoreUnavailable) fleet.store.blockedHosts.add('*');
      let isAcknowledged = false;
      fleet.nodes.get('a2')?.receiveLeave('i-a2', () => {
        isAcknowledged = true;
        fleet.killNode('a2');
      });
      fleet.targets.delete('a2');
      fleet.clock.advance(1000);
      expect(isAcknowledged).toEqual(!isStoreUnavailable);
      if (isStoreUnavailable) fleet.killNode('a2');
      fleet.startNode('a2');
      fleet.clock.advance(300);
      fleet.sendHeartbeat('a2', { id: 'i-a2', sequence: 1 });
      fleet.sendHeartbeat('a2', { id: 'i-a2', sequence: 2 });
      expect(fleet.nodes.get('a2')?.board.read('target').phase).not.toEqual('ready');
    });
  }

  // Guards against an acknowledgement that only the memory of processes holds, all of which may end at once.
  it('should not be acknowledged and get requests after all nodes were killed while the store was down', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration, sendsHeartbeats: false });
    for (const { host } of stockHosts) for (const sequence of [1, 2]) fleet.sendHeartbeat(host, { sequence });
    fleet.store.blockedHosts.add('*');
    let isAcknowledged = false;
    fleet.nodes.get('a2')?.receiveLeave('i-a2', () => {
      isAcknowledged = true;
    });
    fleet.clock.advance(1000);
    for (const { host } of stockHosts) fleet.killNode(host);
    for (const { host } of stockHosts) fleet.startNode(host);
    fleet.clock.advance(1500);
    fleet.store.blockedHosts.clear();
    fleet.clock.advance(4000);
    const before = listRuns(fleet, 'a2').length;
    sendPeriodically(fleet, 1000);
    const hasLateRuns = listRuns(fleet, 'a2').length > before;
    expect([isAcknowledged, hasLateRuns]).not.toEqual([true, true]);
  });

  // Guards against a restarted node that believes the store's older record although its peers have the leave.
  for (const arePeersLate of [false, true]) {
    it(`should stay left when the store is late with the leave${arePeersLate ? ', and the peers are heard after it' : ''}`, () => {
      const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration });
      fleet.store.delayWrites('a2', { count: 1, lateMs: 5500 });
      fleet.nodes.get('a2')?.receiveLeave('i-a2', () => undefined);
      fleet.clock.advance(900);
      fleet.killNode('a2');
      if (arePeersLate) for (const peer of ['a1', 'a3']) fleet.links.cut('a2', peer);
      fleet.startNode('a2');
      if (arePeersLate) {
        fleet.clock.advance(1000);
        for (const peer of ['a1', 'a3']) fleet.links.heal('a2', peer);
        fleet.clock.advance(2000);
      }
      const before = listRuns(fleet, 'a2').length;
      sendPeriodically(fleet, 8000);
      expect(listRuns(fleet, 'a2').length).toEqual(before);
      expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('left');
    });
  }

  // Guards against a restarted node that forgets a leave because it never heard the service and address of the target.
  it('should stay left after a restart of its node if nothing was known of it before its leave', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration, sendsHeartbeats: false });
    let isAcknowledged = false;
    fleet.nodes.get('a2')?.receiveLeave('i-a2', () => {
      isAcknowledged = true;
    });
    fleet.clock.advance(1000);
    expect(isAcknowledged).toEqual(true);
    fleet.killNode('a2');
    fleet.startNode('a2');
    fleet.clock.advance(1500);
    for (const sequence of [1, 2]) fleet.sendHeartbeat('a2', { sequence });
    expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('left');
  });

  // Guards against a node that takes what its peers know of the leave for an altered copy of its own record.
  it('should stay left when its node published it as ready before it heard its peers', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration, sendsHeartbeats: false });
    for (const sequence of [1, 2]) fleet.sendHeartbeat('a2', { sequence });
    fleet.store.delayWrites('a2', { count: 1, lateMs: 60_000 });
    fleet.nodes.get('a2')?.receiveLeave('i-a2', () => undefined);
    fleet.clock.advance(900);
    fleet.killNode('a2');
    for (const peer of ['a1', 'a3']) fleet.links.cut('a2', peer);
    fleet.startNode('a2');
    fleet.clock.advance(1000);
    for (const sequence of [3, 4, 5]) fleet.sendHeartbeat('a2', { sequence });
    expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('ready');
    fleet.clock.advance(3000);
    for (const peer of ['a1', 'a3']) fleet.links.heal('a2', peer);
    fleet.clock.advance(10_000);
    expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('left');
    expect(fleet.lines.filter(({ kind }) => kind === 'faultFound').map(({ outcome }) => outcome)).toEqual([]);
  });

  // Guards against a process that takes over the leave and is replaced before anybody else hears it from this process.
  it('should stay left after two restarts of its node and a heartbeat that arrives late', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration, sendsHeartbeats: false });
    fleet.sendHeartbeat('a2');
    fleet.nodes.get('a2')?.receiveLeave('i-a2', () => undefined);
    fleet.clock.advance(100);
    for (const upMs of [300, 1500]) {
      fleet.killNode('a2');
      fleet.clock.advance(300);
      fleet.startNode('a2');
      fleet.clock.advance(upMs);
    }
    for (const sequence of [2, 3]) {
      fleet.sendHeartbeat('a2', { sequence });
      fleet.clock.advance(500);
    }
    expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('left');
  });

  // Guards against a new process that writes a record without its target over the one that has the leave.
  for (const upMs of [10, 100, 2000]) {
    it(`should stay left when all nodes are killed, and killed again ${upMs} ms after their start`, () => {
      const fleet = createRequestFleet({
        hosts: stockHosts,
        configuration: stockConfiguration,
        sendsHeartbeats: false,
      });
      fleet.sendHeartbeat('a2');
      fleet.nodes.get('a2')?.receiveLeave('i-a2', () => undefined);
      fleet.clock.advance(100);
      for (const pauseMs of [upMs, 2000]) {
        for (const { host } of stockHosts) fleet.killNode(host);
        fleet.clock.advance(300);
        for (const { host } of stockHosts) fleet.startNode(host);
        fleet.clock.advance(pauseMs);
      }
      for (const sequence of [2, 3]) {
        fleet.sendHeartbeat('a2', { sequence });
        fleet.clock.advance(500);
      }
      expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('left');
    });
  }

  // Guards against a late write of an earlier process that takes the place of the leave at the store.
  it('should stay left when an earlier write of its node reaches the store late, and all nodes are killed then', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration, sendsHeartbeats: false });
    fleet.store.delayWrites('a2', { count: 1, lateMs: 2500 });
    fleet.sendHeartbeat('a2');
    fleet.killNode('a2');
    fleet.startNode('a2');
    fleet.clock.advance(100);
    fleet.sendHeartbeat('a2', { sequence: 2 });
    fleet.sendHeartbeat('a2', { sequence: 3, state: 'draining' });
    fleet.clock.advance(2500);
    for (const { host } of stockHosts) fleet.killNode(host);
    for (const { host } of stockHosts) fleet.startNode(host);
    fleet.clock.advance(2000);
    for (const sequence of [2, 4]) fleet.sendHeartbeat('a2', { sequence, state: 'ready' });
    expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('draining');
  });

  // Guards against an order of kills, late writes, late heartbeats and lost peers after which the leave is forgotten.
  for (let seed = 1; seed <= 20; seed++) {
    it(`should stay left through a series of faults, seed ${seed}`, () => {
      const fleet = createRequestFleet({
        hosts: stockHosts,
        configuration: stockConfiguration,
        seed,
        sendsHeartbeats: false,
      });
      const random = createRandom(seed);
      for (const host of ['a2', 'a3']) fleet.sendHeartbeat(host);
      let sequence = 2;
      const faults: (() => void)[] = [
        () => {
          fleet.killNode('a2');
          fleet.clock.advance(300);
          fleet.startNode('a2');
        },
        () => {
          fleet.store.delayWrites('a2', { count: 1, lateMs: 500 + random() * 5000 });
        },
        () => {
          fleet.sendHeartbeat('a2', { sequence: sequence++ });
        },
        () => {
          const peer = random() < 0.5 ? 'a1' : 'a3';
          fleet.links.cut('a2', peer);
          fleet.clock.schedule(2000 * random(), () => {
            fleet.links.heal('a2', peer);
          });
        },
      ];
      fleet.store.delayWrites('a2', { count: Math.floor(random() * 3), lateMs: 3000 });
      let isAcknowledged = false;
      // Delayed writes end without a response; the target repeats its leave until one is answered.
      for (let attempt = 0; attempt < 5 && !isAcknowledged; attempt++) isAcknowledged = sendLeave(fleet);
      expect(isAcknowledged).toEqual(true);
      for (let step = 0; step < 12; step++) {
        faults[Math.floor(random() * faults.length)]?.();
        fleet.clock.advance(1500 * random());
      }
      fleet.clock.advance(3000);
      const before = listRuns(fleet, 'a2').length;
      sendPeriodically(fleet, 1000);
      expect(listRuns(fleet, 'a2').length).toEqual(before);
      expect(fleet.nodes.get('a2')?.board.read('target').phase).not.toEqual('ready');
    });
  }
});

describe('a target whose node was restarted', () => {
  it('should serve again before its next heartbeat', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration });
    fleet.killNode('a2');
    fleet.clock.advance(100);
    fleet.startNode('a2');
    fleet.clock.advance(60);
    expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('ready');
  });

  // Guards against waiting for hosts that do not respond, as after a loss of power at all hosts.
  it('should serve again soon while its peers do not respond to connection attempts', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration });
    fleet.killNode('a2');
    for (const peer of ['a1', 'a3']) fleet.links.cut('a2', peer);
    fleet.startNode('a2');
    fleet.clock.advance(200);
    expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('ready');
  });

  it('should become ready only after two heartbeats in order when no earlier state is known', () => {
    const fleet = createRequestFleet({
      hosts: [{ host: 'a1', dataCenter: 'd1', service: 'stock' }],
      settleMs: 1,
      sendsHeartbeats: false,
    });
    fleet.killNode('a1');
    fleet.store.blockedHosts.add('*');
    fleet.startNode('a1');
    const getPhase = (): unknown => fleet.nodes.get('a1')?.board.read('target').phase;
    fleet.sendHeartbeat('a1', { sequence: 5 });
    expect(getPhase()).toEqual('none');
    fleet.sendHeartbeat('a1', { sequence: 4 });
    expect(getPhase()).toEqual('none');
    fleet.sendHeartbeat('a1', { sequence: 6 });
    expect(getPhase()).toEqual('ready');
  });
});
