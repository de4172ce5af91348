import type { FakeFleet, FakeHost, FakeHostOptions } from '../bench/fakes/fakeFleet.js';
import { buildOrderCall, createOrderFleet } from '../bench/fakes/orderFleet.js';
import type { CancelCall } from '../control/calls.js';
import { createCallOracle } from './callOracle.js';
import type { CallOracle, FuzzRequest, FuzzSend } from './callOracle.js';
import { check } from './check.js';

export const FUZZ_DATA_CENTERS = ['d1', 'd2'] as const;
export const FUZZ_HOSTS = FUZZ_DATA_CENTERS.flatMap((dataCenter) =>
  ['shop1', 'shop2', 'stock1', 'stock2'].map((name) => `${dataCenter}-${name}`),
);

/** The fleet under test, with its callers and fault injection. */
export interface CallSystem {
  readonly fleet: FakeFleet;
  readonly oracle: CallOracle;
  readonly requests: FuzzRequest[];
  sendNew(host: string, operation: FuzzRequest['operation'], options: { hasTicket: boolean }): FuzzSend | undefined;
  sendAgain(request: FuzzRequest, host: string): void;
  /** Cancels the newest open send of a request, as a caller that disconnects. */
  cancelSend(request: FuzzRequest): void;
  killHost(host: string): void;
  startHost(host: string): void;
  pauseHost(host: string): void;
  resumeHost(host: string): void;
  drainTarget(host: string): void;
  crashTarget(host: string): void;
  restartTarget(host: string): void;
  stopHost(host: string): void;
  /** Ends all faults, waits until all calls have ended, and runs the final checks. */
  finish(): void;
}

const RETRY_ALLOWANCE = 2;
const FAST_MEAN_MS = 5;
const SLOW_MEAN_MS = 300;
const MAX_DRAIN_DELAY_MS = 2000;
const WARM_UP_MS = 4000;
/** Exceeds the longest deadline and every lease. */
const SETTLE_MS = 8000;
/** Time between the last reply of the daemon and the closing of its connections. */
const EXIT_DELAY_MS = 50;

/**
 * Creates the fleet of one fuzz run and waits until its membership has converged. Checks the invariant I7 at each
 * stop of a node: before the node stops, it returns a result for each of its open calls and lets its target finish.
 */
export function createCallSystem(seed: number): CallSystem {
  const clockHolder = { getNow: (): number => 0 };
  // Nodes already send frames while the fleet is created, at time 0 and before its clock is available here.
  const oracle = createCallOracle({
    getNow: () => clockHolder.getNow(),
    retryAllowance: RETRY_ALLOWANCE,
    maxDrainDelayMs: MAX_DRAIN_DELAY_MS,
  });
  const fleet = createOrderFleet({
    seed,
    dataCenters: FUZZ_DATA_CENTERS,
    retryAllowance: RETRY_ALLOWANCE,
    // Slow calls last longer than the grace period in which a stopping node still answers.
    meanMs: seed % 3 === 0 ? SLOW_MEAN_MS : FAST_MEAN_MS,
    onRun: (host, request) => {
      oracle.observeRun(host, request);
    },
    observeFrame: (_from, to, _lane, frame) => {
      oracle.observeFrame(to, frame);
    },
  });
  const { clock, hosts, network } = fleet;
  clockHolder.getNow = clock.now;
  const hostOptions = new Map<string, FakeHostOptions>([...hosts].map(([name, { options }]) => [name, options]));
  const requests: FuzzRequest[] = [];
  const open = new Map<FuzzSend, { entry: FakeHost; cancel: CancelCall }>();

  const send = (request: FuzzRequest, host: string): FuzzSend | undefined => {
    const entry = hosts.get(host);
    if (entry === undefined) return undefined;
    const sent: FuzzSend = { request, host, sentAtMs: clock.now(), results: [], isAbandoned: false };
    request.sends.push(sent);
    const opened = { entry, cancel: (): void => undefined };
    open.set(sent, opened);
    const options = request.ticket === undefined ? {} : { idempotencyKey: request.ticket };
    entry.process.runWhenActive(() => {
      opened.cancel = entry.node.handleCallerCall(
        buildOrderCall(request.operation, request.body, options),
        (result) => {
          open.delete(sent);
          if (!sent.isAbandoned) oracle.observeResult(sent, result);
        },
      );
    });
    return sent;
  };
  const abandonSend = (sent: FuzzSend): void => {
    const opened = open.get(sent);
    if (opened === undefined) return;
    sent.isAbandoned = true;
    open.delete(sent);
    opened.entry.process.runWhenActive(() => {
      opened.cancel();
    });
  };
  const removeHost = (host: string): void => {
    for (const sent of open.keys()) {
      if (sent.host !== host) continue;
      sent.isAbandoned = true;
      open.delete(sent);
    }
    fleet.killHost(host);
    oracle.markDraining(host, undefined);
  };
  const stopHost = (host: string): void => {
    const entry = hosts.get(host);
    if (entry === undefined || entry.node.board.read('calls').isStopping) return;
    entry.process.runWhenActive(() => {
      oracle.markDraining(host, clock.now());
      const openSends = [...open.keys()].filter((sent) => sent.host === host);
      entry.node.stop(() => {
        const unanswered = openSends.filter((sent) => !sent.isAbandoned && sent.results.length === 0);
        check(unanswered.length === 0, `I7: ${host} stopped without a result for ${unanswered[0]?.request.body ?? ''}`);
        const { incoming, running } = entry.node.board.read('calls');
        const busy = incoming.size + running.size + (entry.target?.busySlots ?? 0);
        check(busy === 0, `I7: ${host} stopped with ${busy} calls in flight`);
        clock.schedule(EXIT_DELAY_MS, () => {
          if (hosts.get(host) === entry) removeHost(host);
        });
      });
    });
  };
  const resumeHost = (host: string): void => {
    oracle.markResumed(host);
    hosts.get(host)?.process.resume();
  };
  const endFaults = (): void => {
    for (const from of [...FUZZ_HOSTS, ...FUZZ_DATA_CENTERS]) {
      for (const to of [...FUZZ_HOSTS, ...FUZZ_DATA_CENTERS]) network.heal(from, to);
    }
    for (const type of ['call', 'answer', 'refusal', 'cancel', 'members'] as const) network.dropFrames(type, 0);
    for (const host of FUZZ_HOSTS) resumeHost(host);
  };

  clock.advance(WARM_UP_MS);
  return {
    fleet,
    oracle,
    requests,
    sendNew: (host, operation, { hasTicket }) => {
      const ticket = hasTicket ? hosts.get(host)?.node.issueTickets(1)[0] : undefined;
      const request: FuzzRequest = { body: `${operation} ${requests.length}`, operation, ticket, sends: [] };
      requests.push(request);
      return send(request, host);
    },
    sendAgain: send,
    cancelSend: (request) => {
      const newest = request.sends.findLast((sent) => open.has(sent));
      if (newest !== undefined) abandonSend(newest);
    },
    killHost: removeHost,
    startHost: (host) => {
      const options = hostOptions.get(host);
      if (options !== undefined && !hosts.has(host)) fleet.startHost(options);
    },
    pauseHost: (host) => {
      hosts.get(host)?.process.pause();
    },
    resumeHost,
    drainTarget: (host) => {
      const target = hosts.get(host)?.target;
      if (target === undefined || target.isDown || hosts.get(host)?.process.isPaused === true) return;
      target.isDraining = true;
      oracle.markDraining(host, clock.now());
    },
    crashTarget: (host) => {
      hosts.get(host)?.target?.crash();
    },
    restartTarget: (host) => {
      const target = hosts.get(host)?.target;
      if (target?.isDown !== true) return;
      target.restart();
      if (hosts.get(host)?.node.board.read('calls').isStopping !== true) oracle.markDraining(host, undefined);
    },
    stopHost,
    finish: () => {
      endFaults();
      clock.advance(SETTLE_MS);
      oracle.checkAllReplied(requests.flatMap(({ sends }) => sends));
    },
  };
}
