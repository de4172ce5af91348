import { createRandom } from '../../core/random.js';
import type { Policies } from '../../policy/policies.js';
import { buildOrderCall, createOrderFleet } from '../fakes/orderFleet.js';
import { createFigure } from '../scenario.js';
import type { Scenario } from '../scenario.js';

export interface CrashingRequestOptions {
  seed: number;
  /** Times that the caller sends the crashing request. */
  sends: number;
  /** The operation that crashes: `browse` at the entry service, `look` below it. */
  crashingOperation: 'browse' | 'look';
  /** Data centre that is cut off from the others during the whole run. */
  isolatedDataCenter?: string;
  policies?: Partial<Policies>;
}

export interface CrashingRequestResult {
  /** Most targets that crashed in one data centre. */
  maxCrashes: number;
  crashes: number;
  /** Share of the other requests that got no whole answer. */
  failedShare: number;
}

const DATA_CENTERS = ['d1', 'd2', 'd3', 'd4'];
const WARM_UP_MS = 8000;
const SETTLE_MS = 5000;
const SEND_PERIOD_MS = 100;
const TICK_MS = 5;
/** Other requests per tick: 400 a second, a quarter of what the entry service can do. */
const OTHERS_PER_TICK = 2;
const RESTART_AFTER_MS = 2000;
const POISON = 'poison';

/** Sends one request that crashes each target that runs it again and again, among many others. */
export function measureCrashingRequest(options: CrashingRequestOptions): CrashingRequestResult {
  const { seed, sends, crashingOperation, isolatedDataCenter: cutOff, policies } = options;
  const crashesByDataCenter = new Map<string, number>();
  const fleet = createOrderFleet({
    seed,
    dataCenters: DATA_CENTERS,
    hostsPerService: 3,
    slots: 8,
    ...(policies === undefined ? {} : { node: { policies } }),
    crashesOn: ({ operation, body }) => operation === crashingOperation && new TextDecoder().decode(body) === POISON,
    onCrash: (host) => {
      const dataCenter = fleet.hosts.get(host)?.options.dataCenter ?? '';
      crashesByDataCenter.set(dataCenter, (crashesByDataCenter.get(dataCenter) ?? 0) + 1);
      const target = fleet.hosts.get(host)?.target;
      fleet.clock.schedule(RESTART_AFTER_MS, () => {
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
  for (const other of DATA_CENTERS) if (cutOff !== undefined && other !== cutOff) fleet.network.cut(cutOff, other);
  for (let elapsedMs = 0; elapsedMs < sends * SEND_PERIOD_MS; elapsedMs += TICK_MS) {
    if (elapsedMs % SEND_PERIOD_MS === 0) send(POISON, () => undefined);
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

/** Retries and resends without regard to crashes, as a plain proxy does. */
export const plainCrashPolicies: Partial<Policies> = {
  resolveSuspect: () => 'run',
  isRetryGranted: ({ failure, isIdempotent, hasOtherTarget, remainingAllowance }) =>
    hasOtherTarget && remainingAllowance >= 1 && (isIdempotent || failure.ran === 'no'),
};

const SENDS = 200;
const MAX_CRASHES_PER_DATA_CENTER = 2;
const MAX_LOST_SHARE = 0.001;

/** The bench `crashing-request`. */
export const crashingRequest: Scenario = {
  name: 'crashing-request',
  description: 'one request that crashes its target is resent 200 times',
  kind: 'fakeClock',
  run: ({ seed, printProgress }) => {
    const figures = (['browse', 'look'] as const).flatMap((crashingOperation) => {
      const place = crashingOperation === 'browse' ? 'entry service' : 'called service';
      printProgress(`crash at the ${place}`);
      const measured = measureCrashingRequest({ seed, sends: SENDS, crashingOperation });
      const plain = measureCrashingRequest({ seed, sends: SENDS, crashingOperation, policies: plainCrashPolicies });
      return [
        createFigure(`${place}: most crashes in a data centre`, measured.maxCrashes, 'targets', {
          atMost: MAX_CRASHES_PER_DATA_CENTER,
          baselines: { 'plain retries': plain.maxCrashes },
        }),
        createFigure(`${place}: crashes`, measured.crashes, 'targets', {
          baselines: { 'plain retries': plain.crashes },
        }),
        createFigure(`${place}: other requests lost`, measured.failedShare, 'share', {
          atMost: MAX_LOST_SHARE,
          baselines: { 'plain retries': plain.failedShare },
        }),
      ];
    });
    return Promise.resolve(figures);
  },
};
