import type { Figure } from '../../schema/benchReport.js';
import type { Accounting } from '../load/accounting.js';
import { ownDecisions, variants } from '../load/baselines.js';
import type { Variant } from '../load/baselines.js';
import { computeCapacity, createDeepKaltfracht, createDerwent, createKaltfracht } from '../load/deployments.js';
import type { Deployment } from '../load/deployments.js';
import { createStreams, measureRun, WARM_UP_MS } from '../load/measureRun.js';
import { writePlots } from '../load/svgPlot.js';
import { createFigure } from '../scenario.js';
import type { Scenario, ScenarioRun } from '../scenario.js';

const NORMAL_LOAD = 0.7;
const OVERLOAD = 3;
const OVERLOAD_MS = 30_000;
const SETTLE_MS = 4000;
const DEEP = 12;
/** Baselines reach their steady state within this time; their runs cost several times more than those they compare to. */
const BASELINE_OVERLOAD_MS = 5000;

export interface ChainOverloadOptions {
  seed: number;
  overloadMs?: number;
}

export interface OverloadOutcome {
  goodputShare: number;
  wastedShare: number;
  accounting: Accounting;
}

/** Measures goodput during an overload and the target time spent in vain, with one set of decisions. */
export function measureOverload(
  deployment: Deployment,
  variant: Variant,
  { seed, overloadMs = OVERLOAD_MS }: ChainOverloadOptions,
): OverloadOutcome {
  const capacity = computeCapacity(deployment);
  const fromMs = WARM_UP_MS + SETTLE_MS;
  const untilMs = fromMs + overloadMs;
  const share = 1 / deployment.kinds.length;
  const streams = createStreams(deployment, (atMs) => share * capacity * (atMs < fromMs ? NORMAL_LOAD : OVERLOAD));
  const { accounting } = measureRun({ seed, deployment, variant, streams, untilMs });
  const goodputShare = accounting.computeGoodput(fromMs, untilMs) / capacity;
  return { goodputShare, wastedShare: accounting.computeWastedShare(), accounting };
}

function runDeployment(deployment: Deployment, run: ScenarioRun): Figure[] {
  run.printProgress(`${deployment.name}, ${deployment.services.length} deep`);
  const outcomes = variants.map((variant) => {
    const overloadMs = variant === ownDecisions ? OVERLOAD_MS : BASELINE_OVERLOAD_MS;
    return [variant.name, measureOverload(deployment, variant, { seed: run.seed, overloadMs })] as const;
  });
  if (run.plotFolder !== undefined) {
    const runs = new Map(outcomes.map(([name, { accounting }]) => [name, accounting]));
    writePlots(run.plotFolder, `chain-overload-${deployment.name}`, runs);
  }
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

export const chainOverload: Scenario = {
  name: 'chain-overload',
  situation: 'chains 4 and 12 deep at 3 times capacity for 30 s, callers resend',
  kind: 'fakeClock',
  run: (run) =>
    Promise.resolve(
      [createKaltfracht(), createDerwent(), createDeepKaltfracht(DEEP)].flatMap((deployment) =>
        runDeployment(deployment, run),
      ),
    ),
};
