import { createRandom } from '../../core/random.js';
import { createFakeFleet } from '../fakes/fakeFleet.js';
import type { FakeFleet, FakeHostOptions } from '../fakes/fakeFleet.js';
import { createLoadStatistics } from './loadStatistics.js';
import type { LoadStatistics } from './loadStatistics.js';
import type { Variant } from './variants.js';
import { startCallerLoad } from './callerLoad.js';
import type { CallerLoadOptions, CallerStream } from './callerLoad.js';
import { describeHosts } from './deployments.js';
import type { Deployment } from './deployments.js';

/** A load on a deployment, under one variant of the policies. */
export interface RunOptions {
  seed: number;
  deployment: Deployment;
  variant: Variant;
  streams: readonly CallerStream[];
  /** Time of the run at which the load ends (ms). */
  untilMs: number;
  load?: Partial<Pick<CallerLoadOptions, 'resends' | 'resendDelayMs' | 'callers' | 'measureFromMs'>>;
  /** Replaces the options of a host before the start. */
  changeHost?: (host: FakeHostOptions) => FakeHostOptions;
  /** Functions to run at given times of the run. */
  events?: readonly { atMs: number; run: (fleet: FakeFleet) => void }[];
}

export interface RunOutcome {
  statistics: LoadStatistics;
  fleet: FakeFleet;
}

/** Time until membership has converged; the load starts after it (ms). */
export const WARM_UP_MS = 3000;
/** Time for open requests to end after the load (ms). */
const DRAIN_MS = 3000;

/** Runs a load on a fake clock with the real controllers and collects its statistics. */
export function measureRun(options: RunOptions): RunOutcome {
  const { seed, deployment, variant, streams, untilMs } = options;
  const statistics = createLoadStatistics();
  const changeHost = options.changeHost ?? ((host: FakeHostOptions): FakeHostOptions => host);
  const fleet = createFakeFleet({
    seed,
    hosts: describeHosts(deployment, { onRelease: statistics.recordSlotRelease }).map(changeHost),
    documents: deployment.documents,
    node: { policies: variant.policies },
  });
  startCallerLoad({
    ...options.load,
    fleet,
    random: createRandom(seed + 1),
    statistics,
    streams,
    clientDelayMs: deployment.clientDelayMs,
    untilMs,
  });
  for (const { atMs, run } of options.events ?? []) {
    fleet.clock.schedule(atMs, () => {
      run(fleet);
    });
  }
  fleet.clock.advance(untilMs + DRAIN_MS);
  return { statistics, fleet };
}

/** Creates one stream per request kind of a deployment; the rate is 0 during the warm-up. */
export function createStreams(
  deployment: Deployment,
  computeRate: (atMs: number, priority: string) => number,
): CallerStream[] {
  const [service] = deployment.services;
  const [document] = deployment.documents;
  if (service === undefined || document === undefined) return [];
  return deployment.kinds.map(({ priority, operations }) => {
    const operation = operations[0] ?? '';
    return {
      service,
      operation,
      priority,
      deadlineMs: document.operations[operation]?.deadlineMs ?? 1000,
      computeRate: (atMs) => (atMs < WARM_UP_MS ? 0 : computeRate(atMs, priority)),
    };
  });
}
