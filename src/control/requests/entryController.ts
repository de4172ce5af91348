import type { ReadView } from '../../core/blackboard.js';
import { hashText, hashToUnit } from '../../core/hash.js';
import { computeShedRetry, decideNextStep, RETRY_AFTER_MS } from '../../policy/attemptOutcome.js';
import { hasRetryToken } from '../../policy/fleetBudget.js';
import { choosePart } from '../../policy/partChoice.js';
import { resolveSuspect } from '../../policy/quarantine.js';
import { findRoute, listParts } from '../../policy/routeTable.js';
import { chooseTarget } from '../../policy/targetChoice.js';
import type { TargetCandidate } from '../../policy/targetChoice.js';
import type { RunFailure, RunRequest } from '../../schema/linkFrame.js';
import type { Refusal } from '../../schema/refusal.js';
import type { Route } from '../../schema/routeConfiguration.js';
import type { Controller } from '../context.js';
import { listCandidates } from './candidates.js';
import type { RequestContext } from './context.js';
import type { RunAnswer, RunAttempt, RunHandle } from './runPort.js';

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

export interface EntryController extends Controller {
  /** Takes a request of a client or of the local target; answers once. */
  acceptRequest(request: ClientRequest, reply: ClientReply): RunHandle;
}

/** Time past its deadline at which the entry answers by itself when the run node has not (ms). */
const FALLBACK_MS = 40;

interface Entry {
  readonly request: ClientRequest;
  readonly reply: ClientReply;
  readonly route: ReadView<Route>;
  readonly service: string;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly fingerprint: number;
  readonly triedHosts: Set<string>;
  attempt: RunAttempt | undefined;
  sentAtMs: number;
  arrivals: number;
  offers: number;
  isAnswering: boolean;
  isEnded: boolean;
  cancelDeadline: () => void;
}

/** Writes the requests that entered at this node: matches, sends, repeats and answers them. */
export function createEntryController(context: RequestContext): EntryController {
  const { board, clock, deadlines, random, io } = context;
  const entries = board.claim('entries', 'entryController');
  const { section } = entries;
  const open = new Set<Entry>();

  const report = (entry: Entry, outcome: string, detail: string): void => {
    const { route, service, request } = entry;
    const kind = outcome === 'answered' ? 'requestEnded' : 'requestRefused';
    const inputs = {
      route: route.name,
      service,
      host: entry.attempt?.host,
      ms: Math.round(clock.now() - entry.arrivedAtMs),
      arrivals: entry.arrivals,
      offers: entry.offers,
      configuration: board.read('routes').version,
      detail,
    };
    board.post('decisions', { kind, id: request.requestId, outcome, inputs });
  };
  const end = (entry: Entry, outcome: string, detail: string): void => {
    entry.isEnded = true;
    entry.cancelDeadline();
    open.delete(entry);
    section.open = open.size;
    section.counts.set(outcome, (section.counts.get(outcome) ?? 0) + 1);
    if (outcome === 'answered') {
      const durationMs = clock.now() - entry.arrivedAtMs;
      io.recordDuration({ place: 'entry', route: entry.route.name, durationMs });
    }
    report(entry, outcome, detail);
  };
  const refuse = (entry: Entry, refusal: Refusal): void => {
    if (entry.isEnded) return;
    end(entry, refusal.kind, refusal.detail);
    if (entry.isAnswering) entry.reply.abort();
    else entry.reply.refuse(refusal);
  };
  const buildRun = (entry: Entry): RunRequest => {
    const { request, route, service, arrivedAtMs, deadlineAtMs, fingerprint } = entry;
    const nowMs = clock.now();
    return {
      requestId: request.requestId,
      service,
      route: route.name,
      priority: route.priority,
      isIdempotent: route.kind === 'idempotent',
      method: request.method,
      path: request.path,
      headers: request.headers,
      callerService: board.read('settings').current.service,
      timeLeftMs: Math.max(0, deadlineAtMs - nowMs),
      worthLeftMs: arrivedAtMs + route.targetLatencyMs - nowMs,
      isRepeat: entry.arrivals > 0,
      fingerprint,
      isStreamed: request.isStreamed,
      ...(request.body === undefined ? {} : { body: request.body }),
    };
  };
  const send = (entry: Entry, { host, isOwnHost }: TargetCandidate): void => {
    entry.sentAtMs = clock.now();
    const attempt: RunAttempt = {
      host,
      request: buildRun(entry),
      events: {
        answer: (answer) => {
          receiveAnswer(entry, attempt, answer);
        },
        part: (data, isLast) => {
          if (entry.isEnded || entry.attempt !== attempt) return;
          if (isLast) end(entry, 'answered', '');
          entry.reply.part(data, isLast);
        },
        fail: (failure) => {
          receiveFailure(entry, attempt, failure);
        },
        grantBody: (bytes) => {
          entry.reply.grantBody(bytes);
        },
      },
      handle: undefined,
    };
    entry.attempt = attempt;
    if (isOwnHost) board.post('runs', { type: 'accept', attempt });
    else board.post('links', { type: 'send', attempt });
  };
  const receiveAnswer = (entry: Entry, attempt: RunAttempt, answer: RunAnswer): void => {
    if (entry.isEnded || entry.attempt !== attempt) return;
    if (answer.isStreamed) entry.isAnswering = true;
    else end(entry, 'answered', String(answer.status));
    entry.reply.answer(answer);
  };
  const receiveFailure = (entry: Entry, attempt: RunAttempt, failure: RunFailure): void => {
    if (entry.isEnded || entry.attempt !== attempt) return;
    const { route, request, service } = entry;
    // A request that was lost on the way to a host may be offered there again.
    if (failure.kind !== 'linkLost' || failure.hasArrived) entry.triedHosts.add(attempt.host);
    if (failure.hasArrived) entry.arrivals++;
    else entry.offers++;
    const timeLeftMs = entry.deadlineAtMs - clock.now();
    const step = decideNextStep({
      failure,
      isIdempotent: route.kind === 'idempotent',
      isRepeatable: !request.isStreamed && !entry.isAnswering,
      arrivals: entry.arrivals,
      maxAttempts: route.maxAttempts,
      offers: entry.offers,
      hasRetryToken: hasRetryToken(board.read('budgets').byService.get(service)),
      timeLeftMs,
      expectedMs: 0,
    });
    const inputs = {
      route: route.name,
      host: attempt.host,
      failure: failure.kind,
      ran: failure.ran,
      detail: failure.detail,
      afterMs: Math.round(clock.now() - entry.sentAtMs),
      timeLeftMs: Math.round(timeLeftMs),
      arrivals: entry.arrivals,
    };
    board.post('decisions', { kind: 'attemptFailed', id: request.requestId, outcome: step.type, inputs });
    if (step.type === 'refuse') {
      refuse(entry, step.refusal);
      return;
    }
    const candidate = chooseNext(entry);
    if (candidate === undefined) {
      refuse(entry, describeNoTarget(entry, failure));
      return;
    }
    if (step.type === 'retry') board.post('budgets', { type: 'retry', service });
    send(entry, candidate);
  };
  const describeNoTarget = (entry: Entry, failure: RunFailure | undefined): Refusal => {
    if (failure !== undefined && failure.ran !== 'no') return { kind: 'failed', detail: failure.kind };
    const detail = `no other target of ${entry.service}${failure === undefined ? '' : ` after ${failure.kind}`}`;
    return { kind: 'noTarget', detail, retryAfterMs: RETRY_AFTER_MS };
  };
  const chooseNext = (entry: Entry): TargetCandidate | undefined => {
    const { route, service, triedHosts } = entry;
    const candidates = listCandidates(board, { service, priority: route.priority, nowMs: clock.now() }).filter(
      ({ host }) => !triedHosts.has(host),
    );
    const mayTry = route.kind === 'idempotent' && route.priority > 0;
    const untried = mayTry ? candidates.find(({ isUntried }) => isUntried) : undefined;
    const usefulMs = Math.min(route.targetLatencyMs, route.timeoutMs);
    return untried ?? chooseTarget({ candidates, targetLatencyMs: usefulMs, random });
  };
  const expire = (entry: Entry): void => {
    if (entry.isEnded) return;
    entry.attempt?.handle?.cancel();
    refuse(entry, { kind: 'timedOut', detail: 'no answer in time' });
  };
  const refuseEarly = (request: ClientRequest, reply: ClientReply, refusal: Refusal): RunHandle => {
    const { kind, detail } = refusal;
    section.counts.set(kind, (section.counts.get(kind) ?? 0) + 1);
    const inputs = { host: request.host, path: request.path, configuration: board.read('routes').version, detail };
    board.post('decisions', { kind: 'requestRefused', id: request.requestId, outcome: kind, inputs });
    reply.refuse(refusal);
    return { cancel: () => undefined, grantAnswer: () => undefined, sendBody: () => undefined };
  };
  const acceptRequest = (request: ClientRequest, reply: ClientReply): RunHandle => {
    const { table } = board.read('routes');
    if (table === undefined) {
      const detail = 'no configuration was read yet';
      return refuseEarly(request, reply, { kind: 'noConfiguration', detail, retryAfterMs: RETRY_AFTER_MS });
    }
    if (board.read('node').isClosing) {
      const detail = 'the node stops';
      return refuseEarly(request, reply, { kind: 'stopping', detail, retryAfterMs: RETRY_AFTER_MS });
    }
    const route = findRoute(table, request.host, request.path);
    if (route === undefined) return refuseEarly(request, reply, { kind: 'noRoute', detail: 'no route matches' });
    const service = chooseService(route);
    const nowMs = clock.now();
    const entry: Entry = {
      request,
      reply,
      route,
      service,
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + Math.min(request.timeLeftMs, route.timeoutMs),
      fingerprint: computeFingerprint(request),
      triedHosts: new Set(),
      attempt: undefined,
      sentAtMs: nowMs,
      arrivals: 0,
      offers: 0,
      isAnswering: false,
      isEnded: false,
      cancelDeadline: () => undefined,
    };
    open.add(entry);
    section.open = open.size;
    section.arrived.set(route.name, (section.arrived.get(route.name) ?? 0) + 1);
    board.post('budgets', { type: 'request', service });
    entry.cancelDeadline = deadlines.add(entry.deadlineAtMs + FALLBACK_MS, () => {
      expire(entry);
    });
    startEntry(entry);
    return buildHandle(entry);
  };
  const startEntry = (entry: Entry): void => {
    const suspect = board.read('quarantine').byFingerprint.get(entry.fingerprint);
    if (resolveSuspect(suspect, clock.now()) === 'refuse') {
      refuse(entry, { kind: 'quarantined', detail: 'requests like this one crash their targets' });
      return;
    }
    const fraction = board.read('admission').fractions.get(entry.route.name);
    if (fraction !== undefined && hashToUnit(entry.request.requestId) >= fraction) {
      const retryAfterMs = computeShedRetry(entry.route.targetLatencyMs, random());
      refuse(entry, {
        kind: 'overloaded',
        detail: `${Math.round(fraction * 100)}% of the route are admitted`,
        retryAfterMs,
      });
      return;
    }
    const candidate = chooseNext(entry);
    if (candidate === undefined) refuse(entry, describeNoTarget(entry, undefined));
    else send(entry, candidate);
  };
  const buildHandle = (entry: Entry): RunHandle => ({
    cancel: () => {
      if (entry.isEnded) return;
      end(entry, 'cancelled', 'the client left');
      entry.attempt?.handle?.cancel();
    },
    grantAnswer: (bytes) => entry.attempt?.handle?.grantAnswer(bytes),
    sendBody: (data, isLast) => entry.attempt?.handle?.sendBody(data, isLast),
  });
  const chooseService = (route: ReadView<Route>): string => {
    let credits = section.partCredits.get(route.name);
    if (credits === undefined) section.partCredits.set(route.name, (credits = new Map()));
    return choosePart(credits, listParts(route)) ?? '';
  };
  /** Answers what is still open when the process ends, so that no client is left without an answer. */
  const endAll = (): void => {
    for (const entry of [...open]) {
      const hasStarted = entry.attempt !== undefined;
      entry.attempt?.handle?.cancel();
      const detail = 'the node stops';
      refuse(
        entry,
        hasStarted ? { kind: 'failed', detail } : { kind: 'stopping', detail, retryAfterMs: RETRY_AFTER_MS },
      );
    }
  };
  return { acceptRequest, start: () => undefined, stop: endAll };
}

/** A request that comes again, perhaps at another host, has the same method, path and body; a streamed body is any. */
function computeFingerprint({ method, path, body }: ClientRequest): number {
  const bodyHash = body === undefined || body.length === 0 ? 0 : hashText(Buffer.from(body).toString('latin1'));
  return hashText(`${method} ${path} ${bodyHash}`);
}
