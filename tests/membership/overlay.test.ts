import { describe, it } from 'node:test';
import { expect } from 'earl';
import { describeMemberHosts } from '../../src/bench/fakes/memberFleet.js';
import { createMemberTable, mergeMember, putMember, removeMember } from '../../src/policy/memberMerge.js';
import type { MemberTable } from '../../src/policy/memberMerge.js';
import { computeOverlay, selectGateways } from '../../src/policy/overlay.js';
import type { MemberRecord } from '../../src/schema/member.js';

function createRecord(host: string, dataCenter: string, region: string): MemberRecord {
  return {
    id: host,
    incarnation: 'i',
    startedAtMs: 1,
    version: 1,
    region,
    dataCenter,
    peerAddress: 'a:1',
    callerAddress: 'a:2',
    operatorAddress: 'a:3',
    targetState: 'none',
    nodeState: 'alive',
  };
}

function createTable(nodes: number, dataCenters: number, regions: number): MemberTable {
  const table = createMemberTable();
  for (const { host, dataCenter, region = '' } of describeMemberHosts({ nodes, dataCenters, regions }))
    putMember(table, createRecord(host, dataCenter, region));
  return table;
}

/** Collects the hosts that an update from one host reaches over the links of running hosts. */
function collectReached(table: MemberTable, isRunning: (record: MemberRecord) => boolean): Set<string> {
  const running = [...table.byId.values()].filter(isRunning);
  const [first] = running;
  const reached = new Set(first === undefined ? [] : [first.id]);
  for (const id of reached) {
    const self = table.byId.get(id) as MemberRecord;
    for (const neighbour of computeOverlay({ table, self }).neighbours)
      if (isRunning(table.byId.get(neighbour) as MemberRecord)) reached.add(neighbour);
  }
  return reached;
}

describe('overlay', () => {
  it('should link neighbours symmetrically, so that heartbeats are sent in both directions', () => {
    const table = createTable(200, 19, 5);
    const links = new Map([...table.byId].map(([id, self]) => [id, computeOverlay({ table, self }).neighbours]));
    for (const [id, neighbours] of links)
      for (const neighbour of neighbours) expect(links.get(neighbour)?.has(id)).toEqual(true);
  });

  it('should keep the number of links logarithmic at 1300 nodes', () => {
    const table = createTable(1300, 19, 5);
    const counts = [...table.byId.values()].map((self) => computeOverlay({ table, self }).neighbours.size);
    // 68 or 69 nodes per data centre: at most 2 x 7 links on the ring and 2 x 5 x 2 links to other data centres.
    expect(Math.max(...counts)).toBeLessThan(35);
  });

  for (const region of ['r0', 'r1', 'r2', 'r3', 'r4']) {
    it(`should keep all other nodes connected while region ${region} is unreachable`, () => {
      const table = createTable(200, 19, 5);
      const remaining = [...table.byId.values()].filter((record) => record.region !== region);
      expect(collectReached(table, (record) => record.region !== region).size).toEqual(remaining.length);
    });
  }

  it('should keep all nodes connected when one gateway of each data centre has failed undetected', () => {
    const table = createTable(200, 19, 5);
    const failed = new Set([...table.rings.values()].map((ring) => selectGateways(ring)[0]));
    expect(collectReached(table, ({ id }) => !failed.has(id)).size).toEqual(200 - failed.size);
  });
});

describe('member table', () => {
  it('should prefer a down record to the same version and a higher version to a down record', () => {
    const table = createTable(3, 1, 1);
    const record = table.byId.get('h1') as MemberRecord;
    expect(mergeMember(table, { ...record, nodeState: 'down' })).toEqual(true);
    expect(mergeMember(table, record)).toEqual(false);
    expect(mergeMember(table, { ...record, version: 2 })).toEqual(true);
    expect(table.rings.get('d00')?.length).toEqual(3);
  });

  it('should ignore a down record of an unknown node, so that removed nodes are not added again', () => {
    const table = createTable(3, 1, 1);
    const record = table.byId.get('h1') as MemberRecord;
    removeMember(table, 'h1');
    expect(mergeMember(table, { ...record, nodeState: 'down' })).toEqual(false);
    expect(table.rings.get('d00')?.length).toEqual(2);
  });

  it('should compute equal digests for equal records in any order and different ones after a change', () => {
    const [left, right] = [createTable(10, 2, 1), createMemberTable()];
    for (const record of [...left.byId.values()].reverse()) putMember(right, { ...record, version: 0 });
    expect(right.digests).not.toEqual(left.digests);
    for (const record of left.byId.values()) mergeMember(right, record);
    expect(right.digests).toEqual(left.digests);
  });
});
