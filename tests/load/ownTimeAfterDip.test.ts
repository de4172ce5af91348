import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ownPolicies } from '../../src/bench/load/variants.js';
import { createKaltfracht } from '../../src/bench/load/deployments.js';
import { findLeastUrgent, measureFlood } from '../../src/bench/scenarios/floods.js';
import { createStreams, measureRun, WARM_UP_MS } from '../../src/bench/load/measureRun.js';

describe('limit of a target whose calls mostly wait for downstream calls', () => {
  it('should not fall far below the number of slots after a trial during a flood', () => {
    const deployment = createKaltfracht();
    const flooded = findLeastUrgent(deployment);
    const streams = createStreams(deployment, (atMs, priority) =>
      priority !== flooded ? 240 : atMs < WARM_UP_MS + 3000 ? 240 : 12_000,
    );
    const { fleet } = measureRun({ seed: 1, deployment, variant: ownPolicies, streams, untilMs: WARM_UP_MS + 9000 });
    const limits = [...fleet.hosts]
      .filter(([host]) => host.endsWith('-contracts'))
      .map(([, { node }]) => node.board.read('limits').concurrency);
    for (const limit of limits) expect(limit).toBeGreaterThan(20);
  });

  it('should complete all urgent requests during a flood of the least urgent ones', () => {
    const deployment = createKaltfracht();
    const outcome = measureFlood(deployment, findLeastUrgent(deployment), ownPolicies, { seed: 2, floodMs: 5000 });
    const orders = outcome.statistics.byPriority.get('order');
    expect((orders?.completed ?? 0) / (orders?.offered ?? 1)).toBeGreaterThanOrEqual(0.999);
  });
});
