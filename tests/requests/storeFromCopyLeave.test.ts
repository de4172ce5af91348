import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '../../src/core/random.js';
import { getTarget } from '../fixtures/requestFleet.js';
import type { RequestFleet } from '../fixtures/requestFleet.js';
import { stockHosts } from '../fixtures/stockFleet.js';
import {
  countLateArrivals,
  createStoreCopyFleet,
  NOTICE_MS,
  readStored,
  restartNodes,
  sendLeave,
} from '../fixtures/storeCopyFleet.js';

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
      const fleet = createStoreCopyFleet();
      const copy = fleet.store.takeCopy();
      expect(sendLeave(fleet)).toEqual(true);
      fleet.store.restoreCopy(copy);
      fleet.clock.advance(afterMs);
      restartNodes(fleet, names);
      expect(countLateArrivals(fleet)).toEqual(0);
      expect([fleet.nodes.get('a2')?.board.read('target').phase, readStored(fleet, 'a2')?.target?.phase]).toEqual([
        'left',
        'left',
      ]);
    });
  }

  // Guards against a host that goes on from its old offset and never sees a 410, since the offset was assigned again.
  it('should not receive requests when the log has grown past the cached offsets again', () => {
    const fleet = createStoreCopyFleet();
    const copy = fleet.store.takeCopy();
    expect(sendLeave(fleet)).toEqual(true);
    fleet.store.restoreCopy(copy);
    for (let index = 0; index < 20; index++)
      fleet.store.write('a1', `other${index}`, { host: `other${index}` }, () => undefined);
    fleet.clock.advance(NOTICE_MS);
    expect(readStored(fleet, 'a2')?.target?.phase).toEqual('left');
    restartNodes(fleet, ['a1', 'a2', 'a3']);
    expect(countLateArrivals(fleet)).toEqual(0);
  });

  it('should not receive requests when the store is restored twice in a row', () => {
    for (const betweenMs of [0, 5, 200, 1500, NOTICE_MS]) {
      const fleet = createStoreCopyFleet();
      const copy = fleet.store.takeCopy();
      expect(sendLeave(fleet)).toEqual(true);
      fleet.store.restoreCopy(copy);
      fleet.clock.advance(betweenMs);
      fleet.store.restoreCopy(copy);
      fleet.clock.advance(NOTICE_MS);
      expect(readStored(fleet, 'a2')?.target?.phase).toEqual('left');
      restartNodes(fleet, ['a1', 'a2', 'a3']);
      expect(countLateArrivals(fleet)).toEqual(0);
    }
  });

  // Guards against a host that hears of the restore from peers only and keeps its record from before.
  it('should be written again by a host that the store turned away while the others heard of it', () => {
    const fleet = createStoreCopyFleet();
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
    const fleet = createStoreCopyFleet();
    const copy = fleet.store.takeCopy();
    expect(sendLeave(fleet)).toEqual(true);
    fleet.store.restoreCopy(copy);
    for (const { host } of stockHosts) fleet.store.refuseReads(host, 3);
    fleet.clock.advance(2 * NOTICE_MS);
    expect(readStored(fleet, 'a2')?.target?.phase).toEqual('left');
    for (const { host } of stockHosts)
      expect(fleet.nodes.get(host)?.board.read('members').storeReadAtMs).not.toEqual(undefined);
    restartNodes(fleet, ['a1', 'a2', 'a3']);
    expect(countLateArrivals(fleet)).toEqual(0);
  });

  it('should be written again with the limit that it named', () => {
    const fleet = createStoreCopyFleet();
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
      const fleet = createStoreCopyFleet({ seed });
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
          restartNodes(fleet, ['a2']);
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
      restartNodes(fleet, ['a1', 'a2', 'a3']);
      expect(countLateArrivals(fleet)).toEqual(0);
    });
  }
});

describe('an acknowledgement while the store comes back from an older copy', () => {
  // Guards against an acknowledgement by a write that was lost with the records of the old era.
  it('should not count a write whose response arrives late from before the restore', () => {
    const fleet = createStoreCopyFleet();
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
    const fleet = createStoreCopyFleet();
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
    const fleet = createStoreCopyFleet();
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
