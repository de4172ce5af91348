import { createRandom } from '../../core/random.js';
import type { ServiceConfiguration } from '../../schema/serviceConfiguration.js';
import { createFakeFleet } from '../fakes/fakeFleet.js';
import type { FakeHostOptions } from '../fakes/fakeFleet.js';
import { createLoadStatistics } from '../load/loadStatistics.js';
import { noControl, ownPolicies } from '../load/variants.js';
import type { Variant } from '../load/variants.js';
import { startCallerLoad } from '../load/callerLoad.js';
import { WARM_UP_MS } from '../load/measureRun.js';
import { createFigure } from '../scenario.js';
import type { Scenario } from '../scenario.js';

const DEPTH = 21;
const FAN_OUT = 3;
/** Levels whose calls fan out; more of them would make the graph too large to simulate. */
const FAN_OUT_LEVELS: readonly number[] = [6, 12];
const RETRY_ALLOWANCE = 2;
const REQUESTS_PER_SECOND = 5;
const DATA_CENTERS = ['d1', 'd2'];

export interface RetryBoundOptions {
  seed: number;
  durationMs?: number;
}

export interface RetryBoundOutcome {
  requests: number;
  /** Mean number of calls that ran at targets per request. */
  runsPerRequest: number;
  /** Retries minus the total allowance of all requests; positive if the allowance was exceeded. */
  retriesOverAllowance: number;
}

const singleAttempt: Variant = { name: 'one try', policies: { isRetryGranted: () => false } };

/** Measures the work per request in a deep call graph whose last service is down everywhere. */
export function measureRetryBound(
  variant: Variant,
  { seed, durationMs = 20_000 }: RetryBoundOptions,
): RetryBoundOutcome {
  const statistics = createLoadStatistics();
  const levels = Array.from({ length: DEPTH }, (_, level) => level);
  const hosts: FakeHostOptions[] = levels.flatMap((level) =>
    DATA_CENTERS.map((dataCenter) => ({
      host: `${dataCenter}-s${level}`,
      dataCenter,
      service: `s${level}`,
      target: {
        slots: 64,
        onRelease: statistics.recordSlotRelease,
        operations: { look: { meanMs: 2, distribution: 'constant' as const, downstream: listDownstream(level) } },
      },
    })),
  );
  const documents = levels.map(createDocument);
  const fleet = createFakeFleet({ seed, hosts, documents, node: { policies: variant.policies } });
  fleet.clock.advance(WARM_UP_MS);
  for (const host of fleet.hosts.values()) if (host.options.service === `s${DEPTH - 1}`) host.target?.crash();
  const untilMs = WARM_UP_MS + durationMs;
  startCallerLoad({
    fleet,
    random: createRandom(seed + 1),
    statistics,
    clientDelayMs: 1,
    untilMs,
    callers: DATA_CENTERS.length,
    resends: 0,
    streams: [
      { service: 's0', operation: 'look', priority: 'p', deadlineMs: 5000, computeRate: () => REQUESTS_PER_SECOND },
    ],
  });
  fleet.clock.advance(durationMs + WARM_UP_MS);
  const requests = statistics.byPriority.get('p')?.offered ?? 0;
  let retries = 0;
  for (const { node } of fleet.hosts.values()) {
    const { ring } = node.board.read('events');
    for (let at = ring.start; at < ring.end; at++) if (ring.get(at)?.kind === 'callRetried') retries++;
  }
  const retriesOverAllowance = retries - requests * RETRY_ALLOWANCE;
  return { requests, runsPerRequest: statistics.attempts / Math.max(1, requests), retriesOverAllowance };
}

function listDownstream(level: number): { service: string; operation: string }[][] {
  if (level + 1 >= DEPTH) return [];
  const call = { service: `s${level + 1}`, operation: 'look' };
  return [Array.from({ length: FAN_OUT_LEVELS.includes(level) ? FAN_OUT : 1 }, () => call)];
}

function createDocument(level: number): ServiceConfiguration {
  return {
    service: `s${level}`,
    operations: { look: { idempotent: true, priority: 'p', expectedCostMs: 2, deadlineMs: 5000 } },
    priorities: [{ name: 'p', worth: 1, guaranteedShare: 1 }],
    retryAllowance: RETRY_ALLOWANCE,
  };
}

/** Compares the work for failing requests with that of a single attempt per call. */
export const retryBound: Scenario = {
  name: 'retry-bound',
  description: 'call graph of depth 21 with fan-out 3 at two levels, the last service down everywhere',
  kind: 'fakeClock',
  run: ({ seed, printProgress }) => {
    const measureVariant = (variant: Variant): RetryBoundOutcome => {
      printProgress(variant.name);
      return measureRetryBound(variant, { seed });
    };
    const single = measureVariant(singleAttempt);
    const own = measureVariant(ownPolicies);
    // Plain retries multiply over 21 hops, so a longer run would take too long.
    const plain = measureRetryBound(noControl, { seed, durationMs: 1000 });
    return Promise.resolve([
      createFigure('retries over allowance', own.retriesOverAllowance, 'retries', {
        atMost: 0,
        baselines: { 'no control': plain.retriesOverAllowance },
      }),
      createFigure('total work', own.runsPerRequest / single.runsPerRequest, 'times one try', {
        atMost: 1.2,
        baselines: { 'no control': plain.runsPerRequest / single.runsPerRequest },
      }),
    ]);
  },
};
