import { FailureError } from '../schema/failure.js';
import type { CallResult, TargetRequest } from '../schema/call.js';
import type { Frame } from '../schema/frame.js';

/** One request as its caller knows it; all sends of it carry the same body and ticket. */
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
  /** The caller left, or its entry node was killed. */
  isAbandoned: boolean;
}

interface Run {
  host: string;
  operation: string;
  requestId: string;
  atMs: number;
}

/** Checks the invariants from what callers, targets and the network see. It shares no code with the decisions. */
export interface CallOracle {
  observeRun(host: string, request: TargetRequest): void;
  observeFrame(to: string, frame: Frame): void;
  observeResult(send: FuzzSend, result: CallResult): void;
  /** The target of this host announces from now on that it is leaving; undefined when it no longer does. */
  markDraining(host: string, atMs: number | undefined): void;
  /** The process of this host does not run, so that the time of I6 begins anew. */
  markPaused(host: string): void;
  /** Every send whose caller stayed and whose entry node lived has its result. */
  checkAllReplied(sends: readonly FuzzSend[]): void;
  /** A mixed load on a fleet without faults lost no larger share of the important requests than of the others. */
  checkShedOrder(sends: readonly FuzzSend[]): void;
}

export interface CallOracleOptions {
  getNow: () => number;
  retryAllowance: number;
  /** Time after which a target that announced its leaving gets no new work (ms): I6, docs/design.md section 1. */
  drainBoundMs: number;
}

const SHED_KINDS = new Set(['shed', 'overloaded', 'deadlineUnreachable', 'deadlineExceeded']);

export function createCallOracle({ getNow, retryAllowance, drainBoundMs }: CallOracleOptions): CallOracle {
  const runsByBody = new Map<string, Run[]>();
  const runsByRequest = new Map<string, Run[]>();
  /** By request id: the `call` frames to targets, with service and receiver. */
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
    // Each run of shop makes one onward call, whose first attempt is no retry.
    const retries = Math.max(0, computeAttempts('shop') - 1) + Math.max(0, computeAttempts('stock') - shopRuns);
    check(retries <= retryAllowance, `I1: request ${requestId} made ${retries} retries, allowed are ${retryAllowance}`);
  };
  const listShopRuns = (body: string): Run[] =>
    (runsByBody.get(body) ?? []).filter((run) => run.operation === 'order' || run.operation === 'browse');
  const checkDenial = (send: FuzzSend): void => {
    const { request } = send;
    const isOnlySend = request.sends.length === 1;
    const run = listShopRuns(request.body).find(
      ({ atMs }) => isOnlySend || (request.ticket !== undefined && atMs < send.sentAtMs),
    );
    check(run === undefined, `I4: ${request.body} was refused with ran no, and ran at ${run?.host ?? ''}`);
  };
  const isDenied = (send: FuzzSend): boolean =>
    send.results.some((result) => result.type === 'refusal' && result.failure.ran === 'no');

  return {
    observeRun: (host, { body, operation, requestId }) => {
      const text = new TextDecoder().decode(body);
      const run: Run = { host, operation, requestId, atMs: getNow() };
      const runs = addTo(runsByBody, text, run);
      if (operation === 'order' || operation === 'reserve') {
        const times = runs.filter((other) => other.operation === operation).length;
        check(times === 1, `I5: ${operation} of ${text} ran ${times} times, last at ${host}`);
      }
      addTo(runsByRequest, requestId, run);
      checkAttempts(requestId);
      const sinceMs = drainingSince.get(host);
      const isLate = sinceMs !== undefined && getNow() - sinceMs > drainBoundMs;
      check(!isLate, `I6: ${host} got ${operation} ${getNow() - (sinceMs ?? 0)} ms after it announced its leaving`);
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
      check(send.results.length === 1, `I3: one send of ${body} got ${send.results.length} results`);
      if (result.type === 'answer') {
        const text = new TextDecoder().decode(result.body);
        const isWhole = result.status === 200 && text === body;
        check(isWhole, `I3: ${body} got the answer ${result.status} "${text}"`);
      } else if (result.failure.ran === 'no') checkDenial(send);
    },
    markDraining: (host, atMs) => {
      if (atMs === undefined) drainingSince.delete(host);
      else if (!drainingSince.has(host)) drainingSince.set(host, atMs);
    },
    markPaused: (host) => {
      if (drainingSince.has(host)) drainingSince.set(host, getNow());
    },
    checkAllReplied: (sends) => {
      for (const send of sends) {
        const { body, sends: all } = send.request;
        check(send.isAbandoned || send.results.length === 1, `I3: ${body} sent to ${send.host} got no result`);
        const isOnlyDenied = all.length === 1 && isDenied(send);
        check(!isOnlyDenied || listShopRuns(body).length === 0, `I4: ${body} ran after it was refused with ran no`);
      }
    },
    checkShedOrder: (sends) => {
      const computeShed = (operation: string): number => {
        const ofOperation = sends.filter(({ request }) => request.operation === operation);
        const shed = ofOperation.filter(
          ({ results: [result] }) => result?.type === 'refusal' && SHED_KINDS.has(result.failure.kind),
        );
        return shed.length / Math.max(1, ofOperation.length);
      };
      const [orders, browses] = [computeShed('order'), computeShed('browse')];
      check(
        orders <= browses,
        `I2: of one load ${orders.toFixed(3)} of orders, ${browses.toFixed(3)} of browses were shed`,
      );
    },
  };
}

/** Fails the run with what was seen. */
export function check(holds: boolean, message: string): void {
  if (!holds) throw new FailureError({ kind: 'processFailed', message });
}

function addTo<T>(lists: Map<string, T[]>, key: string, item: T): T[] {
  const list = lists.get(key) ?? [];
  list.push(item);
  lists.set(key, list);
  return list;
}
