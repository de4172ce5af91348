import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '../../src/core/random.js';
import { adjustFraction, computeAllowedCalls, estimateDemand, allocateCapacity } from '../../src/policy/shedding.js';
import type { LoadWindow } from '../../src/policy/shedding.js';

const idle: LoadWindow = {
  throughput: 10,
  capacity: 10,
  inFlight: 10,
  limit: 12,
  queueTimeMs: 30,
  desiredQueueTimeMs: 30,
};

describe('shedding', () => {
  it('should allocate guaranteed shares first and the rest by worth', () => {
    const demands = [
      { demand: 90, worth: 100, guaranteedShare: 0.4 },
      { demand: 90, worth: 1, guaranteedShare: 0.6 },
    ];
    expect(allocateCapacity(100, 100, demands)).toEqual([40, 60]);
  });

  it('should allocate the unused part of a guaranteed share to other priorities', () => {
    const demands = [
      { demand: 10, worth: 1, guaranteedShare: 0.5 },
      { demand: 300, worth: 100, guaranteedShare: 0.5 },
    ];
    expect(allocateCapacity(100, 100, demands)).toEqual([10, 90]);
  });

  it('should reduce only the priority that exceeds its share when capacity is short', () => {
    const demands = [
      { demand: 20, worth: 100, guaranteedShare: 0.5 },
      { demand: 900, worth: 1, guaranteedShare: 0.5 },
    ];
    expect(allocateCapacity(40, 100, demands)).toEqual([20, 20]);
  });

  it('should admit the capacity at the desired queue time and less above it', () => {
    expect(computeAllowedCalls(idle)).toEqual(10);
    expect(computeAllowedCalls({ ...idle, queueTimeMs: 60 })).toBeLessThan(10);
    expect(computeAllowedCalls({ ...idle, queueTimeMs: 300 })).toBeLessThan(5);
  });

  it('should admit more calls at once while the limit is not in use, so that a recovered target is fully used', () => {
    expect(computeAllowedCalls({ ...idle, queueTimeMs: 0, throughput: 5, inFlight: 1 })).toBeGreaterThan(30);
  });

  it('should estimate the total demand from shed keys below the fraction, independent of the fraction upstream', () => {
    const random = createRandom(3);
    const state = { fraction: 0.1, minRecentFraction: 0.1, maxRecentFraction: 0.3, arrivals: 0, demand: 0, worth: 1 };
    for (let tick = 0; tick < 200; tick++) {
      state.arrivals = 0;
      for (let call = 0; call < 500; call++) if (random() < state.minRecentFraction) state.arrivals++;
      state.demand = estimateDemand(state);
    }
    expect(state.demand).toBeGreaterThan(425);
    expect(state.demand).toBeLessThan(575);
  });

  it('should raise a fraction while there is spare capacity even if the estimated demand is too high', () => {
    expect(adjustFraction(0.1, 1000, 10, true)).toBeGreaterThanOrEqual(0.11);
    expect(adjustFraction(0.1, 1000, 10, false)).toEqual(0.01);
  });
});

describe('shedding of a priority that is not delayed', () => {
  it('should not shed urgent calls because calls of lower worth are queued', () => {
    const demands = [
      { demand: 60, worth: 9, guaranteedShare: 0.4, isDelayed: false },
      { demand: 500, worth: 1, guaranteedShare: 0.1, isDelayed: true },
    ];
    const [urgent = 0] = allocateCapacity(30, 100, demands);
    expect(urgent).toEqual(60);
  });

  it('should not allocate the guaranteed share of others to a priority that is not delayed', () => {
    const demands = [
      { demand: 90, worth: 9, guaranteedShare: 0.4, isDelayed: false },
      { demand: 50, worth: 1, guaranteedShare: 0.2, isDelayed: true },
    ];
    const [, other = 0] = allocateCapacity(40, 100, demands);
    expect(other).toBeGreaterThan(10);
  });
});
