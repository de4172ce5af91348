import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createMemberFleet } from '../../src/bench/fakes/memberFleet.js';
import type { MemberFleet } from '../../src/bench/fakes/memberFleet.js';

function listDown(fleet: MemberFleet): string[] {
  const down = new Set<string>();
  for (const { node } of fleet.hosts.values())
    for (const record of node.board.read('members').byId.values()) if (record.nodeState === 'down') down.add(record.id);
  return [...down].sort();
}

function updateRegionCut(fleet: MemberFleet, region: string, act: 'cut' | 'heal'): void {
  const dataCenters = new Map([...fleet.hosts.values()].map(({ options }) => [options.dataCenter, options.region]));
  for (const [left, leftRegion] of dataCenters)
    for (const [right, rightRegion] of dataCenters)
      if (leftRegion === region && rightRegion !== region) fleet.network[act](left, right);
}

function listUnreachable(fleet: MemberFleet, host: string): string[] {
  return [...(fleet.hosts.get(host)?.node.board.read('members').unreachableDataCenters ?? [])].sort();
}

describe('partitions', () => {
  it('should keep the records of a data centre that is cut off, and route to it again after the partition', () => {
    const fleet = createMemberFleet({ nodes: 24, dataCenters: 4 });
    fleet.clock.advance(20_000);
    for (const other of ['d01', 'd02', 'd03']) fleet.network.cut('d00', other);
    fleet.clock.advance(15_000);
    expect(listUnreachable(fleet, 'h1')).toEqual(['d00']);
    expect(listUnreachable(fleet, 'h0')).toEqual(['d01', 'd02', 'd03']);
    fleet.clock.advance(180_000);
    expect(listDown(fleet)).toEqual([]);
    for (const other of ['d01', 'd02', 'd03']) fleet.network.heal('d00', other);
    fleet.clock.advance(5000);
    for (const host of fleet.hosts.keys()) expect(listUnreachable(fleet, host)).toEqual([]);
  });

  it('should converge after a partition between regions with changes on both sides, with limited traffic', () => {
    const fleet = createMemberFleet({ nodes: 100, dataCenters: 19, regions: 5 });
    fleet.clock.advance(30_000);
    updateRegionCut(fleet, 'r1', 'cut');
    fleet.clock.advance(10_000);
    const getRegion = (host: string): string => fleet.hosts.get(host)?.options.region ?? '';
    const failed = [...fleet.hosts.keys()].filter((host) => ['r0', 'r1'].includes(getRegion(host))).slice(0, 4);
    for (const host of failed) fleet.killHost(host);
    fleet.clock.advance(60_000);
    expect(fleet.listDivergedHosts().length).toBeGreaterThan(0);
    fleet.resetTraffic();
    updateRegionCut(fleet, 'r1', 'heal');
    expect(fleet.measureConvergence(30_000)).not.toEqual(undefined);
    fleet.clock.advance(10_000);
    expect(fleet.listDivergedHosts()).toEqual([]);
    const maxBytes = Math.max(...fleet.bytesByHost.values());
    // A full exchange of all records takes about 30 KB at this size; convergence must take only a few of them.
    expect(maxBytes).toBeLessThan(13_000 * 20);
  });

  it('should converge after a partition within a data centre in which each side marked the other as down', () => {
    const fleet = createMemberFleet({ nodes: 16, dataCenters: 1 });
    fleet.clock.advance(20_000);
    const hosts = [...fleet.hosts.keys()];
    const sides = [hosts.slice(0, 8), hosts.slice(8)] as const;
    for (const left of sides[0]) for (const right of sides[1]) fleet.network.cut(left, right);
    fleet.clock.advance(60_000);
    expect(listDown(fleet).length).toEqual(16);
    for (const left of sides[0]) for (const right of sides[1]) fleet.network.heal(left, right);
    expect(fleet.measureConvergence(30_000)).not.toEqual(undefined);
    fleet.clock.advance(20_000);
    expect(listDown(fleet)).toEqual([]);
  });

  it('should continue without a data centre that fails as a whole, and readmit it when it restarts', () => {
    const fleet = createMemberFleet({ nodes: 24, dataCenters: 4 });
    fleet.clock.advance(20_000);
    const failed = [...fleet.hosts.values()].filter(({ options }) => options.dataCenter === 'd02');
    for (const { options } of failed) fleet.killHost(options.host);
    fleet.clock.advance(15_000);
    expect(listUnreachable(fleet, 'h0')).toEqual(['d02']);
    for (const { options } of failed) fleet.startHost(options);
    fleet.clock.advance(15_000);
    expect(fleet.listDivergedHosts()).toEqual([]);
    for (const host of fleet.hosts.keys()) expect(listUnreachable(fleet, host)).toEqual([]);
  });
});
