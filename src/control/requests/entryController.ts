import { hashToUnit } from '../../core/hash.js';
import { addMatch, addMatches } from '../../policy/callMatches.js';
import { RETRY_AFTER_MS } from '../../policy/nextStep.js';
import { formatKind } from '../../policy/requestKind.js';
import { choosePart } from '../../policy/partChoice.js';
import { findParentRun } from '../../policy/parentRun.js';
import { estimateRoomDelay } from '../../policy/shedDelay.js';
import { computeStopRetryDelay, isTakenWhileStopping } from '../../policy/stopPlan.js';
import { findCaller } from '../../policy/organisations.js';
import { findRoute, listParts } from '../../policy/routeTable.js';
import { removeNotRunGuarantee } from '../../schema/refusal.js';
import type { Refusal } from '../../schema/refusal.js';
import type { Route } from '../../schema/routeConfiguration.js';
import type { ReadView } from '../../core/blackboard.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';
import { reportInternalError } from './containment.js';
import { createEntry } from './entry.js';
import type { ClientReply, ClientRequest, Entry } from './entry.js';
import { createEntryAttempts } from './entryAttempts.js';
import { createEntryQuota } from './entryQuota.js';
import type { RunHandle } from './runPort.js';

/** Accepts the requests of the front end. */
export interface EntryController extends Controller {
  /** Accepts a request from a client or from the local target. */
  acceptRequest(request: ClientRequest, reply: ClientReply): RunHandle;
  /** True if a request may run more than once, or is refused without being run, by the configuration in force. */
  isIdempotent(request: Pick<ClientRequest, 'host' | 'path'>): boolean;
}

/**
 * Time past the deadline after which the entry node refuses a request without an outcome from the target's node (ms).
 */
const FALLBACK_DELAY_MS = 40;
/** It promises nothing: the request may have run. */
const internalErrorRefusal: Refusal = { kind: 'failed', detail: 'internal error' };

/** Writes the requests that entered at this node: matches them to routes, sends, retries and answers them. */
export function createEntryController(context: RequestContext): EntryController {
  const { board, clock, deadlines, io } = context;
  const entries = board.claim('entries', 'entryController');
  const { section } = entries;
  const open = new Set<Entry>();

  const report = (entry: Entry, outcome: string, detail: string, retryAfterMs?: number): void => {
    const { route, service, organisation, request, configurationVersion } = entry;
    const { version } = board.read('routes');
    const kind = outcome === 'answered' ? 'requestEnded' : 'requestRefused';
    const inputs = {
      route: route.name,
      service,
      ...(organisation === undefined ? {} : { organisation: organisation.name }),
      host: entry.attempt?.host,
      ms: Math.round(clock.now() - entry.arrivedAtMs),
      arrivals: entry.arrivals,
      offers: entry.offers,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs: Math.round(retryAfterMs) }),
      ...(entry.isStarted ? { parentPriority: entry.priority } : {}),
      configuration: configurationVersion,
      ...(version === configurationVersion ? {} : { configurationAtEnd: version }),
      detail,
    };
    board.post('decisions', { kind, id: request.requestId, outcome, inputs });
  };
  const end = (entry: Entry, outcome: string, detail: string, retryAfterMs?: number): void => {
    entry.isEnded = true;
    entry.cancelDeadline();
    open.delete(entry);
    quota.cancel(entry);
    section.open = open.size;
    section.counts.set(outcome, (section.counts.get(outcome) ?? 0) + 1);
    if (outcome === 'answered') {
      const durationMs = clock.now() - entry.arrivedAtMs;
      io.recordDuration({ place: 'entry', route: entry.route.name, durationMs });
    }
    report(entry, outcome, detail, retryAfterMs);
  };
  const refuse = (entry: Entry, refusal: Refusal): void => {
    if (entry.isEnded) return;
    const finalRefusal = entry.mayHaveRun ? removeNotRunGuarantee(refusal) : refusal;
    end(entry, finalRefusal.kind, finalRefusal.detail, finalRefusal.retryAfterMs);
    if (entry.isAnswering) entry.reply.abort();
    else entry.reply.refuse(finalRefusal);
  };
  /** Handles a part of an entry; an error in it ends this entry only. */
  const runContained = (entry: Entry, run: () => void): void => {
    try {
      run();
    } catch (error) {
      reportInternalError(board, { unit: 'request', id: entry.request.requestId, error });
      entry.mayHaveRun = true;
      cancelContained(entry);
      // The client of a request that counts as ended may not have got its answer.
      if (entry.isEnded) entry.reply.abort();
      else refuse(entry, internalErrorRefusal);
    }
  };
  /** Cancels the current attempt; an error in that is reported only. */
  const cancelContained = (entry: Entry): void => {
    try {
      attempts.cancelEntry(entry);
    } catch (error) {
      reportInternalError(board, { unit: 'request', id: entry.request.requestId, error });
    }
  };
  const attempts = createEntryAttempts(context, { section, callbacks: { end, refuse, runContained } });
  const quota = createEntryQuota(context, {
    send: (entry) => {
      countArrival(entry);
      attempts.sendEntry(entry);
    },
    refuse,
  });
  const expire = (entry: Entry): void => {
    if (entry.isEnded) return;
    attempts.cancelEntry(entry);
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
    try {
      return openEntry(request, reply);
    } catch (error) {
      reportInternalError(board, { unit: 'request', id: request.requestId, error });
      return refuseEarly(request, reply, internalErrorRefusal);
    }
  };
  const openEntry = (request: ClientRequest, reply: ClientReply): RunHandle => {
    const { table, version } = board.read('routes');
    if (table === undefined) {
      const detail = 'no configuration has been received yet';
      return refuseEarly(request, reply, { kind: 'noConfiguration', detail, retryAfterMs: RETRY_AFTER_MS });
    }
    const route = findRoute(table, request.host, request.path);
    if (route === undefined) return refuseEarly(request, reply, { kind: 'noRoute', detail: 'no route matches' });
    const caller = findCaller(table, route, request.key);
    if (caller.type === 'unknown') return refuseEarly(request, reply, { kind: 'unauthorized', detail: caller.detail });
    const stopRefusal = findStopRefusal(request, route);
    if (stopRefusal !== undefined) return refuseEarly(request, reply, stopRefusal);
    const service = chooseService(route);
    const entry = createEntry({
      request: table.organisationByKey === undefined ? restoreIdentityHeaders(request) : request,
      reply,
      route,
      service,
      organisation: caller.type === 'organisation' ? caller.organisation : undefined,
      parentPriority: caller.type === 'anonymous' ? findParentPriority(request, route) : undefined,
      configurationVersion: version,
      nowMs: clock.now(),
    });
    open.add(entry);
    section.open = open.size;
    runContained(entry, () => {
      board.post('budgets', { type: 'request', service });
      entry.cancelDeadline = deadlines.add(entry.deadlineAtMs + FALLBACK_DELAY_MS, () => {
        runContained(entry, () => {
          expire(entry);
        });
      });
      startEntry(entry);
    });
    return buildHandle(entry);
  };
  const countOrganisation = ({ route, priority, organisation }: Entry): void => {
    const { arrivedByOrganisation } = section;
    const kind = formatKind(route, priority);
    const name = organisation?.name ?? '';
    let counts = arrivedByOrganisation.get(kind);
    if (counts === undefined) arrivedByOrganisation.set(kind, (counts = new Map()));
    counts.set(name, (counts.get(name) ?? 0) + 1);
  };
  /** Counts a request for admission, which divides the room among requests inside the quotas only. */
  const countArrival = (entry: Entry): void => {
    const { route, priority } = entry;
    const { arrivedByRoute, arrivedByPriority } = section;
    arrivedByRoute.set(route.name, (arrivedByRoute.get(route.name) ?? 0) + 1);
    // A call has the priority of its run; it is not admitted anew.
    if (entry.isStarted) return;
    if (board.read('routes').table?.organisationByKey !== undefined) countOrganisation(entry);
    if (priority === route.priority) return;
    let byPriority = arrivedByPriority.get(route.name);
    if (byPriority === undefined) arrivedByPriority.set(route.name, (byPriority = new Map()));
    byPriority.set(priority, (byPriority.get(priority) ?? 0) + 1);
  };
  /** Returns the priority of the run of the local target that makes this call; undefined for a request of a client. */
  const findParentPriority = (request: ClientRequest, route: ReadView<Route>): number | undefined => {
    const { running } = board.read('runs');
    if (running.size === 0) return undefined;
    const nowMs = clock.now();
    const { timeLeftMs } = request;
    const { matchedCalls } = section;
    const called = route.name;
    const callers = board.read('demand').callersByRoute.get(called);
    if (callers === undefined) {
      addMatches(matchedCalls, running, { called, timeLeftMs, nowMs });
      return undefined;
    }
    const parent = findParentRun({
      runs: running,
      callers,
      timeLeftMs,
      nowMs,
      observeRun: (run, excessMs) => {
        addMatch(matchedCalls, run.route, called, excessMs);
      },
    });
    return parent?.priority;
  };
  /** Returns the refusal of a request that may not end before this node closes. */
  const findStopRefusal = (request: ClientRequest, route: ReadView<Route>): Refusal | undefined => {
    const { stop } = board.read('node');
    if (stop === undefined) return undefined;
    const nowMs = clock.now();
    const neededMs = Math.min(request.timeLeftMs, route.timeoutMs);
    if (isTakenWhileStopping(stop, { nowMs, deadlineAtMs: nowMs + neededMs })) return undefined;
    const retryAfterMs = computeStopRetryDelay(stop, { nowMs, hasOtherNodes: hasOtherNodes() });
    const closesInMs = Math.round(Math.max(0, stop.closeAtMs - nowMs));
    const detail = `the node is stopping: it closes in ${closesInMs} ms, the request may take ${Math.round(neededMs)} ms`;
    return { kind: 'stopping', detail, retryAfterMs };
  };
  const hasOtherNodes = (): boolean => {
    const { self, byHost } = board.read('members');
    for (const { dataCenter } of byHost.values()) if (dataCenter === self.dataCenter) return true;
    return false;
  };
  const startEntry = (entry: Entry): void => {
    if (attempts.readVerdict(entry) === 'refuse') {
      refuse(entry, { kind: 'quarantined', detail: 'requests with this fingerprint crash their targets' });
      return;
    }
    const fraction = entry.isStarted ? undefined : readFraction(entry);
    if (fraction !== undefined && hashToUnit(entry.request.requestId) >= fraction) {
      countArrival(entry);
      const retryAfterMs = attempts.limitRetryDelay(entry, estimateRoomDelay(fraction));
      refuse(entry, {
        kind: 'overloaded',
        detail: `${Math.round(fraction * 100)}% of the requests of this route${entry.organisation === undefined ? '' : ' and organisation'} are admitted`,
        retryAfterMs,
      });
      return;
    }
    quota.takeToken(entry);
  };
  /** Returns the admitted share of requests like this one; undefined if it is not limited. */
  const readFraction = ({ route, priority, organisation }: Entry): number | undefined => {
    const { fractions, organisationFractions } = board.read('admission');
    if (fractions.size === 0) return undefined;
    const kind = formatKind(route, priority);
    return organisationFractions.get(kind)?.get(organisation?.name ?? '') ?? fractions.get(kind);
  };
  const buildHandle = (entry: Entry): RunHandle => ({
    cancel: () => {
      if (entry.isEnded) return;
      runContained(entry, () => {
        end(entry, 'cancelled', 'the client disconnected');
      });
      cancelContained(entry);
    },
    grantAnswer: (bytes) => entry.attempt?.handle?.grantAnswer(bytes),
    sendBody: (data, isLast) => {
      runContained(entry, () => {
        if (!quota.retainBody(entry, data, isLast)) entry.attempt?.handle?.sendBody(data, isLast);
      });
    },
  });
  const chooseService = (route: ReadView<Route>): string => {
    let credits = section.partCredits.get(route.name);
    if (credits === undefined) section.partCredits.set(route.name, (credits = new Map()));
    return choosePart(credits, listParts(route)) ?? '';
  };
  /** Refuses all open requests when the process ends, so that each client receives an answer. */
  const refuseOpen = (): void => {
    for (const entry of [...open]) {
      const hasStarted = entry.attempt !== undefined;
      attempts.cancelEntry(entry);
      const detail = 'the node is stopping';
      refuse(
        entry,
        hasStarted ? { kind: 'failed', detail } : { kind: 'stopping', detail, retryAfterMs: RETRY_AFTER_MS },
      );
    }
  };
  return {
    acceptRequest,
    isIdempotent: ({ host, path }) => {
      const { table } = board.read('routes');
      return table === undefined || (findRoute(table, host, path)?.isIdempotent ?? true);
    },
    start: () => undefined,
    stop: refuseOpen,
  };
}

/** Where no keys are needed, the headers about the sender's identity are forwarded like all others. */
function restoreIdentityHeaders(request: ClientRequest): ClientRequest {
  const { headers, identityHeaders } = request;
  return identityHeaders.length === 0 ? request : { ...request, headers: [...headers, ...identityHeaders] };
}
