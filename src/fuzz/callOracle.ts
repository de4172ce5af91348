import type { CallResult, TargetRequest } from '../schema/call.js';
import type { Frame } from '../schema/frame.js';
import { check } from './check.js';

/** A request from the view of its caller; all sends of it have the same body and ticket. */
export interface FuzzRequest {
  readonly body: string;
  readonly operation: 'order' | 'browse';
  readonly ticket: string | undefined;
  readonly sends: FuzzSend[];
}

export interface FuzzSend {
  readonly request: FuzzRequest;
  readonly host: string;
  readonly sentAtMs: number;
  readonly results: CallResult[];
  /** The caller cancelled the send, or its entry node was killed. */
  isAbandoned: boolean;
}

interface Run {
  host: string;
  operation: string;
  requestId: string;
  atMs: number;
}

/**
 * Checks the invariants I1 to I6 on events observed at callers, at targets and in the network. It shares no code with the
 * policies under test. A violated invariant throws.
 *
 * - I1: a request makes no more retries than its allowance.
 * - I2: overload costs no larger share of the important requests than of the others.
 * - I3: each send gets exactly one result, and a response is complete.
 * - I4: a request that was refused with `ran: no` did not run.
 * - I5: a non-idempotent request runs at most once.
 * - I6: a draining target gets no new calls after `maxDrainDelayMs`.
 */
export interface CallOracle {
  observeRun(host: string, request: TargetRequest): void;
  observeFrame(to: string, frame: Frame): void;
  observeResult(send: FuzzSend, result: CallResult): void;
  /** Records since when the target of a host announces that it is draining; undefined if it no longer does. */
  markDraining(host: string, atMs: number | undefined): void;
  /** Restarts the time of I6 for a host whose process resumes after a pause. */
  markResumed(host: string): void;
  /** Checks I3 and I4 at the end: every send that was not abandoned has its result. */
  checkAllReplied(sends: readonly FuzzSend[]): void;
  /** Checks I2 on a mixed load without faults: orders are shed at most as often as browses. */
  checkShedOrder(sends: readonly FuzzSend[]): void;
}

export interface CallOracleOptions {
  getNow: () => number;
  retryAllowance: number;
  /** Maximum time from the announcement of draining until a target gets no new calls (ms), I6. */
  maxDrainDelayMs: number;
}

const SHED_KINDS = new Set(['shed', 'overloaded', 'deadlineUnreachable', 'deadlineExceeded']);

/** Creates the oracle of one fuzzed run. Its checks throw a `FailureError` that names the invariant. */
export function createCallOracle({ getNow, retryAllowance, maxDrainDelayMs }: CallOracleOptions): CallOracle {
  const runsByBody = new Map<string, Run[]>();
  const runsByRequest = new Map<string, Run[]>();
  /** Service and receiver of each `call` frame to a target, by request id. */
  const framesByRequest = new Map<string, { service: string; to: string }[]>();
  const drainingSince = new Map<string, number>();

  const checkAttempts = (requestId: string): void => {
    const runs = runsByRequest.get(requestId) ?? [];
    const frames = framesByRequest.get(requestId) ?? [];
    const getService = (run: Run): string => (['order', 'browse'].includes(run.operation) ? 'shop' : 'stock');
    const computeAttempts = (service: string): number =>
      frames.filter((frame) => frame.service === service).length +
      runs.filter(
        (run) =>
          getService(run) === service && !frames.some((frame) => frame.service === service && frame.to === run.host),
      ).length;
    const shopRuns = runs.filter((run) => getService(run) === 'shop').length;
    // Each run of `shop` makes one downstream call, whose first attempt is not a retry.
    const retries = Math.max(0, computeAttempts('shop') - 1) + Math.max(0, computeAttempts('stock') - shopRuns);
    check(
      retries <= retryAllowance,
      `I1: request ${requestId} made ${retries} retries, its allowance is ${retryAllowance}`,
    );
  };
  const listShopRuns = (body: string): Run[] =>
    (runsByBody.get(body) ?? []).filter((run) => run.operation === 'order' || run.operation === 'browse');
  const checkDenial = (send: FuzzSend): void => {
    const { request } = send;
    const isOnlySend = request.sends.length === 1;
    const run = listShopRuns(request.body).find(
      ({ atMs }) => isOnlySend || (request.ticket !== undefined && atMs < send.sentAtMs),
    );
    check(run === undefined, `I4: ${request.body} was refused with ran: no although it ran at ${run?.host ?? ''}`);
  };
  const isDenied = (send: FuzzSend): boolean =>
    send.results.some((result) => result.type === 'refusal' && result.failure.ran === 'no');

  return {
    observeRun: (host, { body, operation, requestId }) => {
      const text = new TextDecoder().decode(body);
      const run: Run = { host, operation, requestId, atMs: getNow() };
      const runs = addTo(runsByBody, text, run);
      if (operation === 'order' || operation === 'reserve') {
        const runCount = runs.filter((other) => other.operation === operation).length;
        check(runCount === 1, `I5: ${operation} of ${text} ran ${runCount} times, last at ${host}`);
      }
      addTo(runsByRequest, requestId, run);
      checkAttempts(requestId);
      const sinceMs = drainingSince.get(host);
      const isLate = sinceMs !== undefined && getNow() - sinceMs > maxDrainDelayMs;
      check(!isLate, `I6: ${host} got ${operation} ${getNow() - (sinceMs ?? 0)} ms after it announced that it drains`);
    },
    observeFrame: (to, frame) => {
      if (frame.type !== 'call' || frame.purpose !== 'target') return;
      const { requestId, service } = frame.envelope;
      addTo(framesByRequest, requestId, { service, to });
      checkAttempts(requestId);
    },
    observeResult: (send, result) => {
      const { body } = send.request;
      send.results.push(result);
      check(send.results.length === 1, `I3: a send of ${body} got ${send.results.length} results`);
      if (result.type === 'answer') {
        const text = new TextDecoder().decode(result.body);
        const isComplete = result.status === 200 && text === body;
        check(isComplete, `I3: ${body} got the response ${result.status} "${text}"`);
      } else if (result.failure.ran === 'no') checkDenial(send);
    },
    markDraining: (host, atMs) => {
      if (atMs === undefined) drainingSince.delete(host);
      else if (!drainingSince.has(host)) drainingSince.set(host, atMs);
    },
    markResumed: (host) => {
      if (drainingSince.has(host)) drainingSince.set(host, getNow());
    },
    checkAllReplied: (sends) => {
      for (const send of sends) {
        const { body, sends: all } = send.request;
        check(send.isAbandoned || send.results.length === 1, `I3: ${body} sent to ${send.host} got no result`);
        const isOnlyDenied = all.length === 1 && isDenied(send);
        check(!isOnlyDenied || listShopRuns(body).length === 0, `I4: ${body} ran after it was refused with ran: no`);
      }
    },
    checkShedOrder: (sends) => {
      const computeShed = (operation: string): number => {
        const operationSends = sends.filter(({ request }) => request.operation === operation);
        const shed = operationSends.filter(
          ({ results: [result] }) => result?.type === 'refusal' && SHED_KINDS.has(result.failure.kind),
        );
        return shed.length / Math.max(1, operationSends.length);
      };
      const [orders, browses] = [computeShed('order'), computeShed('browse')];
      check(orders <= browses, `I2: shed share of orders ${orders.toFixed(3)}, of browses ${browses.toFixed(3)}`);
    },
  };
}

function addTo<T>(lists: Map<string, T[]>, key: string, item: T): T[] {
  const list = lists.get(key) ?? [];
  list.push(item);
  lists.set(key, list);
  return list;
}
