import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '../../src/core/random.js';
import { adjustFraction, computeAllowed, estimateDemand, splitCapacity } from '../../src/policy/shedding.js';
import type { LoadWindow } from '../../src/policy/shedding.js';

const idle: LoadWindow = {
  throughput: 10,
  capacity: 10,
  inFlight: 10,
  limit: 12,
  queueTimeMs: 30,
  wantedQueueTimeMs: 30,
};

describe('shedding', () => {
  it('should give guaranteed shares first and the rest by worth', () => {
    const demands = [
      { demand: 90, worth: 100, guaranteedShare: 0.4 },
      { demand: 90, worth: 1, guaranteedShare: 0.6 },
    ];
    expect(splitCapacity(100, 100, demands)).toEqual([40, 60]);
  });

  it('should leave capacity that a share does not need to the others', () => {
    const demands = [
      { demand: 10, worth: 1, guaranteedShare: 0.5 },
      { demand: 300, worth: 100, guaranteedShare: 0.5 },
    ];
    expect(splitCapacity(100, 100, demands)).toEqual([10, 90]);
  });

  it('should take a shortage from the priority that exceeds its share and not from the others', () => {
    const demands = [
      { demand: 20, worth: 100, guaranteedShare: 0.5 },
      { demand: 900, worth: 1, guaranteedShare: 0.5 },
    ];
    expect(splitCapacity(40, 100, demands)).toEqual([20, 20]);
  });

  it('should admit the capacity at the wanted queue time and less above it', () => {
    expect(computeAllowed(idle)).toEqual(10);
    expect(computeAllowed({ ...idle, queueTimeMs: 60 })).toBeLessThan(10);
    expect(computeAllowed({ ...idle, queueTimeMs: 300 })).toBeLessThan(5);
  });

  it('should admit at once what an unused limit has room for, so that a healed target fills', () => {
    expect(computeAllowed({ ...idle, queueTimeMs: 0, throughput: 5, inFlight: 1 })).toBeGreaterThan(30);
  });

  it('should estimate the whole demand from the keys below the fraction, whatever upstream still lets through', () => {
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

  it('should raise a fraction while there is room although the demand seems too high', () => {
    expect(adjustFraction(0.1, 1000, 10, true)).toBeGreaterThanOrEqual(0.11);
    expect(adjustFraction(0.1, 1000, 10, false)).toEqual(0.01);
  });
});

describe('shedding of a priority that is not held up', () => {
  it('should not shed urgent work because of a queue of less worth', () => {
    const demands = [
      { demand: 60, worth: 9, guaranteedShare: 0.4, isHeldUp: false },
      { demand: 500, worth: 1, guaranteedShare: 0.1, isHeldUp: true },
    ];
    const [urgent = 0] = splitCapacity(30, 100, demands);
    expect(urgent).toEqual(60);
  });

  it('should not take the guaranteed share of others for a priority that is not held up', () => {
    const demands = [
      { demand: 90, worth: 9, guaranteedShare: 0.4, isHeldUp: false },
      { demand: 50, worth: 1, guaranteedShare: 0.2, isHeldUp: true },
    ];
    const [, other = 0] = splitCapacity(40, 100, demands);
    expect(other).toBeGreaterThan(10);
  });
});
