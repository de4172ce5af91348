import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createMemberFleet } from '../../src/bench/fakes/memberFleet.js';
import type { MemberFleet } from '../../src/bench/fakes/memberFleet.js';
import type { MemberRecord } from '../../src/schema/member.js';

const isDown = (record: MemberRecord | undefined): boolean => record?.nodeState === 'down';

function createStableFleet(nodes = 16, dataCenters = 2): MemberFleet {
  const fleet = createMemberFleet({ nodes, dataCenters });
  fleet.clock.advance(20_000);
  expect(fleet.listDivergedHosts()).toEqual([]);
  return fleet;
}

function listSameDataCenter(fleet: MemberFleet, dataCenter: string): string[] {
  return [...fleet.hosts.values()]
    .filter(({ options }) => options.dataCenter === dataCenter)
    .map(({ options }) => options.host);
}

/** Number of records of live hosts that any host marked as down, sampled every 100 ms. */
function countFalsePositives(fleet: MemberFleet, durationMs: number, act: (elapsedMs: number) => void): number {
  const removed = new Set<string>();
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
    act(elapsedMs);
    fleet.clock.advance(100);
    for (const { node } of fleet.hosts.values())
      for (const record of node.board.read('members').byId.values())
        if (record.nodeState === 'down' && fleet.hosts.has(record.id)) removed.add(`${record.id} ${record.version}`);
  }
  return removed.size;
}

describe('failure detection', () => {
  it('should mark a failed node as down everywhere in 3 to 6 s', () => {
    const fleet = createStableFleet();
    fleet.killHost('h3');
    fleet.clock.advance(2500);
    expect(fleet.listHostsByRecord('h3', isDown).length).toEqual(0);
    fleet.clock.advance(3500);
    expect(fleet.listHostsByRecord('h3', isDown).length).toEqual(15);
  });

  it('should mark neighbours as down that fail together, as in a rack failure', () => {
    const fleet = createStableFleet(32, 2);
    for (const host of ['h0', 'h2', 'h4', 'h6', 'h8', 'h10']) fleet.killHost(host);
    expect(fleet.measureConvergence(15_000)).not.toEqual(undefined);
  });

  it('should remove the record of a failed node after 10 min and not receive it again from peers', () => {
    const fleet = createStableFleet(6, 2);
    fleet.killHost('h3');
    fleet.clock.advance(640_000);
    expect(fleet.listHostsByRecord('h3', (record) => record !== undefined).length).toEqual(0);
    fleet.clock.advance(30_000);
    expect(fleet.listHostsByRecord('h3', (record) => record !== undefined).length).toEqual(0);
  });

  it('should accept a restarted process at once, although the earlier one was never marked as down', () => {
    const fleet = createStableFleet();
    const { options } = fleet.hosts.get('h3') as { options: Parameters<MemberFleet['startHost']>[0] };
    fleet.killHost('h3');
    fleet.clock.advance(500);
    const replaced = fleet.startHost(options);
    const { incarnation } = replaced.node.board.read('members').self;
    fleet.clock.advance(3000);
    expect(fleet.listHostsByRecord('h3', (record) => record?.incarnation === incarnation).length).toEqual(16);
    fleet.clock.advance(10_000);
    expect(fleet.listHostsByRecord('h3', isDown).length).toEqual(0);
  });

  it('should accept a restarted process whose clock is behind that of the earlier one', () => {
    const fleet = createStableFleet();
    const replaced = fleet.hosts.get('h3');
    const self = replaced?.node.board.read('members').self as MemberRecord;
    const earlier: MemberRecord = {
      ...self,
      incarnation: 'earlier',
      startedAtMs: self.startedAtMs + 60_000,
      version: 9,
    };
    for (const { node, options } of fleet.hosts.values())
      if (options.host !== 'h3')
        node.receiveFrame('h0', 'control', { type: 'members', records: [earlier] }, () => undefined);
    fleet.clock.advance(15_000);
    expect(fleet.listHostsByRecord('h3', (record) => record?.incarnation === self.incarnation).length).toEqual(16);
  });

  it('should handle a reboot loop with limited traffic and converge on the last process', () => {
    const fleet = createStableFleet();
    const { options } = fleet.hosts.get('h3') as { options: Parameters<MemberFleet['startHost']>[0] };
    fleet.resetTraffic();
    for (let count = 0; count < 20; count++) {
      fleet.killHost('h3');
      fleet.clock.advance(500);
      fleet.startHost(options);
      fleet.clock.advance(1500);
    }
    const maxRate = Math.max(...[...fleet.bytesByHost].map(([host, bytes]) => (host === 'h3' ? 0 : bytes / 40)));
    expect(maxRate).toBeLessThan(13_000);
    fleet.clock.advance(5000);
    expect(fleet.listDivergedHosts()).toEqual([]);
  });

  it('should not mark a node as down when its link to one watcher flaps or is cut', () => {
    const fleet = createStableFleet();
    const [host] = listSameDataCenter(fleet, 'd00');
    const watcher = [...fleet.hosts.values()].find(({ node }) => node.board.read('links').watched.has(host ?? ''));
    const name = watcher?.options.host ?? '';
    const falsePositives = countFalsePositives(fleet, 60_000, (elapsedMs) => {
      if (elapsedMs % 4000 === 0) fleet.network.cut(host ?? '', name);
      if (elapsedMs % 4000 === 2000) fleet.network.heal(host ?? '', name);
    });
    expect(falsePositives).toEqual(0);
    fleet.network.cut(host ?? '', name);
    expect(countFalsePositives(fleet, 30_000, () => undefined)).toEqual(0);
  });

  it('should not mark a node as down that is unreachable for one watcher, but one that is unreachable for all', () => {
    const fleet = createStableFleet();
    const [host = ''] = listSameDataCenter(fleet, 'd00');
    const watcher = [...fleet.hosts.values()].find(({ node }) => node.board.read('links').watched.has(host));
    fleet.network.cut(host, watcher?.options.host ?? '', { oneWay: true });
    expect(countFalsePositives(fleet, 30_000, () => undefined)).toEqual(0);
    for (const other of fleet.hosts.keys()) fleet.network.cut(host, other, { oneWay: true });
    fleet.clock.advance(10_000);
    expect(fleet.listHostsByRecord(host, isDown).length).toEqual(15);
    for (const other of fleet.hosts.keys()) fleet.network.heal(host, other);
    expect(fleet.measureConvergence(5000)).not.toEqual(undefined);
  });

  it('should restore a node after a pause with a higher version', () => {
    const fleet = createStableFleet();
    const paused = fleet.hosts.get('h3');
    const version = paused?.node.board.read('members').self.version ?? 0;
    paused?.process.pause();
    fleet.clock.advance(8000);
    expect(fleet.listHostsByRecord('h3', isDown).length).toEqual(15);
    paused?.process.resume();
    expect(fleet.measureConvergence(3000)).not.toEqual(undefined);
    expect(paused?.node.board.read('members').self.version ?? 0).toBeGreaterThan(version);
    fleet.clock.advance(10_000);
    expect(fleet.listDivergedHosts()).toEqual([]);
  });

  it('should not let a paused node mark others as down when it resumes', () => {
    const fleet = createStableFleet();
    const falsePositives = countFalsePositives(fleet, 30_000, (elapsedMs) => {
      const paused = fleet.hosts.get('h5');
      if (elapsedMs === 1000) paused?.process.pause();
      if (elapsedMs === 21_000) paused?.process.resume();
    });
    // Only the paused node itself is marked as down.
    expect(falsePositives).toEqual(1);
  });

  it('should not mark nodes as down that get no CPU time for up to 2 s at a time', () => {
    const fleet = createStableFleet();
    const resumeAtMs = new Map<string, number>();
    const falsePositives = countFalsePositives(fleet, 120_000, (elapsedMs) => {
      for (const [host, { process }] of fleet.hosts) {
        const atMs = resumeAtMs.get(host);
        if (atMs !== undefined && atMs <= elapsedMs) {
          process.resume();
          resumeAtMs.delete(host);
        } else if (atMs === undefined && fleet.random() < 0.05) {
          process.pause();
          resumeAtMs.set(host, elapsedMs + 2000 * fleet.random());
        }
      }
    });
    expect(falsePositives).toEqual(0);
  });
});
