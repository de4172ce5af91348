import type { Figure } from '../../schema/benchReport.js';
import type { FakeFleet } from '../fakes/fakeFleet.js';
import { ownPolicies, variants } from '../load/variants.js';
import type { Variant } from '../load/variants.js';
import type { LoadStatistics } from '../load/loadStatistics.js';
import { computeCapacity, createKaltfracht } from '../load/deployments.js';
import type { Deployment } from '../load/deployments.js';
import { createStreams, measureRun, WARM_UP_MS } from '../load/measureRun.js';
import { writePlots } from '../load/svgPlot.js';
import { createFigure } from '../scenario.js';
import type { Scenario, ScenarioContext } from '../scenario.js';

const SETTLE_MS = 5000;
const LOAD_FACTOR = 0.8;
const SLOWDOWN_FACTOR = 10;
const OBSERVATION_MS = 2000;
/** Maximum time until goodput has recovered (ms), from the design page. */
const RECOVERY_MS = 2000;

export interface RecoveryOptions {
  seed: number;
  slowMs?: number;
}

export interface RecoveryOutcome {
  statistics: LoadStatistics;
  /** Goodput after the recovery time as a share of the goodput before the fault. */
  recoveredShare: number;
}

function updateSlowness(fleet: FakeFleet, service: string, slowness: number): void {
  for (const host of fleet.hosts.values()) {
    if (host.options.service === service && host.target !== undefined) host.target.slowness = slowness;
  }
}

/** Measures goodput after the deepest service was 10 times slower for some time while callers resent requests. */
export function measureSlowService(
  deployment: Deployment,
  variant: Variant,
  { seed, slowMs = 10_000 }: RecoveryOptions,
): RecoveryOutcome {
  const slowFromMs = WARM_UP_MS + SETTLE_MS;
  const service = deployment.services.at(-1) ?? '';
  return measureRecovery(deployment, variant, seed, slowFromMs, slowFromMs + slowMs, [
    {
      atMs: slowFromMs,
      run: (fleet) => {
        updateSlowness(fleet, service, SLOWDOWN_FACTOR);
      },
    },
    {
      atMs: slowFromMs + slowMs,
      run: (fleet) => {
        updateSlowness(fleet, service, 1);
      },
    },
  ]);
}

/** Measures goodput after all targets restarted at the same time under load. */
export function measureColdRestart(
  deployment: Deployment,
  variant: Variant,
  { seed }: RecoveryOptions,
): RecoveryOutcome {
  const downFromMs = WARM_UP_MS + SETTLE_MS;
  const downUntilMs = downFromMs + RECOVERY_MS;
  return measureRecovery(deployment, variant, seed, downFromMs, downUntilMs, [
    {
      atMs: downFromMs,
      run: (fleet) => {
        for (const host of fleet.hosts.values()) host.target?.crash();
      },
    },
    {
      atMs: downUntilMs,
      run: (fleet) => {
        for (const host of fleet.hosts.values()) host.target?.restart();
      },
    },
  ]);
}

function measureRecovery(
  deployment: Deployment,
  variant: Variant,
  seed: number,
  fromMs: number,
  endMs: number,
  events: readonly { atMs: number; run: (fleet: FakeFleet) => void }[],
): RecoveryOutcome {
  const share = LOAD_FACTOR / deployment.kinds.length;
  const streams = createStreams(deployment, () => share * computeCapacity(deployment));
  const untilMs = endMs + RECOVERY_MS + OBSERVATION_MS;
  const { statistics } = measureRun({ seed, deployment, variant, streams, untilMs, events });
  const earlier = statistics.computeGoodput(fromMs - OBSERVATION_MS, fromMs);
  const later = statistics.computeGoodput(endMs + RECOVERY_MS, endMs + RECOVERY_MS + OBSERVATION_MS);
  return { statistics, recoveredShare: later / earlier };
}

function runFault(
  context: ScenarioContext,
  name: string,
  measure: (deployment: Deployment, variant: Variant, options: RecoveryOptions) => RecoveryOutcome,
): Figure {
  context.printProgress(name);
  const deployment = createKaltfracht();
  const outcomes = new Map(
    variants.map((variant) => [variant.name, measure(deployment, variant, { seed: context.seed })]),
  );
  if (context.plotFolder !== undefined) {
    const runs = new Map([...outcomes].map(([label, { statistics }]) => [label, statistics]));
    writePlots(context.plotFolder, `recovery-${name.replaceAll(' ', '-')}`, runs);
  }
  const shares = Object.fromEntries([...outcomes].map(([label, { recoveredShare }]) => [label, recoveredShare]));
  const { [ownPolicies.name]: own = 0, ...baselines } = shares;
  return createFigure(`goodput 2 s after ${name}`, own, 'share of earlier', { atLeast: 0.95, baselines });
}

/** Compares goodput shortly after a fault with goodput before it. */
export const recovery: Scenario = {
  name: 'recovery',
  description: 'the deepest service is 10 times slower for 10 s while callers resend; all targets restart cold',
  kind: 'fakeClock',
  run: (context) =>
    Promise.resolve([
      runFault(context, 'slow service', measureSlowService),
      runFault(context, 'cold restart', measureColdRestart),
    ]),
};
