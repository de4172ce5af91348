import type { ReadView } from '../../core/blackboard.js';
import type { RunRequest } from '../../schema/linkFrame.js';
import type { Refusal } from '../../schema/refusal.js';
import type { Route } from '../../schema/routeConfiguration.js';
import type { RunAnswer, RunAttempt } from './runPort.js';

/** A request as the edge read it. */
export interface ClientRequest {
  requestId: string;
  method: string;
  path: string;
  /** The `Host` header. */
  host: string;
  /** End-to-end headers, names and values in turn. */
  headers: string[];
  /** How long the client will wait (ms). */
  timeLeftMs: number;
  /** The whole body; undefined when there is none or it follows in parts. */
  body: Uint8Array | undefined;
  isStreamed: boolean;
}

/** What the edge is told. Ends with a whole answer, a last part, a refusal or an abort. */
export interface ClientReply {
  answer(answer: RunAnswer): void;
  part(data: Uint8Array, isLast: boolean): void;
  refuse(refusal: Refusal): void;
  /** The answer broke off: it must not look complete. */
  abort(): void;
  grantBody(bytes: number): void;
}

/** One request at the node where it entered. Times are monotonic (ms). */
export interface Entry {
  readonly request: ClientRequest;
  readonly reply: ClientReply;
  readonly route: ReadView<Route>;
  readonly service: string;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly triedHosts: Set<string>;
  /** The attempt that was sent last. */
  attempt: RunAttempt | undefined;
  sentAtMs: number;
  /** Attempts that may have reached a target. */
  arrivals: number;
  /** Nodes that refused it without reaching a target. */
  offers: number;
  /** Some attempt ran or may have run, so that no refusal may say otherwise. */
  mayHaveRun: boolean;
  /** A target's own failure, passed on when no other target does better. */
  failedAnswer: RunAnswer | undefined;
  isAnswering: boolean;
  isEnded: boolean;
  cancelDeadline: () => void;
}

/** Creates the entry of a request that has just arrived. */
export function createEntry(options: {
  request: ClientRequest;
  reply: ClientReply;
  route: ReadView<Route>;
  service: string;
  nowMs: number;
}): Entry {
  const { request, reply, route, service, nowMs } = options;
  return {
    request,
    reply,
    route,
    service,
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + Math.min(request.timeLeftMs, route.timeoutMs),
    triedHosts: new Set(),
    attempt: undefined,
    sentAtMs: nowMs,
    arrivals: 0,
    offers: 0,
    mayHaveRun: false,
    failedAnswer: undefined,
    isAnswering: false,
    isEnded: false,
    cancelDeadline: () => undefined,
  };
}

/** Builds what the node beside the target gets. */
export function buildRun(entry: Entry, callerService: string, nowMs: number): RunRequest {
  const { request, route, service, arrivedAtMs, deadlineAtMs } = entry;
  return {
    requestId: request.requestId,
    service,
    route: route.name,
    priority: route.priority,
    isIdempotent: route.kind === 'idempotent',
    method: request.method,
    path: request.path,
    headers: request.headers,
    callerService,
    timeLeftMs: Math.max(0, deadlineAtMs - nowMs),
    worthLeftMs: arrivedAtMs + route.targetLatencyMs - nowMs,
    isRepeat: entry.arrivals > 0,
    isStreamed: request.isStreamed,
    ...(request.body === undefined ? {} : { body: request.body }),
  };
}
