import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { StoreCopy } from '../fixtures/fakeStore.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet, getTarget } from '../fixtures/requestFleet.js';
import type { FleetHost, RequestFleet } from '../fixtures/requestFleet.js';
import { stockConfiguration, stockHosts } from '../fixtures/stockFleet.js';
import { createStoreCopyFleet, NOTICE_MS, readStored, restartNodes } from '../fixtures/storeCopyFleet.js';

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
      const fleet = createStoreCopyFleet();
      fleet.store.restoreCopy(addPredecessor(fleet));
      if (isLonger) appendMembers(fleet);
      expect(readStored(fleet, 'old')).not.toEqual(undefined);
      fleet.clock.advance(NOTICE_MS);
      expect(readStored(fleet, 'old')).toEqual(undefined);
      for (const { host } of stockHosts)
        expect(fleet.nodes.get(host)?.board.read('members').byHost.has('old')).toEqual(false);
    });
  }

  // Guards against a deletion that fails once and is not tried again, since the record is read only once.
  it('should be deleted again by a host whose writes fail at first', () => {
    const fleet = createStoreCopyFleet();
    const copy = addPredecessor(fleet);
    fleet.store.restoreCopy(copy);
    fleet.store.delayWrites('a2', { count: 2, lateMs: 100_000 });
    fleet.clock.advance(3 * NOTICE_MS);
    expect(readStored(fleet, 'old')).toEqual(undefined);
  });

  // Guards against the newest records of the old era, which arrive late and leave their offset in use.
  it('should be deleted again when the newest records of the old era arrive after the new era is known', () => {
    const fleet = createStoreCopyFleet();
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
    const fleet = createStoreCopyFleet();
    const copy = fleet.store.takeCopy();
    fleet.store.publish(buildRouteConfiguration(2, [buildRoute('check', 'stock'), buildRoute('added', 'stock')]));
    getTarget(fleet, 'a3').state = 'draining';
    fleet.clock.advance(NOTICE_MS);
    fleet.store.restoreCopy(copy);
    for (let passedMs = 0; passedMs < 2 * NOTICE_MS; passedMs += 10) {
      fleet.clock.advance(10);
      for (const { host } of stockHosts) {
        const board = fleet.nodes.get(host)?.board;
        expect(board?.read('routes').version).toEqual(2);
        if (host !== 'a3') expect(board?.read('members').byHost.get('a3')?.target?.phase).toEqual('draining');
      }
    }
  });

  // Guards against routes and withdrawn keys that a new process takes from the copy, while its peers know better.
  it('should not be in force at a process that starts, once it is ready', () => {
    const fleet = createStoreCopyFleet();
    const copy = fleet.store.takeCopy();
    fleet.store.publish(buildRouteConfiguration(2, [buildRoute('check', 'stock')]));
    fleet.clock.advance(NOTICE_MS);
    fleet.store.restoreCopy(copy);
    restartNodes(fleet, ['a2']);
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
      const fleet = createStoreCopyFleet();
      const copy = fleet.store.takeCopy();
      for (let version = 2; version < 6; version++)
        fleet.store.publish(buildRouteConfiguration(version, [buildRoute('check', 'stock')]));
      fleet.clock.advance(NOTICE_MS);
      fleet.store.restoreCopy(copy);
      for (let index = 0; index <= grownBy; index++)
        fleet.store.publish(buildRouteConfiguration(6, [buildRoute('check', 'stock')]));
      fleet.clock.advance(NOTICE_MS);
      for (const { host } of stockHosts) expect(fleet.nodes.get(host)?.board.read('routes').version).toEqual(6);
    });
  }

  // Guards against a second series of reads beside the one that an earlier era has started.
  it('should not be read more often after many restores', () => {
    const fleet = createStoreCopyFleet();
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
    expect(countReads() <= usual + stockHosts.length).toEqual(true);
  });

  it('should not be read again and again after a response of the old era that arrives late', () => {
    const fleet = createStoreCopyFleet();
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
      const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration, settleMs: 0 });
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
    const fleet = createStoreCopyFleet({ hosts: largeFleet });
    fleet.clock.advance(5000);
    fleet.store.restoreCopy({ ...fleet.store.takeCopy(), members: [] });
    fleet.clock.advance(2 * NOTICE_MS);
    const missing = largeFleet.filter(({ host }) => readStored(fleet, host) === undefined);
    expect(missing).toEqual([]);
  });
});
