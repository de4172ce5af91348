import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createMemberFleet } from '../../src/bench/fakes/memberFleet.js';

/** Maximum control traffic of a node (bytes per second). */
const MAX_CONTROL_BYTES_PER_SECOND = 13_000;

function computeMaxRate(counts: Map<string, number>, seconds: number): number {
  return Math.max(...counts.values()) / seconds;
}

describe('convergence of member records', () => {
  for (const [nodes, dataCenters, regions] of [
    [16, 4, 1],
    [200, 19, 5],
  ] as const) {
    it(`should converge when ${nodes} nodes start at once, and then keep control traffic within its limit`, () => {
      const fleet = createMemberFleet({ nodes, dataCenters, regions });
      expect(fleet.measureConvergence(20_000)).not.toEqual(undefined);
      fleet.clock.advance(10_000);
      fleet.resetTraffic();
      fleet.clock.advance(10_000);
      expect(computeMaxRate(fleet.bytesByHost, 10)).toBeLessThan(MAX_CONTROL_BYTES_PER_SECOND);
    });
  }

  it('should propagate a new host to all nodes, and all nodes to it, within 2 s after its start jitter', () => {
    const fleet = createMemberFleet({ nodes: 40, dataCenters: 4 });
    fleet.clock.advance(20_000);
    fleet.startHost({ host: 'late', dataCenter: 'd01' });
    expect(fleet.measureConvergence(3000)).not.toEqual(undefined);
  });

  it('should limit the traffic of the seeds when a whole fleet starts at once', () => {
    const fleet = createMemberFleet({ nodes: 200, dataCenters: 19, regions: 5 });
    fleet.clock.advance(3000);
    const seedBytes = Math.max(...['h0', 'h1', 'h2'].map((seed) => fleet.bytesByHost.get(seed) ?? 0));
    // At most 50 welcomes per second of about 30 KB each; the seeds send gateway traffic as well.
    expect(seedBytes / 3).toBeLessThan(3_000_000);
  });

  it('should merge parts of a fleet that could not reach each other when they started', () => {
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
