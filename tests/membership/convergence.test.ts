import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createMemberFleet } from '../../src/bench/fakes/memberFleet.js';

/** Bound of the brief for all control work of a node (bytes per second). */
const MAX_CONTROL_BYTES_PER_SECOND = 13_000;

function measureHighest(counts: Map<string, number>, seconds: number): number {
  return Math.max(...counts.values()) / seconds;
}

describe('convergence of member records', () => {
  for (const [nodes, dataCenters, regions] of [
    [16, 4, 1],
    [200, 19, 5],
  ] as const) {
    it(`should make ${nodes} nodes that start at once know each other, and then cost little`, () => {
      const fleet = createMemberFleet({ nodes, dataCenters, regions });
      expect(fleet.measureConvergence(20_000)).not.toEqual(undefined);
      fleet.clock.advance(10_000);
      fleet.resetTraffic();
      fleet.clock.advance(10_000);
      expect(measureHighest(fleet.bytesByHost, 10)).toBeLessThan(MAX_CONTROL_BYTES_PER_SECOND);
    });
  }

  it('should tell all nodes of a new host, and a new host of all nodes, within 2 s after its start jitter', () => {
    const fleet = createMemberFleet({ nodes: 40, dataCenters: 4 });
    fleet.clock.advance(20_000);
    fleet.startHost({ host: 'late', dataCenter: 'd01' });
    expect(fleet.measureConvergence(3000)).not.toEqual(undefined);
  });

  it('should not let seeds of a fleet that starts at once answer without bound', () => {
    const fleet = createMemberFleet({ nodes: 200, dataCenters: 19, regions: 5 });
    fleet.clock.advance(3000);
    const seedBytes = Math.max(...['h0', 'h1', 'h2'].map((seed) => fleet.bytesByHost.get(seed) ?? 0));
    // Welcomes are capped at 50 a second of some 30 KB, and the seeds are gateways as well.
    expect(seedBytes / 3).toBeLessThan(3_000_000);
  });

  it('should join fleets that could not reach each other when they started', () => {
    const fleet = createMemberFleet({
      nodes: 24,
      dataCenters: 4,
      prepareNetwork: (network) => {
        network.cut('d00', 'd01');
        network.cut('d00', 'd02');
        network.cut('d00', 'd03');
      },
    });
    fleet.clock.advance(30_000);
    expect(fleet.listDivergedHosts().length).toBeGreaterThan(0);
    for (const dataCenter of ['d01', 'd02', 'd03']) fleet.network.heal('d00', dataCenter);
    expect(fleet.measureConvergence(90_000)).not.toEqual(undefined);
  });
});
