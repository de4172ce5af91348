import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '../../src/core/random.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet, getTarget } from '../fixtures/requestFleet.js';
import type { FleetHost, RequestFleet, SentRequest } from '../fixtures/requestFleet.js';

const configuration = buildRouteConfiguration(1, [buildRoute('check', 'stock')]);
const hosts: FleetHost[] = [
  { host: 'a1', dataCenter: 'd1', service: 'orders' },
  { host: 'a2', dataCenter: 'd1', service: 'stock' },
  { host: 'a3', dataCenter: 'd1', service: 'stock' },
];

/** Sends one request from `a1` every 10 ms for `forMs`, then waits for them to end. */
function sendPeriodically(fleet: RequestFleet, forMs: number): void {
  for (let sentMs = 0; sentMs < forMs; sentMs += 10) {
    fleet.send('a1');
    fleet.clock.advance(10);
  }
  fleet.clock.advance(1000);
}

function listRuns(fleet: RequestFleet, host: string): readonly string[] {
  return fleet.targets.get(host)?.ran ?? [];
}

describe('a target that leaves', () => {
  it('should not receive requests any more once its leave is acknowledged', () => {
    const fleet = createRequestFleet({ hosts, configuration });
    const target = fleet.targets.get('a2');
    if (target !== undefined) target.state = 'draining';
    expect(fleet.sendHeartbeat('a2')).toEqual(true);
    const before = listRuns(fleet, 'a2').length;
    sendPeriodically(fleet, 500);
    expect(listRuns(fleet, 'a2').length).toEqual(before);
    expect(listRuns(fleet, 'a3').length).toEqual(50);
  });

  it('should have its queued requests served by other targets', () => {
    const fleet = createRequestFleet({ hosts: [...hosts], configuration });
    for (const host of ['a2', 'a3']) {
      const target = fleet.targets.get(host);
      if (target !== undefined) target.durationMs = 200;
    }
    const sent = Array.from({ length: 12 }, () => fleet.send('a1'));
    fleet.clock.advance(20);
    let isAcknowledged = false;
    fleet.nodes.get('a2')?.receiveLeave('i-a2', () => {
      isAcknowledged = true;
    });
    fleet.clock.advance(990);
    expect([isAcknowledged, sent.filter(({ answer }) => answer?.status === 200).length]).toEqual([true, 12]);
  });

  // Guards against accepting a late heartbeat after the node was killed right after it acknowledged the leave.
  for (const isStoreUnavailable of [false, true]) {
    it(`should stay left after a restart of its node${isStoreUnavailable ? ' while the store is unavailable' : ''}`, () => {
      const fleet = createRequestFleet({ hosts, configuration });
      if (isStoreUnavailable) fleet.store.blockedHosts.add('*');
      let isAcknowledged = false;
      fleet.nodes.get('a2')?.receiveLeave('i-a2', () => {
        isAcknowledged = true;
        fleet.killNode('a2');
      });
      fleet.targets.delete('a2');
      fleet.clock.advance(1000);
      expect(isAcknowledged).toEqual(true);
      fleet.startNode('a2');
      fleet.clock.advance(300);
      fleet.sendHeartbeat('a2', { id: 'i-a2', sequence: 1 });
      fleet.sendHeartbeat('a2', { id: 'i-a2', sequence: 2 });
      expect(fleet.nodes.get('a2')?.board.read('target').phase).not.toEqual('ready');
    });
  }

  // Guards against a restarted node that believes the store's older record although its peers have the leave.
  for (const arePeersLate of [false, true]) {
    it(`should stay left when the store is late with the leave${arePeersLate ? ', and the peers are heard after it' : ''}`, () => {
      const fleet = createRequestFleet({ hosts, configuration });
      fleet.store.delayWrites('a2', { count: 1, lateMs: 5500 });
      let isAcknowledged = false;
      fleet.nodes.get('a2')?.receiveLeave('i-a2', () => {
        isAcknowledged = true;
        fleet.killNode('a2');
      });
      fleet.clock.advance(900);
      expect(isAcknowledged).toEqual(true);
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

  // Guards against a process that takes over the leave and is replaced before anybody else hears it from this process.
  it('should stay left after two restarts of its node and a heartbeat that arrives late', () => {
    const fleet = createRequestFleet({ hosts, configuration, sendsHeartbeats: false });
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
      const fleet = createRequestFleet({ hosts, configuration, sendsHeartbeats: false });
      fleet.sendHeartbeat('a2');
      fleet.nodes.get('a2')?.receiveLeave('i-a2', () => undefined);
      fleet.clock.advance(100);
      for (const pauseMs of [upMs, 2000]) {
        for (const { host } of hosts) fleet.killNode(host);
        fleet.clock.advance(300);
        for (const { host } of hosts) fleet.startNode(host);
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
    const fleet = createRequestFleet({ hosts, configuration, sendsHeartbeats: false });
    fleet.store.delayWrites('a2', { count: 1, lateMs: 2500 });
    fleet.sendHeartbeat('a2');
    fleet.killNode('a2');
    fleet.startNode('a2');
    fleet.clock.advance(100);
    fleet.sendHeartbeat('a2', { sequence: 2 });
    fleet.sendHeartbeat('a2', { sequence: 3, state: 'draining' });
    fleet.clock.advance(2500);
    for (const { host } of hosts) fleet.killNode(host);
    for (const { host } of hosts) fleet.startNode(host);
    fleet.clock.advance(2000);
    for (const sequence of [2, 4]) fleet.sendHeartbeat('a2', { sequence, state: 'ready' });
    expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('draining');
  });

  // Guards against an order of kills, late writes, late heartbeats and lost peers after which the leave is forgotten.
  for (let seed = 1; seed <= 20; seed++) {
    it(`should stay left through a series of faults, seed ${seed}`, () => {
      const fleet = createRequestFleet({ hosts, configuration, seed, sendsHeartbeats: false });
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
      fleet.nodes.get('a2')?.receiveLeave('i-a2', () => {
        isAcknowledged = true;
      });
      fleet.clock.advance(1000);
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

  // Guards against a restarted node that forgets a leave because it never heard the service and address of the target.
  it('should stay left after a restart of its node if nothing was known of it before its leave', () => {
    const fleet = createRequestFleet({ hosts, configuration, sendsHeartbeats: false });
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

  it('should not become ready again by a heartbeat that was sent before its leave', () => {
    const fleet = createRequestFleet({ hosts, configuration });
    const target = fleet.targets.get('a2');
    if (target !== undefined) target.state = 'draining';
    fleet.sendHeartbeat('a2');
    fleet.sendHeartbeat('a2', { sequence: 1, state: 'ready' });
    expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('draining');
  });

  it('should be replaced by a later start with the same id', () => {
    const fleet = createRequestFleet({ hosts, configuration });
    fleet.nodes.get('a2')?.receiveLeave('i-a2', () => undefined);
    fleet.clock.advance(1000);
    fleet.sendHeartbeat('a2', { sequence: 1, startedAtMs: 1_900_000_000_000 });
    expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('ready');
  });

  // Guards against an acknowledgement that no later process of the node could know of.
  it('should not be acknowledged while neither the store nor two peers have it, and at its next attempt once they do', () => {
    const fleet = createRequestFleet({ hosts, configuration });
    fleet.store.blockedHosts.add('*');
    fleet.links.cut('a2', 'a1');
    fleet.links.cut('a2', 'a3');
    const sendLeave = (): boolean => {
      let isAcknowledged = false;
      fleet.nodes.get('a2')?.receiveLeave('i-a2', () => {
        isAcknowledged = true;
      });
      fleet.clock.advance(999);
      return isAcknowledged;
    };
    const before = listRuns(fleet, 'a2').length;
    fleet.send('a2');
    expect([sendLeave(), listRuns(fleet, 'a2').length]).toEqual([false, before]);
    fleet.clock.advance(5000);
    fleet.links.heal('a2', 'a1');
    fleet.clock.advance(2000);
    expect(sendLeave()).toEqual(false);
    fleet.links.heal('a2', 'a3');
    fleet.clock.advance(2000);
    expect(sendLeave()).toEqual(true);
  });

  // Guards against each announcement that starts a series of retries of its own at a store that is away.
  it('should be written again at one pace while the store is away, however often it is announced', () => {
    const fleet = createRequestFleet({ hosts, configuration });
    fleet.store.blockedHosts.add('*');
    for (let index = 0; index < 10; index++) {
      fleet.nodes.get('a2')?.receiveLeave('i-a2', () => undefined);
      fleet.clock.advance(100);
    }
    const before = fleet.store.calls.writes;
    fleet.clock.advance(10_000);
    expect(fleet.store.calls.writes - before <= 50).toEqual(true);
  });

  // Guards against a second announcement that is acknowledged because the first one was received.
  it('should not be acknowledged by repeating what is not durable yet', () => {
    const fleet = createRequestFleet({ hosts: hosts.slice(0, 2), configuration });
    fleet.store.blockedHosts.add('*');
    const target = fleet.targets.get('a2');
    if (target !== undefined) target.state = 'draining';
    expect([fleet.sendHeartbeat('a2'), fleet.sendHeartbeat('a2')]).toEqual([false, false]);
    fleet.store.blockedHosts.clear();
    fleet.clock.advance(1000);
    expect(fleet.sendHeartbeat('a2')).toEqual(true);
  });
});

describe('a target whose node was restarted', () => {
  it('should serve again before its next heartbeat', () => {
    const fleet = createRequestFleet({ hosts, configuration });
    fleet.killNode('a2');
    fleet.clock.advance(100);
    fleet.startNode('a2');
    fleet.clock.advance(60);
    expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('ready');
  });

  // Guards against waiting for hosts that do not respond, as after a loss of power at all hosts.
  it('should serve again soon while its peers do not respond to connection attempts', () => {
    const fleet = createRequestFleet({ hosts, configuration });
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

describe('a stopping node', () => {
  // Guards against requests on kept connections that are taken in while the process exits, and cut off by its end.
  it('should refuse what it reads between its last check for open requests and its end', () => {
    const fleet = createRequestFleet({ hosts, configuration });
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
    const fleet = createRequestFleet({ hosts, configuration });
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
      hosts,
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
      hosts: hosts.map((entry) => ({ ...entry, slots: 127 })),
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
      hosts: [...hosts, { host: 'b1', dataCenter: 'd2', service: 'orders' }],
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
    const fleet = createRequestFleet({ hosts, configuration });
    fleet.nodes.get('a1')?.stop(() => undefined);
    fleet.clock.advance(1000);
    const sent = fleet.send('a1');
    fleet.clock.advance(100);
    expect(sent.answer?.status).toEqual(200);
  });
});
