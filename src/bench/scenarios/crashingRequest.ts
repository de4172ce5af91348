import { createRandom } from '../../core/random.js';
import type { Policies } from '../../policy/policies.js';
import { buildOrderCall, createOrderFleet } from '../fakes/orderFleet.js';
import { createFigure } from '../scenario.js';
import type { Scenario } from '../scenario.js';

export interface CrashingRequestOptions {
  seed: number;
  /** Number of times that the caller sends the crashing request. */
  sends: number;
  /** The operation that crashes: `browse` of the entry service, or `look` of the service that it calls. */
  crashingOperation: 'browse' | 'look';
  /** Data centre that is partitioned from the others during the whole run. */
  isolatedDataCenter?: string;
  policies?: Partial<Policies>;
}

export interface CrashingRequestResult {
  /** Maximum number of crashes in one data centre. */
  maxCrashes: number;
  crashes: number;
  /** Share of the other requests that failed. */
  failedShare: number;
}

const DATA_CENTERS = ['d1', 'd2', 'd3', 'd4'];
const WARM_UP_MS = 8000;
const SETTLE_MS = 5000;
const SEND_INTERVAL_MS = 100;
const TICK_MS = 5;
/** Other requests per tick: 400 per second, a quarter of the capacity of the entry service. */
const OTHERS_PER_TICK = 2;
const RESTART_DELAY_MS = 2000;
const CRASHING_BODY = 'poison';

/** Repeatedly sends a request that crashes each target that runs it, among many other requests. */
export function measureCrashingRequest(options: CrashingRequestOptions): CrashingRequestResult {
  const { seed, sends, crashingOperation, isolatedDataCenter, policies } = options;
  const crashesByDataCenter = new Map<string, number>();
  const fleet = createOrderFleet({
    seed,
    dataCenters: DATA_CENTERS,
    hostsPerService: 3,
    slots: 8,
    ...(policies === undefined ? {} : { node: { policies } }),
    crashesOn: ({ operation, body }) =>
      operation === crashingOperation && new TextDecoder().decode(body) === CRASHING_BODY,
    onCrash: (host) => {
      const dataCenter = fleet.hosts.get(host)?.options.dataCenter ?? '';
      crashesByDataCenter.set(dataCenter, (crashesByDataCenter.get(dataCenter) ?? 0) + 1);
      const target = fleet.hosts.get(host)?.target;
      fleet.clock.schedule(RESTART_DELAY_MS, () => {
        target?.restart();
      });
    },
  });
  const random = createRandom(seed + 1);
  let others = 0;
  let answered = 0;
  const send = (body: string, onAnswer: () => void): void => {
    const hosts = [...fleet.hosts.values()];
    const entry = hosts[Math.floor(random() * hosts.length)];
    entry?.node.handleCallerCall(buildOrderCall('browse', body), (result) => {
      if (result.type === 'answer' && result.status === 200) onAnswer();
    });
  };

  fleet.clock.advance(WARM_UP_MS);
  for (const other of DATA_CENTERS)
    if (isolatedDataCenter !== undefined && other !== isolatedDataCenter) fleet.network.cut(isolatedDataCenter, other);
  for (let elapsedMs = 0; elapsedMs < sends * SEND_INTERVAL_MS; elapsedMs += TICK_MS) {
    if (elapsedMs % SEND_INTERVAL_MS === 0) send(CRASHING_BODY, () => undefined);
    for (let count = 0; count < OTHERS_PER_TICK; count++) {
      send(`other ${others++}`, () => {
        answered++;
      });
    }
    fleet.clock.advance(TICK_MS);
  }
  fleet.clock.advance(SETTLE_MS);
  const crashes = [...crashesByDataCenter.values()];
  return {
    maxCrashes: Math.max(0, ...crashes),
    crashes: crashes.reduce((sum, count) => sum + count, 0),
    failedShare: (others - answered) / others,
  };
}

/** Retries without regard to crashes, as a plain proxy does. */
export const plainCrashPolicies: Partial<Policies> = {
  resolveSuspect: () => 'run',
  isRetryGranted: ({ failure, isIdempotent, hasOtherTarget, remainingAllowance }) =>
    hasOtherTarget && remainingAllowance >= 1 && (isIdempotent || failure.ran === 'no'),
};

const SENDS = 200;
const MAX_CRASHES_PER_DATA_CENTER = 2;
const MAX_FAILED_SHARE = 0.001;

/** Measures how many targets one crashing request takes down, and how many other requests fail because of it. */
export const crashingRequest: Scenario = {
  name: 'crashing-request',
  description: 'one request that crashes its target is resent 200 times',
  kind: 'fakeClock',
  run: ({ seed, printProgress }) => {
    const figures = (['browse', 'look'] as const).flatMap((crashingOperation) => {
      const label = crashingOperation === 'browse' ? 'entry service' : 'called service';
      printProgress(`crash at the ${label}`);
      const measured = measureCrashingRequest({ seed, sends: SENDS, crashingOperation });
      const plain = measureCrashingRequest({ seed, sends: SENDS, crashingOperation, policies: plainCrashPolicies });
      return [
        createFigure(`${label}: most crashes in a data centre`, measured.maxCrashes, 'targets', {
          atMost: MAX_CRASHES_PER_DATA_CENTER,
          baselines: { 'plain retries': plain.maxCrashes },
        }),
        createFigure(`${label}: crashes`, measured.crashes, 'targets', {
          baselines: { 'plain retries': plain.crashes },
        }),
        createFigure(`${label}: other requests lost`, measured.failedShare, 'share', {
          atMost: MAX_FAILED_SHARE,
          baselines: { 'plain retries': plain.failedShare },
        }),
      ];
    });
    return Promise.resolve(figures);
  },
};
