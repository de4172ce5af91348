import type { FakeHostOptions } from '../fakes/fakeFleet.js';
import { ownPolicies, variants } from '../load/variants.js';
import type { Variant } from '../load/variants.js';
import { computeCapacity, createKaltfracht, DATA_CENTERS } from '../load/deployments.js';
import type { Deployment } from '../load/deployments.js';
import { createStreams, measureRun, WARM_UP_MS } from '../load/measureRun.js';
import { createFigure } from '../scenario.js';
import type { Scenario } from '../scenario.js';

/** Relative speeds of the bottleneck targets by data centre; the last one also degrades to `DEGRADED_SPEED`. */
const SPEEDS: readonly number[] = [1, 0.5, 0.125, 1];
const DEGRADED_SPEED = 0.1;
const SETTLE_MS = 5000;
/** Load as a share of the goodput that an oracle with knowledge of all speeds would reach. */
const LOAD_FACTOR = 0.9;

export interface UnequalOptions {
  seed: number;
  durationMs?: number;
}

/** Measures goodput as a share of the load, which an oracle with knowledge of all speeds would complete. */
export function measureUnequal(
  deployment: Deployment,
  variant: Variant,
  { seed, durationMs = 20_000 }: UnequalOptions,
): number {
  const fromMs = WARM_UP_MS + SETTLE_MS;
  const untilMs = fromMs + durationMs;
  const capacity = computeCapacity(deployment);
  const speedSum = SPEEDS.reduce(
    (sum, speed, index) => sum + speed * (index === SPEEDS.length - 1 ? DEGRADED_SPEED : 1),
    0,
  );
  const rate = (LOAD_FACTOR * capacity * speedSum) / SPEEDS.length;
  const bottleneck = deployment.services.at(-1);
  const findSpeed = (dataCenter: string): number => SPEEDS[DATA_CENTERS.findIndex((name) => name === dataCenter)] ?? 1;
  const applySpeed = (host: FakeHostOptions): FakeHostOptions => {
    if (host.service !== bottleneck || host.target === undefined) return host;
    const speed = findSpeed(host.dataCenter);
    const operations = Object.entries(host.target.operations).map(
      ([name, operation]) => [name, { ...operation, meanMs: operation.meanMs / speed }] as const,
    );
    return { ...host, target: { ...host.target, operations: Object.fromEntries(operations) } };
  };
  const streams = createStreams(deployment, () => rate / deployment.kinds.length);
  const last = DATA_CENTERS[DATA_CENTERS.length - 1] ?? '';
  const degrade = {
    atMs: WARM_UP_MS,
    run: (fleet: ReturnType<typeof measureRun>['fleet']): void => {
      const target = fleet.hosts.get(`${last}-${bottleneck ?? ''}`)?.target;
      if (target !== undefined) target.slowness = 1 / DEGRADED_SPEED;
    },
  };
  const { statistics } = measureRun({
    seed,
    deployment,
    variant,
    streams,
    untilMs,
    changeHost: applySpeed,
    events: [degrade],
  });
  return statistics.computeGoodput(fromMs, untilMs) / rate;
}

/** Measures how well load is distributed over targets of different speed. */
export const unequalTargets: Scenario = {
  name: 'unequal-targets',
  description:
    'bottleneck targets whose speeds differ 8 times, one degraded to a tenth, at 0.9 of the goodput of an oracle',
  kind: 'fakeClock',
  run: ({ seed, printProgress }) => {
    const shares = variants.map((variant) => {
      printProgress(variant.name);
      return [variant.name, measureUnequal(createKaltfracht(), variant, { seed })] as const;
    });
    const { [ownPolicies.name]: own = 0, ...baselines } = Object.fromEntries(shares);
    return Promise.resolve([createFigure('goodput', own, 'share of the oracle', { atLeast: 0.95, baselines })]);
  },
};
