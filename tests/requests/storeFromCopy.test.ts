import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '../../src/core/random.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet, getTarget } from '../fixtures/requestFleet.js';
import type { StoreCopy } from '../fixtures/fakeStore.js';
import type { FleetHost, RequestFleet } from '../fixtures/requestFleet.js';
import type { NodeMember } from '../../src/schema/nodeMember.js';

const configuration = buildRouteConfiguration(1, [buildRoute('check', 'stock')]);
const hosts: FleetHost[] = [
  { host: 'a1', dataCenter: 'd1', service: 'orders' },
  { host: 'a2', dataCenter: 'd1', service: 'stock' },
  { host: 'a3', dataCenter: 'd1', service: 'stock' },
];
/** Time within which every host hears of a restore: the wait of a read for configurations, and some pauses (ms). */
const NOTICE_MS = 3000;

function createFleet(options: Partial<Parameters<typeof createRequestFleet>[0]> = {}): RequestFleet {
  const fleet = createRequestFleet({ hosts, configuration, settleMs: 0, ...options });
  fleet.store.era = 1;
  fleet.clock.advance(5000);
  return fleet;
}

/** Returns the newest record of a host at the store. */
function readStored(fleet: RequestFleet, host: string): NodeMember | undefined {
  return fleet.store.records.members.findLast(({ key }) => key === host)?.value as NodeMember | undefined;
}

/** Lets the target of `a2` leave; returns whether this is acknowledged within a second. */
function sendLeave(fleet: RequestFleet): boolean {
  let isAcknowledged = false;
  fleet.nodes.get('a2')?.receiveLeave('i-a2', () => {
    isAcknowledged = true;
  });
  fleet.clock.advance(999);
  return isAcknowledged;
}

function restart(fleet: RequestFleet, names: readonly string[]): void {
  for (const host of names) fleet.killNode(host);
  fleet.clock.advance(300);
  for (const host of names) fleet.startNode(host);
}

/** Sends requests to all hosts for 2 s; returns how many of them reached the target of `a2`. */
function countLateArrivals(fleet: RequestFleet): number {
  const { ran } = getTarget(fleet, 'a2');
  const before = ran.length;
  for (let sentMs = 0; sentMs < 2000; sentMs += 10) {
    for (const { host } of hosts) fleet.send(host);
    fleet.clock.advance(10);
  }
  fleet.clock.advance(1000);
  return ran.length - before;
}

function countOutcomes(fleet: RequestFleet, host: string, outcome: string): number {
  return fleet.lines.filter((line) => line.host === host && line.outcome === outcome).length;
}

describe('a target that left before the store came back from an older copy', () => {
  const restarts: [string, number, readonly string[]][] = [
    ['its host at once', 0, ['a2']],
    ['its host shortly after', 500, ['a2']],
    ['its host later', NOTICE_MS, ['a2']],
    ['all hosts once they have heard of it', NOTICE_MS, ['a1', 'a2', 'a3']],
  ];
  for (const [what, afterMs, names] of restarts) {
    // Guards against a leave that is forgotten with the records which the copy lacks.
    it(`should not receive requests after a restart of ${what}`, () => {
      const fleet = createFleet();
      const copy = fleet.store.takeCopy();
      expect(sendLeave(fleet)).toEqual(true);
      fleet.store.restoreCopy(copy);
      fleet.clock.advance(afterMs);
      restart(fleet, names);
      expect(countLateArrivals(fleet)).toEqual(0);
      expect([fleet.nodes.get('a2')?.board.read('target').phase, readStored(fleet, 'a2')?.target?.phase]).toEqual([
        'left',
        'left',
      ]);
    });
  }

  // Guards against a host that goes on from its old offset and never sees a 410, since the offset was assigned again.
  it('should not receive requests when the log has grown past the cached offsets again', () => {
    const fleet = createFleet();
    const copy = fleet.store.takeCopy();
    expect(sendLeave(fleet)).toEqual(true);
    fleet.store.restoreCopy(copy);
    for (let index = 0; index < 20; index++)
      fleet.store.write('a1', `other${index}`, { host: `other${index}` }, () => undefined);
    fleet.clock.advance(NOTICE_MS);
    expect(readStored(fleet, 'a2')?.target?.phase).toEqual('left');
    restart(fleet, ['a1', 'a2', 'a3']);
    expect(countLateArrivals(fleet)).toEqual(0);
  });

  it('should not receive requests when the store is restored twice in a row', () => {
    for (const betweenMs of [0, 5, 200, 1500, NOTICE_MS]) {
      const fleet = createFleet();
      const copy = fleet.store.takeCopy();
      expect(sendLeave(fleet)).toEqual(true);
      fleet.store.restoreCopy(copy);
      fleet.clock.advance(betweenMs);
      fleet.store.restoreCopy(copy);
      fleet.clock.advance(NOTICE_MS);
      expect(readStored(fleet, 'a2')?.target?.phase).toEqual('left');
      restart(fleet, ['a1', 'a2', 'a3']);
      expect(countLateArrivals(fleet)).toEqual(0);
    }
  });

  // Guards against a host that hears of the restore from peers only and keeps its record from before.
  it('should be written again by a host that the store turned away while the others heard of it', () => {
    const fleet = createFleet();
    const copy = fleet.store.takeCopy();
    expect(sendLeave(fleet)).toEqual(true);
    fleet.store.blockedHosts.add('a2');
    fleet.store.restoreCopy(copy);
    fleet.clock.advance(NOTICE_MS);
    expect(fleet.nodes.get('a2')?.board.read('store').era).toEqual(2);
    expect(readStored(fleet, 'a2')?.target?.phase).toEqual('ready');
    fleet.store.blockedHosts.clear();
    fleet.clock.advance(NOTICE_MS);
    expect(readStored(fleet, 'a2')?.target?.phase).toEqual('left');
    expect(countLateArrivals(fleet)).toEqual(0);
  });

  // Guards against offsets that stay in use since the read that told of the restore returned no records.
  it('should be written again when the reads that tell of the restore fail', () => {
    const fleet = createFleet();
    const copy = fleet.store.takeCopy();
    expect(sendLeave(fleet)).toEqual(true);
    fleet.store.restoreCopy(copy);
    for (const { host } of hosts) fleet.store.refuseReads(host, 3);
    fleet.clock.advance(2 * NOTICE_MS);
    expect(readStored(fleet, 'a2')?.target?.phase).toEqual('left');
    for (const { host } of hosts)
      expect(fleet.nodes.get(host)?.board.read('members').storeReadAtMs).not.toEqual(undefined);
    restart(fleet, ['a1', 'a2', 'a3']);
    expect(countLateArrivals(fleet)).toEqual(0);
  });

  it('should be written again with the limit that it named', () => {
    const fleet = createFleet();
    const copy = fleet.store.takeCopy();
    getTarget(fleet, 'a2').ratePerSecond = 7;
    for (let sent = 0; sent < 20; sent++) fleet.send('a1');
    fleet.clock.advance(1000);
    expect(readStored(fleet, 'a2')?.target?.ratePerSecond).toEqual(7);
    fleet.store.restoreCopy(copy);
    expect(readStored(fleet, 'a2')?.target?.ratePerSecond).toEqual(undefined);
    fleet.clock.advance(NOTICE_MS);
    expect(readStored(fleet, 'a2')?.target?.ratePerSecond).toEqual(7);
  });
});

describe('a target that left, through a series of faults', () => {
  // Guards against an order of restores, kills, late responses and refusals after which the leave is forgotten.
  for (let seed = 1; seed <= 20; seed++) {
    it(`should not receive requests, seed ${seed}`, () => {
      const fleet = createFleet({ seed });
      const random = createRandom(seed);
      let copy = fleet.store.takeCopy();
      const faults: (() => void)[] = [
        () => {
          fleet.store.restoreCopy(copy);
        },
        () => {
          copy = fleet.store.takeCopy();
        },
        () => {
          restart(fleet, ['a2']);
        },
        () => {
          fleet.store.delayResponses('a2', { count: 3, lateMs: 3000 * random() });
        },
        () => {
          fleet.store.delayWrites('a2', { count: 1, lateMs: 5000 * random() });
        },
        () => {
          fleet.store.refuseReads('a2', 3);
        },
        () => {
          const peer = random() < 0.5 ? 'a1' : 'a3';
          fleet.links.cut('a2', peer);
          fleet.clock.schedule(2000 * random(), () => {
            fleet.links.heal('a2', peer);
          });
        },
      ];
      expect(sendLeave(fleet)).toEqual(true);
      for (let step = 0; step < 14; step++) {
        faults[Math.floor(random() * faults.length)]?.();
        fleet.clock.advance(1500 * random());
      }
      fleet.clock.advance(10_000);
      expect(readStored(fleet, 'a2')?.target?.phase).toEqual('left');
      restart(fleet, ['a1', 'a2', 'a3']);
      expect(countLateArrivals(fleet)).toEqual(0);
    });
  }
});

describe('an acknowledgement while the store comes back from an older copy', () => {
  // Guards against an acknowledgement by a write that was lost with the records of the old era.
  it('should not count a write whose response arrives late from before the restore', () => {
    const fleet = createFleet();
    const copy = fleet.store.takeCopy();
    for (const peer of ['a1', 'a3']) fleet.links.cut('a2', peer);
    fleet.store.delayResponses('a2', { count: 1, lateMs: 50 });
    let storedPhase: string | undefined;
    fleet.nodes.get('a2')?.receiveLeave('i-a2', () => {
      storedPhase = readStored(fleet, 'a2')?.target?.phase ?? 'none';
    });
    fleet.clock.advance(10);
    expect(readStored(fleet, 'a2')?.target?.phase).toEqual('left');
    fleet.store.restoreCopy(copy);
    fleet.nodes.get('a2')?.board.post('store', { era: 2, source: 'test' });
    fleet.clock.advance(990);
    expect(storedPhase).toEqual('left');
    expect(countOutcomes(fleet, 'a2', 'era 2')).toEqual(1);
  });

  // Guards against counting a write that was sent before the restore and is answered after it.
  it('should count only a write that was begun after the host knew of the restore', () => {
    const fleet = createFleet();
    for (const peer of ['a1', 'a3']) fleet.links.cut('a2', peer);
    fleet.store.restoreCopy(fleet.store.takeCopy());
    const before = fleet.store.records.members.length;
    let written = 0;
    fleet.nodes.get('a2')?.receiveLeave('i-a2', () => {
      written = fleet.store.records.members.length - before;
    });
    fleet.clock.advance(990);
    expect(written).toEqual(2);
  });

  it('should be withheld while the store of the new era refuses writes and no peer holds the record', () => {
    const fleet = createFleet();
    const copy = fleet.store.takeCopy();
    for (const peer of ['a1', 'a3']) fleet.links.cut('a2', peer);
    fleet.store.restoreCopy(copy);
    fleet.clock.advance(NOTICE_MS);
    fleet.store.blockedHosts.add('a2');
    expect(sendLeave(fleet)).toEqual(false);
    fleet.store.blockedHosts.clear();
    fleet.clock.advance(1000);
    expect(sendLeave(fleet)).toEqual(true);
  });
});

describe('records that come back with an older copy', () => {
  /** Adds a record of an earlier host at the address of `a2`; returns a copy of the store in which it still exists. */
  function addPredecessor(fleet: RequestFleet): StoreCopy {
    const predecessor = { ...fleet.nodes.get('a2')?.board.read('members').self, host: 'old', startedAtMs: 1 };
    fleet.store.write('a1', 'old', predecessor, () => undefined);
    fleet.clock.advance(5);
    const copy = fleet.store.takeCopy();
    fleet.clock.advance(NOTICE_MS);
    expect(fleet.store.records.members.some(({ key, value }) => key === 'old' && value === undefined)).toEqual(true);
    return copy;
  }
  function appendMembers(fleet: RequestFleet): void {
    for (let index = 0; index < 20; index++) fleet.store.write('a1', 'other', { index }, () => undefined);
  }

  for (const isLonger of [false, true]) {
    it(`should be deleted again when they belong to a predecessor, the log is ${isLonger ? 'longer' : 'shorter'} than before`, () => {
      const fleet = createFleet();
      fleet.store.restoreCopy(addPredecessor(fleet));
      if (isLonger) appendMembers(fleet);
      expect(readStored(fleet, 'old')).not.toEqual(undefined);
      fleet.clock.advance(NOTICE_MS);
      expect(readStored(fleet, 'old')).toEqual(undefined);
      for (const { host } of hosts)
        expect(fleet.nodes.get(host)?.board.read('members').byHost.has('old')).toEqual(false);
    });
  }

  // Guards against a deletion that fails once and is not tried again, since the record is read only once.
  it('should be deleted again by a host whose writes fail at first', () => {
    const fleet = createFleet();
    const copy = addPredecessor(fleet);
    fleet.store.restoreCopy(copy);
    fleet.store.delayWrites('a2', { count: 2, lateMs: 100_000 });
    fleet.clock.advance(3 * NOTICE_MS);
    expect(readStored(fleet, 'old')).toEqual(undefined);
  });

  // Guards against the newest records of the old era, which arrive late and leave their offset in use.
  it('should be deleted again when the newest records of the old era arrive after the new era is known', () => {
    const fleet = createFleet();
    const copy = addPredecessor(fleet);
    fleet.killNode('a2');
    fleet.store.delayResponses('a2', { count: 2, lateMs: 400 });
    fleet.startNode('a2');
    fleet.clock.advance(10);
    fleet.store.restoreCopy(copy);
    appendMembers(fleet);
    fleet.nodes.get('a2')?.board.post('store', { era: 2, source: 'a1' });
    fleet.clock.advance(2 * NOTICE_MS);
    expect(readStored(fleet, 'old')).toEqual(undefined);
  });

  // Guards against a node that goes back to routes, keys or members that were replaced before the restore.
  it('should not replace newer configurations and members', () => {
    const fleet = createFleet();
    const copy = fleet.store.takeCopy();
    fleet.store.publish(buildRouteConfiguration(2, [buildRoute('check', 'stock'), buildRoute('added', 'stock')]));
    getTarget(fleet, 'a3').state = 'draining';
    fleet.clock.advance(NOTICE_MS);
    fleet.store.restoreCopy(copy);
    for (let passedMs = 0; passedMs < 2 * NOTICE_MS; passedMs += 10) {
      fleet.clock.advance(10);
      for (const { host } of hosts) {
        const board = fleet.nodes.get(host)?.board;
        expect(board?.read('routes').version).toEqual(2);
        if (host !== 'a3') expect(board?.read('members').byHost.get('a3')?.target?.phase).toEqual('draining');
      }
    }
  });

  // Guards against routes and withdrawn keys that a new process takes from the copy, while its peers know better.
  it('should not be in force at a process that starts, once it is ready', () => {
    const fleet = createFleet();
    const copy = fleet.store.takeCopy();
    fleet.store.publish(buildRouteConfiguration(2, [buildRoute('check', 'stock')]));
    fleet.clock.advance(NOTICE_MS);
    fleet.store.restoreCopy(copy);
    restart(fleet, ['a2']);
    const board = fleet.nodes.get('a2')?.board;
    let readyAfterMs: number | undefined;
    for (let passedMs = 0; passedMs < 2000; passedMs++) {
      fleet.clock.advance(1);
      if (board?.read('node').phase !== 'ready') continue;
      readyAfterMs ??= passedMs;
      expect(board.read('routes').version).toEqual(2);
    }
    expect((readyAfterMs ?? Infinity) < 400).toEqual(true);
  });

  // Guards against a change that nobody hears of since every host waits at an offset that the store no longer has.
  for (const grownBy of [0, 20]) {
    it(`should not hide a later configuration when the log is ${grownBy > 0 ? 'longer' : 'shorter'} than before`, () => {
      const fleet = createFleet();
      const copy = fleet.store.takeCopy();
      for (let version = 2; version < 6; version++)
        fleet.store.publish(buildRouteConfiguration(version, [buildRoute('check', 'stock')]));
      fleet.clock.advance(NOTICE_MS);
      fleet.store.restoreCopy(copy);
      for (let index = 0; index <= grownBy; index++)
        fleet.store.publish(buildRouteConfiguration(6, [buildRoute('check', 'stock')]));
      fleet.clock.advance(NOTICE_MS);
      for (const { host } of hosts) expect(fleet.nodes.get(host)?.board.read('routes').version).toEqual(6);
    });
  }

  // Guards against a second series of reads beside the one that an earlier era has started.
  it('should not be read more often after many restores', () => {
    const fleet = createFleet();
    const countReads = (): number => {
      const before = fleet.store.calls.reads;
      fleet.clock.advance(100_000);
      return fleet.store.calls.reads - before;
    };
    const usual = countReads();
    for (let index = 0; index < 10; index++) {
      appendMembers(fleet);
      fleet.clock.advance(100);
      fleet.store.restoreCopy(fleet.store.takeCopy());
      fleet.store.publish(buildRouteConfiguration(2 + index, [buildRoute('check', 'stock')]));
      fleet.clock.advance(100 * index);
    }
    fleet.clock.advance(NOTICE_MS);
    expect(countReads() <= usual + hosts.length).toEqual(true);
  });

  it('should not be read again and again after a response of the old era that arrives late', () => {
    const fleet = createFleet();
    fleet.store.delayResponses('a1', { count: 2, lateMs: 400 });
    const copy = fleet.store.takeCopy();
    fleet.store.publish(buildRouteConfiguration(2, [buildRoute('check', 'stock')]));
    fleet.clock.advance(10);
    fleet.store.restoreCopy(copy);
    fleet.clock.advance(NOTICE_MS);
    const before = fleet.store.calls.reads;
    fleet.clock.advance(10_000);
    expect(fleet.nodes.get('a1')?.board.read('store').era).toEqual(2);
    expect(fleet.store.calls.reads - before < 40).toEqual(true);
  });
});

describe('a store that names no era', () => {
  it('should be read and written as often as before', () => {
    const counts = [undefined, 1].map((era) => {
      const fleet = createRequestFleet({ hosts, configuration, settleMs: 0 });
      fleet.store.era = era;
      fleet.clock.advance(10_000);
      return fleet.store.calls;
    });
    expect(counts[0]).toEqual(counts[1] ?? { reads: 0, writes: 0 });
  });
});

describe('a large fleet whose store comes back from an older copy', () => {
  // Guards against hosts that do not read the store and keep offsets and records of the old era for minutes.
  it('should write all records again, also those of hosts that do not read the store', () => {
    const largeFleet: FleetHost[] = Array.from({ length: 30 }, (_, index) => ({
      host: `h${index}`,
      dataCenter: `d${index % 2}`,
      service: index % 2 === 0 ? 'stock' : 'orders',
    }));
    const fleet = createFleet({ hosts: largeFleet });
    fleet.clock.advance(5000);
    fleet.store.restoreCopy({ ...fleet.store.takeCopy(), members: [] });
    fleet.clock.advance(2 * NOTICE_MS);
    const missing = largeFleet.filter(({ host }) => readStored(fleet, host) === undefined);
    expect(missing).toEqual([]);
  });
});
