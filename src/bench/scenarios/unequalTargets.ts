import type { FakeHostOptions } from '../fakes/fakeFleet.js';
import { ownPolicies, variants } from '../load/variants.js';
import type { Variant } from '../load/variants.js';
import { computeCapacity, createKaltfracht, DATA_CENTERS } from '../load/deployments.js';
import type { Deployment } from '../load/deployments.js';
import { createStreams, measureRun, WARM_UP_MS } from '../load/measureRun.js';
import { createFigure } from '../scenario.js';
import type { Scenario } from '../scenario.js';

/** Speeds of the scarce targets by data centre: 8 times apart, and the last one degrades to a tenth. */
const SPEEDS: readonly number[] = [1, 0.5, 0.125, 1];
const DEGRADED = 0.1;
const SETTLE_MS = 5000;
/** Load as a share of what an oracle that knows the speeds could serve. */
const LOAD = 0.9;

export interface UnequalOptions {
  seed: number;
  durationMs?: number;
}

/** Measures goodput as a share of what an oracle that knows all speeds would complete. */
export function measureUnequal(
  deployment: Deployment,
  variant: Variant,
  { seed, durationMs = 20_000 }: UnequalOptions,
): number {
  const fromMs = WARM_UP_MS + SETTLE_MS;
  const untilMs = fromMs + durationMs;
  const capacity = computeCapacity(deployment);
  const speedSum = SPEEDS.reduce((sum, speed, index) => sum + speed * (index === SPEEDS.length - 1 ? DEGRADED : 1), 0);
  const rate = (LOAD * capacity * speedSum) / SPEEDS.length;
  const scarce = deployment.services.at(-1);
  const findSpeed = (dataCenter: string): number => SPEEDS[DATA_CENTERS.findIndex((name) => name === dataCenter)] ?? 1;
  const updateSpeed = (host: FakeHostOptions): FakeHostOptions => {
    if (host.service !== scarce || host.target === undefined) return host;
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
      const target = fleet.hosts.get(`${last}-${scarce ?? ''}`)?.target;
      if (target !== undefined) target.slowness = 1 / DEGRADED;
    },
  };
  const { statistics } = measureRun({
    seed,
    deployment,
    variant,
    streams,
    untilMs,
    changeHost: updateSpeed,
    events: [degrade],
  });
  return statistics.computeGoodput(fromMs, untilMs) / rate;
}

export const unequalTargets: Scenario = {
  name: 'unequal-targets',
  description: 'scarce targets differing 8 times, one degraded to a tenth, at 0.9 of what an oracle serves',
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
