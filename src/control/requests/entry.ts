import { computeEffectivePriority, splitEffectivePriority } from '../../policy/excessRequests.js';
import type { ReadView } from '../../core/blackboard.js';
import type { RunRequest } from '../../schema/linkFrame.js';
import type { Refusal } from '../../schema/refusal.js';
import type { Organisation, Route } from '../../schema/routeConfiguration.js';
import type { RunAnswer, RunAttempt, RunHandle } from './runPort.js';

/** A request as received by the HTTP front end. */
export interface ClientRequest {
  requestId: string;
  method: string;
  path: string;
  /** The `Host` header. */
  host: string;
  /** End-to-end headers, alternating names and values. */
  headers: string[];
  /** Headers about the sender's identity, which are forwarded only where no keys are needed. */
  identityHeaders: string[];
  /** Key of an organisation; undefined if the request has none. */
  key: string | undefined;
  /** How long the client waits for the answer (ms). */
  timeLeftMs: number;
  /** The complete body; undefined if there is none or if it follows in parts. */
  body: Uint8Array | undefined;
  isStreamed: boolean;
  /** True if the client sent many requests on its connection before it without waiting for responses. */
  isExcess: boolean;
}

/** Callbacks to the front end. The last call is a complete answer, a last part, a refusal or an abort. */
export interface ClientReply {
  answer(answer: RunAnswer): void;
  part(data: Uint8Array, isLast: boolean): void;
  refuse(refusal: Refusal): void;
  /** The answer is truncated; the client must be able to notice that. */
  abort(): void;
  /** The client may send this many more bytes of the request body. */
  grantBody(bytes: number): void;
}

/** Where a request came from. */
export interface ClientOrigin {
  /** IP address of the client; undefined once its connection is closed. */
  readonly remoteAddress?: string | undefined;
}

/** Takes a request that the HTTP front end has read; the response is sent with the reply. */
export type AcceptRequest = (request: ClientRequest, reply: ClientReply, origin: ClientOrigin) => RunHandle;

/** One request at its entry node. Times are monotonic (ms). */
export interface Entry {
  readonly request: ClientRequest;
  readonly reply: ClientReply;
  readonly route: ReadView<Route>;
  readonly service: string;
  /** The organisation that sent the request; undefined if none did. */
  readonly organisation: ReadView<Organisation> | undefined;
  /** 0 is the most urgent; see `computeEffectivePriority`. */
  readonly priority: number;
  /** True for a call of a running request, whose priority it has taken over. */
  readonly isStarted: boolean;
  /** True if the request may take the lane of urgent requests. */
  readonly isUrgent: boolean;
  /** Version of the configuration by which the route was chosen. */
  readonly configurationVersion: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly triedHosts: Set<string>;
  /** The most recent attempt. */
  attempt: RunAttempt | undefined;
  /** Time at which the latest attempt was sent. */
  sentAtMs: number;
  /** Number of failed attempts that may have reached a target. */
  arrivals: number;
  /** Number of failed attempts in which the request was offered to a node but did not reach its target. */
  offers: number;
  /** True if some attempt ran or may have run, so that a refusal must not claim that the request has not run. */
  mayHaveRun: boolean;
  /** The error response of a target, returned to the client if no other target succeeds. */
  failedAnswer: RunAnswer | undefined;
  /** True once a streamed answer began. */
  isAnswering: boolean;
  isEnded: boolean;
  cancelDeadline: () => void;
}

/** Creates the entry for a new request. */
export function createEntry(options: {
  request: ClientRequest;
  reply: ClientReply;
  route: ReadView<Route>;
  service: string;
  organisation: ReadView<Organisation> | undefined;
  /** Priority of the run that makes this call; undefined for requests of clients. */
  parentPriority: number | undefined;
  configurationVersion: number;
  nowMs: number;
}): Entry {
  const { request, reply, route, service, organisation, parentPriority, configurationVersion, nowMs } = options;
  const ownPriority = organisation?.priority ?? route.priority;
  return {
    request,
    reply,
    route,
    service,
    organisation,
    priority: parentPriority ?? computeEffectivePriority(ownPriority, request.isExcess),
    isStarted: parentPriority !== undefined,
    // Links have an urgent lane only to services that the configuration shows to get urgent requests.
    isUrgent: ownPriority === 0 && !route.isBulk,
    configurationVersion,
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

/** Builds the request that is sent to the target's node. */
export function buildRun(entry: Entry, callerService: string, nowMs: number): RunRequest {
  const { request, route, service, isStarted, organisation, arrivedAtMs, deadlineAtMs } = entry;
  const { priority, isExcess } = splitEffectivePriority(entry.priority);
  return {
    requestId: request.requestId,
    service,
    route: route.name,
    priority,
    ...(isStarted ? { isStarted } : {}),
    ...(isExcess ? { isExcess } : {}),
    isIdempotent: route.isIdempotent,
    method: request.method,
    path: request.path,
    headers: request.headers,
    callerService,
    ...(organisation === undefined ? {} : { organisation: organisation.name }),
    timeLeftMs: Math.max(0, deadlineAtMs - nowMs),
    // Time until the answer exceeds the target latency; negative afterwards.
    worthLeftMs: arrivedAtMs + route.targetLatencyMs - nowMs,
    isRepeat: entry.arrivals > 0,
    isStreamed: request.isStreamed,
    ...(request.body === undefined ? {} : { body: request.body }),
  };
}
