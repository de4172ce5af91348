import type { Figure } from '../../schema/benchReport.js';
import type { LoadStatistics } from '../load/loadStatistics.js';
import { ownPolicies, variants } from '../load/variants.js';
import type { Variant } from '../load/variants.js';
import { computeCapacity, createDeepKaltfracht, createDerwent, createKaltfracht } from '../load/deployments.js';
import type { Deployment } from '../load/deployments.js';
import { createStreams, measureRun, WARM_UP_MS } from '../load/measureRun.js';
import { writePlots } from '../load/svgPlot.js';
import { createFigure } from '../scenario.js';
import type { Scenario, ScenarioContext } from '../scenario.js';

const NORMAL_LOAD_FACTOR = 0.7;
const OVERLOAD_FACTOR = 3;
const OVERLOAD_MS = 30_000;
const SETTLE_MS = 4000;
const DEEP_CHAIN_DEPTH = 12;
/** Duration of the overload for the baselines, whose runs are slow; they reach their steady state within this time. */
const BASELINE_OVERLOAD_MS = 5000;

export interface ChainOverloadOptions {
  seed: number;
  overloadMs?: number;
}

export interface OverloadOutcome {
  /** Goodput during the overload, as a share of the capacity. */
  goodputShare: number;
  /** Share of the target time that went to requests which did not complete. */
  wastedShare: number;
  statistics: LoadStatistics;
}

/** Measures goodput and wasted target time during an overload, under one variant of the policies. */
export function measureOverload(
  deployment: Deployment,
  variant: Variant,
  { seed, overloadMs = OVERLOAD_MS }: ChainOverloadOptions,
): OverloadOutcome {
  const capacity = computeCapacity(deployment);
  const fromMs = WARM_UP_MS + SETTLE_MS;
  const untilMs = fromMs + overloadMs;
  const share = 1 / deployment.kinds.length;
  const streams = createStreams(
    deployment,
    (atMs) => share * capacity * (atMs < fromMs ? NORMAL_LOAD_FACTOR : OVERLOAD_FACTOR),
  );
  const { statistics } = measureRun({ seed, deployment, variant, streams, untilMs });
  const goodputShare = statistics.computeGoodput(fromMs, untilMs) / capacity;
  return { goodputShare, wastedShare: statistics.computeWastedShare(), statistics };
}

function runDeployment(deployment: Deployment, context: ScenarioContext): Figure[] {
  context.printProgress(`${deployment.name}, ${deployment.services.length} deep`);
  const outcomes = variants.map((variant) => {
    const overloadMs = variant === ownPolicies ? OVERLOAD_MS : BASELINE_OVERLOAD_MS;
    return [variant.name, measureOverload(deployment, variant, { seed: context.seed, overloadMs })] as const;
  });
  if (context.plotFolder !== undefined) {
    const runs = new Map(outcomes.map(([name, { statistics }]) => [name, statistics]));
    writePlots(context.plotFolder, `chain-overload-${deployment.name}`, runs);
  }
  // `variants` lists our own policies first.
  const [own, ...others] = outcomes;
  if (own === undefined) return [];
  const collect = (field: 'goodputShare' | 'wastedShare'): Record<string, number> =>
    Object.fromEntries(others.map(([name, outcome]) => [name, outcome[field]]));
  return [
    createFigure(`${deployment.name} goodput`, own[1].goodputShare, 'share of capacity', {
      atLeast: 0.92,
      baselines: collect('goodputShare'),
    }),
    createFigure(`${deployment.name} wasted`, own[1].wastedShare, 'share of target time', {
      atMost: 0.03,
      baselines: collect('wastedShare'),
    }),
  ];
}

/** Compares goodput and wasted work in an overload with those of the baselines. */
export const chainOverload: Scenario = {
  name: 'chain-overload',
  description: 'chains of 4 and 12 services at 3 times their capacity for 30 s, with callers that resend',
  kind: 'fakeClock',
  run: (context) =>
    Promise.resolve(
      [createKaltfracht(), createDerwent(), createDeepKaltfracht(DEEP_CHAIN_DEPTH)].flatMap((deployment) =>
        runDeployment(deployment, context),
      ),
    ),
};
