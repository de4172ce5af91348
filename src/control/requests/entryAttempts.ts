import { decideNextStep, isTargetFailure, RETRY_AFTER_MS } from '../../policy/nextStep.js';
import type { FailedAttempt } from '../../policy/nextStep.js';
import { hasRetryToken } from '../../policy/fleetBudget.js';
import { addDuration, createDurationEstimate } from '../../policy/durationEstimate.js';
import { limitRetryDelay } from '../../policy/shedDelay.js';
import { chooseTarget, chooseTrial } from '../../policy/targetChoice.js';
import { createDefaultSpeeds } from '../../policy/targetSpeed.js';
import type { SuspectVerdict } from '../../policy/quarantine.js';
import type { TargetCandidate } from '../../policy/targetChoice.js';
import type { RunFailure } from '../../schema/linkFrame.js';
import type { Refusal } from '../../schema/refusal.js';
import { listCandidates } from './candidates.js';
import type { RequestContext } from './context.js';
import { buildRun } from './entry.js';
import type { Entry } from './entry.js';
import type { RunAnswer, RunAttempt } from './runPort.js';
import type { RequestSections } from './sections.js';
import { readSuspectVerdict } from './suspectRuns.js';

/** Callbacks that report the outcome of an entry to its owner. */
export interface EntryCallbacks {
  /** The request was answered completely. */
  end(entry: Entry, outcome: string, detail: string): void;
  refuse(entry: Entry, refusal: Refusal): void;
  /** Runs a part of an entry; an error in it ends this entry only. */
  runContained(entry: Entry, run: () => void): void;
}

/** The attempts of entries at the nodes of targets. */
export interface EntryAttempts {
  /** Sends a request to the target with the shortest expected latency; refuses it if there is no target. */
  sendEntry(entry: Entry): void;
  /** Limits the delay after which the client of a refused request should retry (ms) to what it honours; adds jitter. */
  limitRetryDelay(entry: Entry, delayMs: number): number;
  /** Returns how the request is handled by what is known of crashes. */
  readVerdict(entry: Entry): SuspectVerdict;
  /** Cancels the current attempt. */
  cancelEntry(entry: Entry): void;
}

/** Maximum failure share of a target to which a request that another target failed is retried. */
const HEALTHY_FAILURE_SHARE = 0.15;

const defaultSpeeds = createDefaultSpeeds();

/** Creates the sending side of entries: chooses targets, retries failed attempts and forwards answers. */
export function createEntryAttempts(
  context: RequestContext,
  options: { section: RequestSections['entries']; callbacks: EntryCallbacks },
): EntryAttempts {
  const { board, clock, random } = context;
  const { callbacks } = options;
  const { latencyByRoute } = options.section;

  const chooseNext = ({ route, service, priority, isUrgent, triedHosts }: Entry): TargetCandidate | undefined => {
    const candidates = listCandidates(board, { service, isUrgent, nowMs: clock.now() }).filter(
      ({ host }) => !triedHosts.has(host),
    );
    // Targets are tried with idempotent requests that are not urgent.
    const canProbe = route.isIdempotent && priority >= 1;
    const trial = canProbe ? chooseTrial(candidates, random) : undefined;
    if (trial !== undefined) return trial;
    const speeds = board.read('speeds').byService.get(service) ?? defaultSpeeds;
    return chooseTarget({
      candidates,
      routeDurationMs: speeds.meanMsByRoute.get(route.name) ?? speeds.meanMs,
      serviceDurationMs: speeds.meanMs,
      targetLatencyMs: Math.min(route.targetLatencyMs, route.timeoutMs),
      isBulk: route.isBulk,
      random,
    });
  };
  const send = (entry: Entry, { host, isOwnHost }: TargetCandidate): void => {
    const attempt: RunAttempt = {
      host,
      request: buildRun(entry, board.read('settings').current.service, clock.now()),
      events: {
        answer: (answer) => {
          callbacks.runContained(entry, () => {
            receiveAnswer(entry, attempt, answer);
          });
        },
        part: (data, isLast) => {
          callbacks.runContained(entry, () => {
            receivePart(entry, attempt, data, isLast);
          });
        },
        fail: (failure) => {
          callbacks.runContained(entry, () => {
            receiveFailure(entry, attempt, failure);
          });
        },
        grantBody: (bytes) => {
          entry.reply.grantBody(bytes);
        },
      },
      handle: undefined,
    };
    entry.attempt = attempt;
    entry.sentAtMs = clock.now();
    if (isOwnHost) board.post('runs', { type: 'accept', attempt });
    else board.post('links', { type: 'send', attempt, isUrgent: entry.isUrgent });
  };
  const readVerdict = ({ request, organisation }: Entry): SuspectVerdict => {
    const callerService = board.read('settings').current.service;
    const fingerprinted = { ...request, callerService, organisation: organisation?.name };
    return readSuspectVerdict(board, fingerprinted, clock.now());
  };
  const describeAttempt = (entry: Entry, failure: RunFailure): FailedAttempt => ({
    failure,
    isIdempotent: entry.route.isIdempotent,
    isRepeatable: !entry.request.isStreamed && !entry.isAnswering,
    arrivals: entry.arrivals,
    maxAttempts: entry.route.maxAttempts,
    offers: entry.offers,
    verdict: readVerdict(entry),
    hasRetryToken: hasRetryToken(board.read('budgets').byService.get(entry.service)),
    timeLeftMs: entry.deadlineAtMs - clock.now(),
    expectedMs: latencyByRoute.get(entry.route.name)?.meanMs ?? 0,
  });
  const receiveAnswer = (entry: Entry, attempt: RunAttempt, answer: RunAnswer): void => {
    if (entry.isEnded || entry.attempt !== attempt) return;
    if (isTargetFailure(answer) && !answer.isStreamed) {
      entry.failedAnswer = answer;
      const detail = `the target answered ${answer.status}`;
      receiveFailure(entry, attempt, { kind: 'targetFailed', ran: 'yes', hasArrived: true, detail });
      return;
    }
    recordLatency(entry);
    deliverAnswer(entry, answer);
  };
  const deliverAnswer = (entry: Entry, answer: RunAnswer): void => {
    if (answer.isStreamed) entry.isAnswering = true;
    else callbacks.end(entry, 'answered', String(answer.status));
    entry.reply.answer(answer);
  };
  const receivePart = (entry: Entry, attempt: RunAttempt, data: Uint8Array, isLast: boolean): void => {
    if (entry.isEnded || entry.attempt !== attempt) return;
    if (!entry.isAnswering) {
      const detail = 'a part of an answer arrived without its beginning';
      attempt.handle?.cancel();
      receiveFailure(entry, attempt, { kind: 'answerTruncated', ran: 'unknown', hasArrived: true, detail });
      return;
    }
    if (isLast) callbacks.end(entry, 'answered', '');
    entry.reply.part(data, isLast);
  };
  const recordLatency = ({ route, sentAtMs }: Entry): void => {
    let estimate = latencyByRoute.get(route.name);
    if (estimate === undefined) latencyByRoute.set(route.name, (estimate = createDurationEstimate()));
    const nowMs = clock.now();
    addDuration(estimate, nowMs - sentAtMs, nowMs);
  };
  const recordFailure = (entry: Entry, attempt: RunAttempt, failure: RunFailure): void => {
    // A request that was lost before it reached a host may be sent to that host again.
    if (failure.kind !== 'linkLost' || failure.hasArrived) entry.triedHosts.add(attempt.host);
    if (failure.hasArrived) entry.arrivals++;
    else entry.offers++;
    entry.mayHaveRun ||= failure.ran !== 'no';
  };
  const receiveFailure = (entry: Entry, attempt: RunAttempt, failure: RunFailure): void => {
    if (entry.isEnded || entry.attempt !== attempt) return;
    recordFailure(entry, attempt, failure);
    const step = decideNextStep(describeAttempt(entry, failure));
    const inputs = {
      route: entry.route.name,
      host: attempt.host,
      failure: failure.kind,
      ran: failure.ran,
      detail: failure.detail,
      afterMs: Math.round(clock.now() - entry.sentAtMs),
      timeLeftMs: Math.round(entry.deadlineAtMs - clock.now()),
      arrivals: entry.arrivals,
    };
    board.post('decisions', { kind: 'attemptFailed', id: entry.request.requestId, outcome: step.type, inputs });
    if (step.type === 'refuse') {
      abandonEntry(entry, limitRefusal(entry, step.refusal));
      return;
    }
    const candidate = chooseAfter(entry, attempt, failure);
    const isRetryFutile = failure.kind === 'targetFailed' && (isDemandLimited() || !isHealthy(candidate));
    if (candidate === undefined || isRetryFutile) {
      abandonEntry(entry, limitRefusal(entry, createNoTargetRefusal(entry, failure)));
      return;
    }
    if (step.type === 'retry') board.post('budgets', { type: 'retry', service: entry.service });
    send(entry, candidate);
  };
  /** Chooses the next target; one that may only have closed an idle connection is used again if there is no other. */
  const chooseAfter = (entry: Entry, { host }: RunAttempt, { isStale }: RunFailure): TargetCandidate | undefined => {
    const candidate = chooseNext(entry);
    if (candidate !== undefined || isStale !== true) return candidate;
    entry.triedHosts.delete(host);
    return chooseNext(entry);
  };
  /** Returns the error response of a target if there is one, since it is more specific than a refusal by the node. */
  const abandonEntry = (entry: Entry, refusal: Refusal): void => {
    if (entry.failedAnswer === undefined || entry.isAnswering) callbacks.refuse(entry, refusal);
    else deliverAnswer(entry, entry.failedAnswer);
  };
  const limitEntryDelay = (entry: Entry, delayMs: number): number =>
    limitRetryDelay({
      delayMs,
      timeLeftMs: entry.deadlineAtMs - clock.now(),
      expectedMs: latencyByRoute.get(entry.route.name)?.meanMs ?? 0,
      random,
    });
  const limitRefusal = (entry: Entry, refusal: Refusal): Refusal =>
    refusal.retryAfterMs === undefined
      ? refusal
      : { ...refusal, retryAfterMs: limitEntryDelay(entry, refusal.retryAfterMs) };
  /** While demand is limited, most failures are failures of downstream calls, and a retry would add to the demand. */
  const isDemandLimited = (): boolean => board.read('admission').fractions.size > 0;
  const isHealthy = (candidate: TargetCandidate | undefined): boolean =>
    candidate !== undefined && candidate.load.failureShare < HEALTHY_FAILURE_SHARE;
  const createNoTargetRefusal = ({ service }: Entry, failure: RunFailure | undefined): Refusal => {
    if (failure !== undefined && failure.ran !== 'no') return { kind: 'failed', detail: failure.kind };
    const detail = `no other target of ${service}${failure === undefined ? '' : ` after ${failure.kind}`}`;
    const kind = failure?.kind === 'queueFull' ? 'overloaded' : 'noTarget';
    return { kind, detail, retryAfterMs: failure?.roomMs ?? RETRY_AFTER_MS };
  };
  return {
    sendEntry: (entry) => {
      const candidate = chooseNext(entry);
      if (candidate === undefined) callbacks.refuse(entry, createNoTargetRefusal(entry, undefined));
      else send(entry, candidate);
    },
    limitRetryDelay: limitEntryDelay,
    readVerdict,
    cancelEntry: (entry) => {
      entry.attempt?.handle?.cancel();
    },
  };
}
