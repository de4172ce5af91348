import type { Figure } from '../../schema/benchReport.js';
import { variants } from '../load/variants.js';
import type { Variant } from '../load/variants.js';
import { computeCapacity, createDerwent, createKaltfracht } from '../load/deployments.js';
import type { Deployment } from '../load/deployments.js';
import type { LoadStatistics } from '../load/loadStatistics.js';
import { createStreams, measureRun, WARM_UP_MS } from '../load/measureRun.js';
import { writePlots } from '../load/svgPlot.js';
import { createFigure } from '../scenario.js';
import type { Scenario, ScenarioContext } from '../scenario.js';

const SETTLE_MS = 3000;
const FLOOD_FACTOR = 10;
/** Load of each priority without a flood, as a share of the capacity. */
const NORMAL_LOAD_SHARE = 0.2;
const P99_PERCENTILE = 99;

export interface FloodOptions {
  seed: number;
  floodMs?: number;
}

export interface FloodOutcome {
  statistics: LoadStatistics;
  /** p99 of the most urgent requests in a run at the normal load, without a flood. */
  p99WithoutFloodMs: number;
  fromMs: number;
  untilMs: number;
}

/** Measures a flood of one priority during a normal load of the others. */
export function measureFlood(
  deployment: Deployment,
  flooded: string,
  variant: Variant,
  /** `unfloodedLoadShare` is the load of each priority that is not flooded, as a share of the capacity. */
  options: FloodOptions & { unfloodedLoadShare?: number },
): FloodOutcome {
  const { seed, floodMs = 10_000, unfloodedLoadShare = NORMAL_LOAD_SHARE } = options;
  const capacity = computeCapacity(deployment);
  const fromMs = WARM_UP_MS + SETTLE_MS;
  const untilMs = fromMs + floodMs;
  const computeRate = (atMs: number, priority: string): number =>
    capacity * (priority !== flooded ? unfloodedLoadShare : atMs < fromMs ? NORMAL_LOAD_SHARE : FLOOD_FACTOR);
  // The load starts after the warm-up; the first half of the settling time is not measured, since it includes the cold
  // start of the fleet. Without resends, each request counts by the outcome of its only send.
  const load = { resends: 0, measureFromMs: fromMs - SETTLE_MS / 2 };
  const streams = createStreams(deployment, computeRate);
  const { statistics } = measureRun({ seed, deployment, variant, streams, untilMs, load });
  const optionsWithoutFlood = { seed, deployment, variant, streams, untilMs: fromMs + floodMs / 2, load };
  const withoutFlood = measureRun({
    ...optionsWithoutFlood,
    streams: createStreams(deployment, () => capacity * NORMAL_LOAD_SHARE),
  });
  const urgent = findMostUrgent(deployment);
  const p99WithoutFloodMs =
    withoutFlood.statistics.byPriority.get(urgent)?.latency.getValueAtPercentile(P99_PERCENTILE) ?? 0;
  return { statistics, p99WithoutFloodMs, fromMs, untilMs };
}

/** Returns the priority of the highest worth (direction 1) or of the lowest worth (-1) that has requests. */
function findByWorth(deployment: Deployment, direction: 1 | -1): string {
  const [document] = deployment.documents;
  const used = document?.priorities.filter(({ name }) => deployment.kinds.some(({ priority }) => priority === name));
  used?.sort((left, right) => direction * (right.worth - left.worth));
  return used?.[0]?.name ?? '';
}

/** Returns the priority of the highest worth that has requests. */
export function findMostUrgent(deployment: Deployment): string {
  return findByWorth(deployment, 1);
}

/** Returns the priority of the lowest worth that has requests. */
export function findLeastUrgent(deployment: Deployment): string {
  return findByWorth(deployment, -1);
}

/**
 * Computes the share of urgent requests completed within their deadline, and their p99 as a multiple of the p99 without a
 * flood.
 */
export function computeUrgentOutcome(
  outcome: FloodOutcome,
  urgent: string,
): { completedShare: number; latencyFactor: number } {
  const statistics = outcome.statistics.byPriority.get(urgent);
  return {
    completedShare: (statistics?.completed ?? 0) / Math.max(1, statistics?.offered ?? 0),
    latencyFactor:
      (statistics?.latency.getValueAtPercentile(P99_PERCENTILE) ?? 0) / Math.max(1, outcome.p99WithoutFloodMs),
  };
}

/** Computes goodput / guaranteed capacity for each priority that is not flooded, and returns the smallest quotient. */
export function computeMinGuaranteedShare(deployment: Deployment, flooded: string, outcome: FloodOutcome): number {
  const capacity = computeCapacity(deployment);
  const shares = (deployment.documents[0]?.priorities ?? [])
    .filter(({ name }) => name !== flooded && deployment.kinds.some(({ priority }) => priority === name))
    .map(({ name, guaranteedShare }) => {
      const goodput = outcome.statistics.computeGoodput(outcome.fromMs, outcome.untilMs, name);
      return goodput / (guaranteedShare * capacity);
    });
  return Math.min(...shares);
}

function runVariants(
  context: ScenarioContext,
  name: string,
  deployment: Deployment,
  flooded: string,
  unfloodedLoadShare?: number,
): { own: FloodOutcome; baselines: Record<string, FloodOutcome> } {
  context.printProgress(`${deployment.name}, flood of ${flooded}`);
  const outcomes = variants.map((variant) => {
    const options = { seed: context.seed, ...(unfloodedLoadShare === undefined ? {} : { unfloodedLoadShare }) };
    return [variant.name, measureFlood(deployment, flooded, variant, options)] as const;
  });
  if (context.plotFolder !== undefined) {
    const runs = new Map(outcomes.map(([label, { statistics }]) => [label, statistics]));
    writePlots(context.plotFolder, `${name}-${deployment.name}`, runs);
  }
  // `variants` lists our own policies first.
  const [own, ...others] = outcomes;
  return { own: (own as (typeof outcomes)[0])[1], baselines: Object.fromEntries(others) };
}

function collectBaselines(
  baselines: Record<string, FloodOutcome>,
  compute: (outcome: FloodOutcome) => number,
): Record<string, number> {
  return Object.fromEntries(Object.entries(baselines).map(([name, outcome]) => [name, compute(outcome)]));
}

function runLowFlood(context: ScenarioContext, deployment: Deployment): Figure[] {
  const urgent = findMostUrgent(deployment);
  const { own, baselines } = runVariants(context, 'low-priority-flood', deployment, findLeastUrgent(deployment));
  const ownOutcome = computeUrgentOutcome(own, urgent);
  return [
    createFigure(`${deployment.name} urgent completed`, ownOutcome.completedShare, 'share within deadline', {
      atLeast: 0.999,
      baselines: collectBaselines(baselines, (outcome) => computeUrgentOutcome(outcome, urgent).completedShare),
    }),
    // 'unloaded' in the unit means: without the flood, at the normal load.
    createFigure(`${deployment.name} urgent p99`, ownOutcome.latencyFactor, 'times unloaded', {
      atMost: 1.5,
      baselines: collectBaselines(baselines, (outcome) => computeUrgentOutcome(outcome, urgent).latencyFactor),
    }),
  ];
}

/** Load of each priority that is not flooded, as a share of the capacity; high enough to use its guaranteed share. */
const UNFLOODED_LOAD_SHARE = 0.5;

function runUrgentFlood(context: ScenarioContext, deployment: Deployment): Figure[] {
  const urgent = findMostUrgent(deployment);
  const { own, baselines } = runVariants(context, 'urgent-flood', deployment, urgent, UNFLOODED_LOAD_SHARE);
  return [
    // Of the priorities that are not flooded, the one that got the smallest part of its guaranteed share.
    createFigure(
      `${deployment.name} least kept`,
      computeMinGuaranteedShare(deployment, urgent, own),
      'of guaranteed share',
      {
        atLeast: 0.95,
        baselines: collectBaselines(baselines, (outcome) => computeMinGuaranteedShare(deployment, urgent, outcome)),
      },
    ),
  ];
}

/** Measures how well urgent requests are served during a flood of the least urgent ones. */
export const lowPriorityFlood: Scenario = {
  name: 'low-priority-flood',
  description: 'requests of the lowest worth at 10 times the capacity',
  kind: 'fakeClock',
  run: (context) =>
    Promise.resolve([createKaltfracht(), createDerwent()].flatMap((deployment) => runLowFlood(context, deployment))),
};

/** Measures how much of their guaranteed shares the other priorities get during a flood of the most urgent one. */
export const urgentFlood: Scenario = {
  name: 'urgent-flood',
  description: 'requests of the highest worth at 10 times the capacity',
  kind: 'fakeClock',
  run: (context) =>
    Promise.resolve([createKaltfracht(), createDerwent()].flatMap((deployment) => runUrgentFlood(context, deployment))),
};
