import { createRandom } from '../../core/random.js';
import type { Random } from '../../core/random.js';
import type { CallResult } from '../../schema/call.js';
import { startRandomFaults } from '../fakes/randomFaults.js';
import type { FakeFleet, FakeHost } from '../fakes/fakeFleet.js';
import { buildOrderCall, createOrderFleet } from '../fakes/orderFleet.js';
import { createFigure } from '../scenario.js';
import type { Scenario } from '../scenario.js';

export interface AtMostOnceOptions {
  seed: number;
  requests: number;
  /** False for the baseline, in which callers resend without a ticket. */
  hasTickets: boolean;
}

export interface AtMostOnceResult {
  answered: number;
  /** Requests that ran more than once, at any depth. */
  doubled: number;
  /** Requests that ran although a refusal said that they did not. */
  falseRefusals: number;
  /** Requests of which the caller does not know whether they ran. */
  unknown: number;
  refused: number;
}

interface Request {
  body: string;
  ticket: string | undefined;
  sends: number;
  /** Number of sends for whose result the caller still waits. */
  open: number;
  outcome: 'open' | 'answered' | 'refused' | 'unknown';
  /** At least one send timed out or ended without knowledge whether the request ran. */
  hasUnknownSend: boolean;
  /** A failure reported that the request ran. */
  isRunReported: boolean;
}

const WARM_UP_MS = 4000;
const SETTLE_MS = 20_000;
const REQUEST_INTERVAL_MS = 10;
const FAULT_INTERVAL_MS = 250;
const MAX_SENDS = 5;
const CALLER_TIMEOUT_MS = 400;
const MAX_RESEND_DELAY_MS = 200;
/** Share of requests that are sent twice at the same time, as an impatient user or a hedging proxy does. */
const DUPLICATE_SHARE = 0.1;

/** Sends non-idempotent requests while callers resend and faults are injected, and counts the runs of each request. */
export function measureAtMostOnce({ seed, requests, hasTickets }: AtMostOnceOptions): AtMostOnceResult {
  /** Start times of runs (ms), by operation and body. */
  const runs = new Map<string, number[]>();
  const fleet = createOrderFleet({
    seed,
    dataCenters: ['d1', 'd2', 'd3', 'd4'],
    onRun: (_host, { operation, body }) => {
      const key = `${operation} ${new TextDecoder().decode(body)}`;
      runs.set(key, [...(runs.get(key) ?? []), fleet.clock.now()]);
    },
  });
  const random = createRandom(seed + 1);
  const falselyRefused = new Set<string>();
  const listRuns = (body: string): number[] =>
    ['order', 'reserve'].flatMap((name) => runs.get(`${name} ${body}`) ?? []);
  const isDoubled = (body: string): boolean =>
    ['order', 'reserve'].some((name) => (runs.get(`${name} ${body}`)?.length ?? 0) > 1);

  const startRequest = (index: number): Request => {
    const body = `order ${index}`;
    const request: Request = {
      body,
      ticket: undefined,
      sends: 0,
      open: 0,
      outcome: 'open',
      hasUnknownSend: false,
      isRunReported: false,
    };
    if (hasTickets) request.ticket = takeTicket(fleet, random);
    send(request);
    if (random() < DUPLICATE_SHARE && request.ticket !== undefined) send(request);
    return request;
  };
  const send = (request: Request): void => {
    request.sends++;
    request.open++;
    const host = chooseHost(fleet, random);
    const call = buildOrderCall(
      'order',
      request.body,
      request.ticket === undefined ? {} : { idempotencyKey: request.ticket },
    );
    const sentAtMs = fleet.clock.now();
    let hasEnded = false;
    let cancel = (): void => undefined;
    const receive = (result: CallResult): void => {
      if (result.type === 'refusal' && result.failure.ran === 'no' && isFalseDenial(request, sentAtMs))
        falselyRefused.add(request.body);
      if (hasEnded) return;
      hasEnded = true;
      request.open--;
      receiveResult(request, result);
    };
    host?.process.runWhenActive(() => {
      cancel = host.node.handleCallerCall(call, receive);
    });
    fleet.clock.schedule(CALLER_TIMEOUT_MS, () => {
      if (hasEnded) return;
      hasEnded = true;
      request.open--;
      host?.process.runWhenActive(() => {
        cancel();
      });
      request.hasUnknownSend = true;
      scheduleResend(request);
    });
  };
  /**
   * True if a refusal of a send with `ran: no` is false: the request ran before that send, or ran at all when that was its
   * only send.
   */
  const isFalseDenial = (request: Request, sentAtMs: number): boolean => {
    const isOnlySend = request.sends === 1;
    if (request.ticket === undefined && !isOnlySend) return false;
    return listRuns(request.body).some((atMs) => isOnlySend || atMs < sentAtMs);
  };
  const receiveResult = (request: Request, result: CallResult): void => {
    if (request.outcome !== 'open') return;
    if (result.type === 'answer') {
      request.outcome = 'answered';
      return;
    }
    const { ran, retry } = result.failure;
    // A refusal with `ran: no` does not settle an earlier send that is still open, so that one stays unknown.
    if (ran === 'unknown') request.hasUnknownSend = true;
    if (ran === 'yes') request.isRunReported = true;
    if (ran !== 'no' && retry === 'never' && hasTickets) request.outcome = ran === 'yes' ? 'refused' : 'unknown';
    else scheduleResend(request);
  };
  const scheduleResend = (request: Request): void => {
    if (request.outcome !== 'open') return;
    if (request.sends >= MAX_SENDS && request.open > 0) return;
    if (request.sends >= MAX_SENDS) request.outcome = request.hasUnknownSend ? 'unknown' : 'refused';
    else
      fleet.clock.schedule(random() * MAX_RESEND_DELAY_MS, () => {
        if (request.outcome === 'open') send(request);
      });
  };

  fleet.clock.advance(WARM_UP_MS);
  const untilMs = WARM_UP_MS + requests * REQUEST_INTERVAL_MS;
  startRandomFaults({ fleet, random: createRandom(seed + 2), periodMs: FAULT_INTERVAL_MS, untilMs });
  const all: Request[] = [];
  for (let index = 0; index < requests; index++) {
    all.push(startRequest(index));
    fleet.clock.advance(REQUEST_INTERVAL_MS);
  }
  fleet.clock.advance(SETTLE_MS);
  for (const { body, outcome, isRunReported } of all) {
    if (outcome === 'refused' && !isRunReported && listRuns(body).length > 0) falselyRefused.add(body);
  }
  const countOutcomes = (outcome: Request['outcome']): number =>
    all.filter((request) => request.outcome === outcome).length;
  return {
    answered: countOutcomes('answered'),
    doubled: all.filter(({ body }) => isDoubled(body)).length,
    falseRefusals: falselyRefused.size,
    unknown: countOutcomes('unknown'),
    refused: countOutcomes('refused'),
  };
}

function chooseHost(fleet: FakeFleet, random: Random): FakeHost | undefined {
  const hosts = [...fleet.hosts.values()];
  return hosts[Math.floor(random() * hosts.length)];
}

function takeTicket(fleet: FakeFleet, random: Random): string {
  return chooseHost(fleet, random)?.node.issueTickets(1)[0] ?? '';
}

const REQUESTS = 10_000;

/** Verifies that tickets keep non-idempotent requests from running twice, and that refusals correctly report whether a request ran. */
export const atMostOnce: Scenario = {
  name: 'at-most-once',
  description: '10,000 non-idempotent requests under resends, restarts, pauses, dropped frames and partitions',
  kind: 'fakeClock',
  run: ({ seed, printProgress }) => {
    printProgress('with tickets');
    const measured = measureAtMostOnce({ seed, requests: REQUESTS, hasTickets: true });
    printProgress('plain retries');
    const plain = measureAtMostOnce({ seed, requests: REQUESTS, hasTickets: false });
    const createCount = (name: keyof AtMostOnceResult, bound: { atMost?: number } = {}) =>
      createFigure(name, measured[name], 'requests', { ...bound, baselines: { 'plain retries': plain[name] } });
    return Promise.resolve([
      createCount('doubled', { atMost: 0 }),
      createCount('falseRefusals', { atMost: 0 }),
      createFigure('unknown', measured.unknown / REQUESTS, 'share of requests', {
        baselines: { 'plain retries': plain.unknown / REQUESTS },
      }),
      createCount('answered'),
      createCount('refused'),
    ]);
  },
};
