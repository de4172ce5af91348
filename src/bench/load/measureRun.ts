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

/** One run of a load over a deployment. */
export interface RunOptions {
  seed: number;
  deployment: Deployment;
  variant: Variant;
  streams: readonly CallerStream[];
  /** End of the load (ms of the run). */
  untilMs: number;
  load?: Partial<Pick<CallerLoadOptions, 'resends' | 'resendDelayMs' | 'callers' | 'measureFromMs'>>;
  /** Changes hosts before the start. */
  changeHost?: (host: FakeHostOptions) => FakeHostOptions;
  /** Things that happen at times of the run. */
  events?: readonly { atMs: number; run: (fleet: FakeFleet) => void }[];
}

export interface RunOutcome {
  statistics: LoadStatistics;
  fleet: FakeFleet;
}

/** The members know each other after this; loads begin at rate 0 until then. */
export const WARM_UP_MS = 3000;
const DRAIN_MS = 3000;

/** Runs a load on a fake clock with the real controllers. */
export function measureRun(options: RunOptions): RunOutcome {
  const { seed, deployment, variant, streams, untilMs } = options;
  const statistics = createLoadStatistics();
  const changeHost = options.changeHost ?? ((host: FakeHostOptions): FakeHostOptions => host);
  const fleet = createFakeFleet({
    seed,
    hosts: describeHosts(deployment, { onRelease: statistics.recordRelease }).map(changeHost),
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

/** Streams of all kinds of a deployment with the given shares, at a total rate over time. */
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
