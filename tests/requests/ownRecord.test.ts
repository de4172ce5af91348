import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { NodeMember } from '../../src/schema/nodeMember.js';
import { createRequestFleet } from '../fixtures/requestFleet.js';
import { stockConfiguration, stockHosts } from '../fixtures/stockFleet.js';
import { readStored, sendLeave } from '../fixtures/storeCopyFleet.js';

describe('the record of a host in the store', () => {
  // Guards against a host that later processes do not find, since another writer replaced its record.
  for (const value of [undefined, null, { host: 'a1' }]) {
    it(`should be written again by its host when another writer put in its place: ${JSON.stringify(value)}`, () => {
      const hosts = ['a1', 'a2'].map((host) => ({ host, dataCenter: 'd1', service: 'stock' }));
      const fleet = createRequestFleet({ hosts });
      fleet.store.write('a2', 'a1', value, () => undefined);
      fleet.clock.advance(5000);
      const newest = fleet.store.records.members.filter(({ key }) => key === 'a1').at(-1)?.value;
      expect(newest).toEqual(fleet.nodes.get('a1')?.board.read('members').self);
    });
  }

  // Guards against a late write of the same process that replaces an acknowledged leave, and is found by the next process.
  for (const isRead of [true, false])
    it(`should be written again when a late write of the same process replaced it${isRead ? '' : ' before the response to the newer one'}`, () => {
      const fleet = createRequestFleet({
        hosts: stockHosts,
        configuration: stockConfiguration,
        sendsHeartbeats: false,
      });
      fleet.store.delayWrites('a2', { count: 1, lateMs: 2500 });
      for (const sequence of [1, 2]) fleet.sendHeartbeat('a2', { sequence });
      if (!isRead) fleet.store.delayResponses('a2', { count: 1, lateMs: 700 });
      expect([1, 2, 3].map(() => sendLeave(fleet)).includes(true)).toEqual(true);
      fleet.clock.advance(3000);
      const newest = readStored(fleet, 'a2');
      expect([newest?.target?.phase, newest?.revision]).toEqual([
        'left',
        fleet.nodes.get('a2')?.board.read('members').self.revision,
      ]);
      for (const { host } of stockHosts) fleet.killNode(host);
      for (const { host } of stockHosts) fleet.startNode(host);
      fleet.clock.advance(2000);
      for (const sequence of [1, 2]) fleet.sendHeartbeat('a2', { sequence });
      expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('left');
    });

  // Guards against a late write over an acknowledged leave, while no process lives that would notice it.
  it('should keep the leave when an earlier write is carried out after all nodes were killed', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration, sendsHeartbeats: false });
    fleet.store.isFencing = true;
    fleet.store.delayWrites('a2', { count: 1, lateMs: 6000 });
    for (const sequence of [1, 2]) fleet.sendHeartbeat('a2', { sequence });
    fleet.clock.advance(1000);
    expect([1, 2, 3].map(() => sendLeave(fleet)).includes(true)).toEqual(true);
    for (const { host } of stockHosts) fleet.killNode(host);
    fleet.clock.advance(6000);
    for (const { host } of stockHosts) fleet.startNode(host);
    fleet.clock.advance(2000);
    for (const sequence of [1, 2]) fleet.sendHeartbeat('a2', { sequence });
    expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('left');
  });

  // Guards against a host that is fenced off for as long as the wall clock was set back.
  it('should be written although an earlier process used higher tokens', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration });
    fleet.store.isFencing = true;
    const DAY_MS = 86_400_000;
    fleet.store.write('a2', 'a2', undefined, () => undefined, fleet.clock.wallTime() + DAY_MS);
    fleet.clock.advance(20_000);
    expect(readStored(fleet, 'a2')).toEqual(fleet.nodes.get('a2')?.board.read('members').self as NodeMember);
  });

  // Guards against a node that writes its record again for each older one that it reads behind its last write.
  it('should be written once for each change, also when its older revisions are read later', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration, sendsHeartbeats: false });
    const before = fleet.store.calls.writes;
    for (const sequence of [1, 2]) fleet.sendHeartbeat('a2', { sequence });
    fleet.sendHeartbeat('a2', { sequence: 3, state: 'draining' });
    fleet.nodes.get('a2')?.receiveLeave('i-a2', () => undefined);
    fleet.clock.advance(30_000);
    expect(fleet.store.calls.writes - before).toEqual(3);
  });
});
