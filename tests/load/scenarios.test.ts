import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ownPolicies } from '../../src/bench/load/variants.js';
import { createDerwent, createKaltfracht } from '../../src/bench/load/deployments.js';
import {
  computeMinGuaranteedShare,
  computeUrgentOutcome,
  findLeastUrgent,
  findMostUrgent,
  measureFlood,
} from '../../src/bench/scenarios/floods.js';
import { measureOverload } from '../../src/bench/scenarios/chainOverload.js';
import { measureColdRestart, measureSlowService } from '../../src/bench/scenarios/recovery.js';

describe('load scenarios, shortened', () => {
  it('should keep goodput near capacity at 3 times the capacity, with little wasted target time', () => {
    const outcome = measureOverload(createKaltfracht(), ownPolicies, { seed: 1, overloadMs: 8000 });
    expect(outcome.goodputShare).toBeGreaterThanOrEqual(0.92);
    expect(outcome.wastedShare).toBeLessThanOrEqual(0.03);
  });

  it('should serve urgent requests with near-unloaded latency during a flood of the least urgent', () => {
    const deployment = createDerwent();
    const outcome = measureFlood(deployment, findLeastUrgent(deployment), ownPolicies, { seed: 1, floodMs: 4000 });
    const { completedShare, latencyFactor } = computeUrgentOutcome(outcome, findMostUrgent(deployment));
    expect(completedShare).toBeGreaterThanOrEqual(0.999);
    expect(latencyFactor).toBeLessThanOrEqual(1.5);
  });

  it('should keep guaranteed shares during a flood of the most urgent', () => {
    const deployment = createDerwent();
    const options = { seed: 1, floodMs: 4000, unfloodedLoadShare: 0.5 };
    const outcome = measureFlood(deployment, findMostUrgent(deployment), ownPolicies, options);
    expect(computeMinGuaranteedShare(deployment, findMostUrgent(deployment), outcome)).toBeGreaterThanOrEqual(0.95);
  });

  it('should recover goodput within 2 s after a deep service stopped being slow', () => {
    const { recoveredShare } = measureSlowService(createKaltfracht(), ownPolicies, { seed: 1, slowMs: 4000 });
    expect(recoveredShare).toBeGreaterThanOrEqual(0.95);
  });

  it('should recover goodput within 2 s after all targets restarted cold', () => {
    const { recoveredShare } = measureColdRestart(createKaltfracht(), ownPolicies, { seed: 1 });
    expect(recoveredShare).toBeGreaterThanOrEqual(0.95);
  });
});
