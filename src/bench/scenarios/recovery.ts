import type { Figure } from '../../schema/benchReport.js';
import type { FakeFleet } from '../fakes/fakeFleet.js';
import { ownDecisions, variants } from '../load/baselines.js';
import type { Variant } from '../load/baselines.js';
import type { Accounting } from '../load/accounting.js';
import { computeCapacity, createKaltfracht } from '../load/deployments.js';
import type { Deployment } from '../load/deployments.js';
import { createStreams, measureRun, WARM_UP_MS } from '../load/measureRun.js';
import { writePlots } from '../load/svgPlot.js';
import { createFigure } from '../scenario.js';
import type { Scenario, ScenarioRun } from '../scenario.js';

const SETTLE_MS = 5000;
const LOAD = 0.8;
const SLOWNESS = 10;
const OBSERVED_MS = 2000;
/** The time after which goodput must be back (ms), from the design page. */
const RECOVERY_MS = 2000;

export interface RecoveryOptions {
  seed: number;
  slowMs?: number;
}

export interface RecoveryOutcome {
  accounting: Accounting;
  /** Goodput after the recovery time as a share of that before the trouble. */
  recoveredShare: number;
}

function updateSlowness(fleet: FakeFleet, service: string, slowness: number): void {
  for (const host of fleet.hosts.values()) {
    if (host.options.service === service && host.target !== undefined) host.target.slowness = slowness;
  }
}

/** Measures goodput after the deepest service was 10 times slower for a while under callers that resend. */
export function measureSlowService(
  deployment: Deployment,
  variant: Variant,
  { seed, slowMs = 10_000 }: RecoveryOptions,
): RecoveryOutcome {
  const slowFromMs = WARM_UP_MS + SETTLE_MS;
  const service = deployment.services.at(-1) ?? '';
  return measureTrouble(deployment, variant, seed, slowFromMs, slowFromMs + slowMs, [
    {
      atMs: slowFromMs,
      run: (fleet) => {
        updateSlowness(fleet, service, SLOWNESS);
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

/** Measures goodput after all targets restarted at once under load. */
export function measureColdRestart(
  deployment: Deployment,
  variant: Variant,
  { seed }: RecoveryOptions,
): RecoveryOutcome {
  const downFromMs = WARM_UP_MS + SETTLE_MS;
  const downUntilMs = downFromMs + RECOVERY_MS;
  return measureTrouble(deployment, variant, seed, downFromMs, downUntilMs, [
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

function measureTrouble(
  deployment: Deployment,
  variant: Variant,
  seed: number,
  fromMs: number,
  endMs: number,
  happenings: readonly { atMs: number; run: (fleet: FakeFleet) => void }[],
): RecoveryOutcome {
  const share = LOAD / deployment.kinds.length;
  const streams = createStreams(deployment, () => share * computeCapacity(deployment));
  const untilMs = endMs + RECOVERY_MS + OBSERVED_MS;
  const { accounting } = measureRun({ seed, deployment, variant, streams, untilMs, happenings });
  const earlier = accounting.computeGoodput(fromMs - OBSERVED_MS, fromMs);
  const later = accounting.computeGoodput(endMs + RECOVERY_MS, endMs + RECOVERY_MS + OBSERVED_MS);
  return { accounting, recoveredShare: later / earlier };
}

function runTrouble(
  run: ScenarioRun,
  name: string,
  measure: (deployment: Deployment, variant: Variant, options: RecoveryOptions) => RecoveryOutcome,
): Figure {
  run.printProgress(name);
  const deployment = createKaltfracht();
  const outcomes = new Map(variants.map((variant) => [variant.name, measure(deployment, variant, { seed: run.seed })]));
  if (run.plotFolder !== undefined) {
    const runs = new Map([...outcomes].map(([label, { accounting }]) => [label, accounting]));
    writePlots(run.plotFolder, `recovery-${name.replaceAll(' ', '-')}`, runs);
  }
  const shares = Object.fromEntries([...outcomes].map(([label, { recoveredShare }]) => [label, recoveredShare]));
  const { [ownDecisions.name]: own = 0, ...baselines } = shares;
  return createFigure(`goodput 2 s after ${name}`, own, 'share of earlier', { atLeast: 0.95, baselines });
}

export const recovery: Scenario = {
  name: 'recovery',
  situation: 'a deep service slows 10 times for 10 s under resending callers; all targets restart cold',
  kind: 'fakeClock',
  run: (run) =>
    Promise.resolve([
      runTrouble(run, 'slow service', measureSlowService),
      runTrouble(run, 'cold restart', measureColdRestart),
    ]),
};
