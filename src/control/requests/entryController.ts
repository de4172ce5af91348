import { hashToUnit } from '../../core/hash.js';
import { computeShedRetry, RETRY_AFTER_MS } from '../../policy/attemptOutcome.js';
import { computeFingerprint } from '../../policy/fingerprint.js';
import { choosePart } from '../../policy/partChoice.js';
import { resolveSuspect } from '../../policy/quarantine.js';
import { findRoute, listParts } from '../../policy/routeTable.js';
import { removeNotRunGuarantee } from '../../schema/refusal.js';
import type { Refusal } from '../../schema/refusal.js';
import type { Route } from '../../schema/routeConfiguration.js';
import type { ReadView } from '../../core/blackboard.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';
import { createEntry } from './entry.js';
import type { ClientReply, ClientRequest, Entry } from './entry.js';
import { createEntryAttempts } from './entryAttempts.js';
import type { RunHandle } from './runPort.js';

export interface EntryController extends Controller {
  /** Takes a request of a client or of the local target; answers once. */
  acceptRequest(request: ClientRequest, reply: ClientReply): RunHandle;
}

/** Time past its deadline at which the entry answers by itself when the run node has not (ms). */
const FALLBACK_MS = 40;

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
    const told = entry.mayHaveRun ? removeNotRunGuarantee(refusal) : refusal;
    end(entry, told.kind, told.detail);
    if (entry.isAnswering) entry.reply.abort();
    else entry.reply.refuse(told);
  };
  const attempts = createEntryAttempts(context, { section, outcome: { end, refuse } });
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
    const entry = createEntry({ request, reply, route, service, nowMs: clock.now() });
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
    if (isQuarantined(entry.request)) {
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
    attempts.sendEntry(entry);
  };
  const isQuarantined = (request: ClientRequest): boolean => {
    const { byFingerprint } = board.read('quarantine');
    if (byFingerprint.size === 0) return false;
    return resolveSuspect(byFingerprint.get(computeFingerprint(request)), clock.now()) === 'refuse';
  };
  const buildHandle = (entry: Entry): RunHandle => ({
    cancel: () => {
      if (entry.isEnded) return;
      end(entry, 'cancelled', 'the client left');
      attempts.cancelEntry(entry);
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
      attempts.cancelEntry(entry);
      const detail = 'the node stops';
      refuse(
        entry,
        hasStarted ? { kind: 'failed', detail } : { kind: 'stopping', detail, retryAfterMs: RETRY_AFTER_MS },
      );
    }
  };
  return {
    acceptRequest,
    start: () => undefined,
    stop: endAll,
  };
}
