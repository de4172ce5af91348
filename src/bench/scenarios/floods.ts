import type { Figure } from '../../schema/benchReport.js';
import { variants } from '../load/baselines.js';
import type { Variant } from '../load/baselines.js';
import { computeCapacity, createDerwent, createKaltfracht } from '../load/deployments.js';
import type { Deployment } from '../load/deployments.js';
import type { Accounting } from '../load/accounting.js';
import { createStreams, measureRun, WARM_UP_MS } from '../load/measureRun.js';
import { writePlots } from '../load/svgPlot.js';
import { createFigure } from '../scenario.js';
import type { Scenario, ScenarioRun } from '../scenario.js';

const SETTLE_MS = 3000;
const FLOOD = 10;
/** Share of the capacity that the flooded priority and each of the others ask for otherwise. */
const NORMAL_SHARE = 0.2;
const P99 = 99;

export interface FloodOptions {
  seed: number;
  floodMs?: number;
}

export interface FloodOutcome {
  accounting: Accounting;
  unloadedP99Ms: number;
  fromMs: number;
  untilMs: number;
}

/** Measures a flood of one priority beside a normal load of the others. */
export function measureFlood(
  deployment: Deployment,
  flooded: string,
  variant: Variant,
  options: FloodOptions & { otherShare?: number },
): FloodOutcome {
  const { seed, floodMs = 10_000, otherShare = NORMAL_SHARE } = options;
  const capacity = computeCapacity(deployment);
  const fromMs = WARM_UP_MS + SETTLE_MS;
  const untilMs = fromMs + floodMs;
  const computeRate = (atMs: number, priority: string): number =>
    capacity * (priority !== flooded ? otherShare : atMs < fromMs ? NORMAL_SHARE : FLOOD);
  // The flood is measured, not the cold start of the fleet before it.
  const load = { resends: 0, accountFromMs: fromMs - SETTLE_MS / 2 };
  const streams = createStreams(deployment, computeRate);
  const { accounting } = measureRun({ seed, deployment, variant, streams, untilMs, load });
  const quietRun = { seed, deployment, variant, streams, untilMs: fromMs + floodMs / 2, load };
  const quiet = measureRun({
    ...quietRun,
    streams: createStreams(deployment, () => capacity * NORMAL_SHARE),
  });
  const urgent = findUrgent(deployment);
  const unloadedP99Ms = quiet.accounting.byPriority.get(urgent)?.latency.getValueAtPercentile(P99) ?? 0;
  return { accounting, unloadedP99Ms, fromMs, untilMs };
}

function findByWorth(deployment: Deployment, sign: 1 | -1): string {
  const [document] = deployment.documents;
  const used = document?.priorities.filter(({ name }) => deployment.kinds.some(({ priority }) => priority === name));
  used?.sort((left, right) => sign * (right.worth - left.worth));
  return used?.[0]?.name ?? '';
}

/** The priority of most worth that has requests. */
export function findUrgent(deployment: Deployment): string {
  return findByWorth(deployment, 1);
}

/** The priority of least worth that has requests. */
export function findLeastUrgent(deployment: Deployment): string {
  return findByWorth(deployment, -1);
}

/** Share of urgent whole requests within their deadline, and their p99 as a multiple of the unloaded one. */
export function computeUrgentService(
  outcome: FloodOutcome,
  urgent: string,
): { completedShare: number; latencyFactor: number } {
  const account = outcome.accounting.byPriority.get(urgent);
  return {
    completedShare: (account?.completed ?? 0) / Math.max(1, account?.offered ?? 0),
    latencyFactor: (account?.latency.getValueAtPercentile(P99) ?? 0) / Math.max(1, outcome.unloadedP99Ms),
  };
}

/** Goodput of the priority that keeps least, as a share of what it is guaranteed. */
export function computeLeastKept(deployment: Deployment, flooded: string, outcome: FloodOutcome): number {
  const capacity = computeCapacity(deployment);
  const kept = (deployment.documents[0]?.priorities ?? [])
    .filter(({ name }) => name !== flooded && deployment.kinds.some(({ priority }) => priority === name))
    .map(({ name, guaranteedShare }) => {
      const goodput = outcome.accounting.computeGoodput(outcome.fromMs, outcome.untilMs, name);
      return goodput / (guaranteedShare * capacity);
    });
  return Math.min(...kept);
}

function runVariants(
  run: ScenarioRun,
  name: string,
  deployment: Deployment,
  flooded: string,
  otherShare?: number,
): { own: FloodOutcome; baselines: Record<string, FloodOutcome> } {
  run.printProgress(`${deployment.name}, flood of ${flooded}`);
  const outcomes = variants.map((variant) => {
    const options = { seed: run.seed, ...(otherShare === undefined ? {} : { otherShare }) };
    return [variant.name, measureFlood(deployment, flooded, variant, options)] as const;
  });
  if (run.plotFolder !== undefined) {
    const runs = new Map(outcomes.map(([label, { accounting }]) => [label, accounting]));
    writePlots(run.plotFolder, `${name}-${deployment.name}`, runs);
  }
  const [own, ...others] = outcomes;
  return { own: (own as (typeof outcomes)[0])[1], baselines: Object.fromEntries(others) };
}

function collectBaselines(
  baselines: Record<string, FloodOutcome>,
  compute: (outcome: FloodOutcome) => number,
): Record<string, number> {
  return Object.fromEntries(Object.entries(baselines).map(([name, outcome]) => [name, compute(outcome)]));
}

function runLowFlood(run: ScenarioRun, deployment: Deployment): Figure[] {
  const urgent = findUrgent(deployment);
  const { own, baselines } = runVariants(run, 'low-priority-flood', deployment, findLeastUrgent(deployment));
  const service = computeUrgentService(own, urgent);
  return [
    createFigure(`${deployment.name} urgent completed`, service.completedShare, 'share within deadline', {
      atLeast: 0.999,
      baselines: collectBaselines(baselines, (outcome) => computeUrgentService(outcome, urgent).completedShare),
    }),
    createFigure(`${deployment.name} urgent p99`, service.latencyFactor, 'times unloaded', {
      atMost: 1.5,
      baselines: collectBaselines(baselines, (outcome) => computeUrgentService(outcome, urgent).latencyFactor),
    }),
  ];
}

/** Each other priority asks for this multiple of its guaranteed share, so that it can show what it keeps. */
const OTHER_DEMAND = 0.5;

function runUrgentFlood(run: ScenarioRun, deployment: Deployment): Figure[] {
  const urgent = findUrgent(deployment);
  const { own, baselines } = runVariants(run, 'urgent-flood', deployment, urgent, OTHER_DEMAND);
  return [
    createFigure(`${deployment.name} least kept`, computeLeastKept(deployment, urgent, own), 'of guaranteed share', {
      atLeast: 0.95,
      baselines: collectBaselines(baselines, (outcome) => computeLeastKept(deployment, urgent, outcome)),
    }),
  ];
}

export const lowPriorityFlood: Scenario = {
  name: 'low-priority-flood',
  situation: 'least urgent work at 10 times capacity',
  kind: 'fakeClock',
  run: (run) =>
    Promise.resolve([createKaltfracht(), createDerwent()].flatMap((deployment) => runLowFlood(run, deployment))),
};

export const urgentFlood: Scenario = {
  name: 'urgent-flood',
  situation: 'most urgent work at 10 times capacity',
  kind: 'fakeClock',
  run: (run) =>
    Promise.resolve([createKaltfracht(), createDerwent()].flatMap((deployment) => runUrgentFlood(run, deployment))),
};
