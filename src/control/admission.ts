import { computeShareFactor, isAdmitted } from '../policy/shedding.js';
import type { CallResult, TargetOutcome } from '../schema/call.js';
import { createCallFailure } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';
import type { CallEnvelope, LoadHint } from '../schema/frame.js';
import type { ReadView } from '../core/blackboard.js';
import { serviceConfigurationDefaults } from '../schema/serviceConfiguration.js';
import type { ServiceConfiguration } from '../schema/serviceConfiguration.js';
import { updateActiveCalls } from './activeTime.js';
import { dequeueCall, enqueueCall, findLowestWorthLevel, findOldestCall, removeQueuedCall } from './callQueue.js';
import { cancelNothing } from './calls.js';
import type { AdmitCall, AllowanceAccount, CallReply, RunningCall } from './calls.js';
import type { ControllerContext } from './context.js';
import { buildSample, describeCall } from './describeCall.js';
import type { Sections } from './sections.js';

export interface Admission {
  admit: AdmitCall;
  /** Starts queued calls while the concurrency limit allows. */
  startQueued(): void;
  /** Refuses all queued calls; none of them has run. */
  refuseQueued(): void;
  getLoad(): LoadHint;
}

const MIN_SERVER_ERROR_STATUS = 500;
/** Queue time bound factor above the lowest worth, so that a flood of low worth does not displace these calls. */
const HIGHER_WORTH_WAIT_FACTOR = 4;

/** Decides which calls run at the local target, in which order, and which are refused before they run. */
export function createAdmission(
  context: ControllerContext,
  calls: Sections['calls'],
  queue: Sections['queue'],
  samples: Sections['samples'],
  cancelChildren: (call: RunningCall) => void,
): Admission {
  const { board, clock, deadlines, io, policies, settings } = context;

  const refuse = (reply: CallReply, account: AllowanceAccount, failure: CallFailure, admittedFraction = 1): void => {
    reply({
      type: 'refusal',
      failure: { ...failure, host: settings.host },
      allowanceLeft: account.remaining,
      admittedFraction,
    });
  };

  const checkTarget = (envelope: CallEnvelope): CallFailure | undefined => {
    const { announcement, isDraining } = board.read('target');
    if (calls.isStopping) return createCallFailure('stopping', `node ${settings.host} is stopping`);
    if (announcement?.service !== envelope.service) {
      return createCallFailure('noTarget', `host ${settings.host} has no target of ${envelope.service}`, {
        retry: 'elsewhere',
      });
    }
    if (isDraining)
      return createCallFailure('targetDraining', `the target of ${envelope.service} at ${settings.host} is draining`);
    if (announcement.state !== 'ready') {
      return createCallFailure('noTarget', `the target of ${envelope.service} at ${settings.host} is starting`, {
        retry: 'elsewhere',
      });
    }
    return undefined;
  };
  const getAdmittedFraction = (priority: string): number => board.read('shedding').local.get(priority)?.fraction ?? 1;
  const getDocument = (service: string): ReadView<ServiceConfiguration> | undefined =>
    board.read('configuration').services.get(service)?.document;
  /**
   * Returns the value below which shed keys are admitted. For downstream calls it is the maximum recent fraction: a
   * fraction that was lowered after a request entered must not refuse it, since work was already spent on it.
   */
  const getAdmissionThreshold = ({ priority, depth }: CallEnvelope): number => {
    const state = board.read('shedding').local.get(priority);
    if (state === undefined) return 1;
    return depth === 0 ? state.fraction : state.maxRecentFraction;
  };

  const finish = (call: RunningCall, result: CallResult): void => {
    if (call.state === 'finished') return;
    const wasRunning = call.state === 'running';
    release(call);
    call.reply({
      ...result,
      allowanceLeft: call.account.remaining,
      admittedFraction: Math.min(call.admittedFraction, getAdmittedFraction(call.envelope.priority)),
    });
    if (wasRunning) startQueued();
  };
  const release = (call: RunningCall): void => {
    if (call.state === 'queued') removeQueuedCall(queue, call);
    if (call.state === 'running') {
      calls.inFlight--;
      if (call.openDownstreamCalls === 0) updateActiveCalls(calls, clock.now(), -1);
    }
    call.state = 'finished';
    calls.running.delete(call.token);
    call.cancelDeadline?.();
    cancelChildren(call);
  };
  const fail = (call: RunningCall, failure: CallFailure): void => {
    board.post('events', {
      kind: 'callRefused',
      ...describeCall(call.envelope),
      data: { failure: failure.kind, ran: failure.ran },
    });
    finish(call, {
      type: 'refusal',
      failure: { ...failure, host: settings.host },
      allowanceLeft: 0,
      admittedFraction: 1,
    });
  };

  const run = (call: RunningCall): void => {
    const { announcement } = board.read('target');
    if (announcement === undefined) {
      fail(
        call,
        createCallFailure('noTarget', `the target at ${settings.host} is no longer announced`, { retry: 'elsewhere' }),
      );
      return;
    }
    call.state = 'running';
    call.startedAtMs = clock.now();
    calls.inFlight++;
    calls.started++;
    updateActiveCalls(calls, call.startedAtMs, 1);
    call.concurrencyAtStart = calls.inFlight;
    const { service, operation, requestId, contentType, body } = call.envelope;
    call.cancelTarget = io.callTarget(
      {
        address: announcement.address,
        service,
        operation,
        requestId,
        token: call.token,
        contentType,
        body,
        deadlineMs: call.deadlineAtMs - clock.now(),
      },
      (outcome) => {
        receiveOutcome(call, outcome);
      },
    );
  };

  const receiveOutcome = (call: RunningCall, outcome: TargetOutcome): void => {
    if (call.state !== 'running') return;
    const failure = outcome.type === 'failure' ? outcome.failure : createServerErrorFailure(call, outcome.status);
    recordRun(call, failure);
    if (failure !== undefined) fail(call, failure);
    else if (outcome.type === 'answer') finish(call, { ...outcome, allowanceLeft: 0, admittedFraction: 1 });
  };
  const createServerErrorFailure = (call: RunningCall, status: number): CallFailure | undefined => {
    if (status < MIN_SERVER_ERROR_STATUS) return undefined;
    const message = `the target of ${call.envelope.service} at ${settings.host} responded with status ${status}`;
    return createCallFailure('targetFailed', message, { retry: call.isRetryForbidden ? 'never' : 'elsewhere' });
  };

  const recordRun = (call: RunningCall, failure: CallFailure | undefined): void => {
    const atMs = clock.now();
    const openDownstreamMs = call.openDownstreamCalls > 0 ? atMs - call.downstreamSinceMs : 0;
    const totalTimeMs = atMs - call.startedAtMs;
    const ownTimeMs = totalTimeMs - call.downstreamTimeMs - openDownstreamMs;
    const run = { atMs, host: settings.host, totalTimeMs, ownTimeMs, concurrency: call.concurrencyAtStart };
    samples.ring.add(buildSample(call.envelope, failure, { role: 'run', ...run }));
  };

  const expire = (call: RunningCall): void => {
    const hasStarted = call.state === 'running';
    if (hasStarted) recordRun(call, createCallFailure('deadlineExceeded', ''));
    call.cancelTarget?.();
    const message = `${call.envelope.service}/${call.envelope.operation} did not respond before the deadline`;
    fail(call, createCallFailure(hasStarted ? 'deadlineExceeded' : 'deadlineUnreachable', message));
  };

  const startQueued = (): void => {
    refuseOverdue();
    while (queue.length > 0 && calls.inFlight < Math.floor(board.read('limits').concurrency)) {
      const next = dequeueCall(queue, policies.chooseNextPriority);
      if (next === undefined) return;
      if (policies.isDeadlineUnreachable(next.deadlineAtMs - clock.now(), getExpectedTimeMs(next.envelope)))
        refuseUnreachable(next);
      else run(next);
    }
  };
  /** Returns the estimated own time of an operation, or its declared cost while there is no estimate (ms). */
  const getExpectedTimeMs = ({ service, operation }: CallEnvelope): number =>
    board.read('limits').ownTimeMs[operation] ?? getDocument(service)?.operations[operation]?.expectedCostMs ?? 0;
  const refuseUnreachable = (call: RunningCall): void => {
    const { service, operation } = call.envelope;
    fail(call, createCallFailure('deadlineUnreachable', `${service}/${operation} cannot finish before the deadline`));
  };
  const refuseOverloaded = (call: RunningCall, reason: string): void => {
    fail(call, createCallFailure('overloaded', `${call.envelope.service} at ${settings.host}: ${reason}`));
  };
  /** Refuses calls that waited longer than the queue time bound, which is longer above the lowest worth. */
  const refuseOverdue = (): void => {
    const lowest = findLowestWorthLevel(queue);
    for (let index = queue.nonEmpty.length - 1; index >= 0; index--) {
      const priorityLevel = queue.nonEmpty[index];
      if (priorityLevel === undefined) continue;
      for (let oldest = findOldestCall(priorityLevel); oldest !== undefined; oldest = findOldestCall(priorityLevel)) {
        const factor = priorityLevel === lowest ? 1 : HIGHER_WORTH_WAIT_FACTOR;
        const boundMs = factor * policies.computeQueueTimeBound(getExpectedTimeMs(oldest.envelope));
        if (clock.now() - oldest.arrivedAtMs <= boundMs) break;
        refuseOverloaded(oldest, `waited in the queue for more than ${Math.round(boundMs)} ms`);
      }
    }
  };
  /** Makes room in a full queue: refuses the oldest call of the lowest worth if that is below `worth`. */
  const evictLowerWorth = (worth: number): boolean => {
    const lowest = findLowestWorthLevel(queue);
    if (lowest === undefined || lowest.worth >= worth) return false;
    const oldest = findOldestCall(lowest);
    if (oldest === undefined) return false;
    refuseOverloaded(oldest, 'the queue is full');
    return true;
  };

  const cancel = (call: RunningCall): void => {
    if (call.state === 'finished') return;
    const wasRunning = call.state === 'running';
    call.cancelTarget?.();
    release(call);
    board.post('events', { kind: 'callCancelled', ...describeCall(call.envelope) });
    if (wasRunning) startQueued();
  };

  return {
    admit: (envelope, account, reply) => {
      const failure = checkTarget(envelope);
      if (failure !== undefined) {
        refuse(reply, account, failure);
        return cancelNothing;
      }
      const { priority, worth, shedKey, service } = envelope;
      board.post('shedding', { type: 'arrival', priority, worth, shedKey });
      if (!isAdmitted(shedKey, getAdmissionThreshold(envelope))) {
        const shed = createCallFailure('shed', `${service} sheds ${priority} requests`);
        refuse(reply, account, shed, getAdmittedFraction(priority));
        return cancelNothing;
      }
      const document = getDocument(service);
      const queueLimit = document?.queueLimit ?? serviceConfigurationDefaults.queueLimit;
      if (queue.length >= queueLimit && !evictLowerWorth(worth)) {
        const full = createCallFailure('overloaded', `the queue of ${service} at ${settings.host} is full`);
        refuse(reply, account, full, getAdmittedFraction(priority));
        return cancelNothing;
      }
      const nowMs = clock.now();
      const call: RunningCall = {
        token: context.generateToken(),
        envelope,
        account,
        deadlineAtMs: nowMs + envelope.deadlineMs,
        arrivedAtMs: nowMs,
        reply,
        children: new Set(),
        state: 'queued',
        startedAtMs: nowMs,
        concurrencyAtStart: 0,
        downstreamTimeMs: 0,
        openDownstreamCalls: 0,
        downstreamSinceMs: 0,
        admittedFraction: 1,
        isRetryForbidden: false,
        cancelTarget: undefined,
        cancelDeadline: undefined,
      };
      calls.running.set(call.token, call);
      enqueueCall(queue, call, computeGuaranteedShare(document, priority));
      call.cancelDeadline = deadlines.add(call.deadlineAtMs, () => {
        expire(call);
      });
      startQueued();
      return () => {
        cancel(call);
      };
    },
    startQueued,
    refuseQueued: () => {
      for (const priorityLevel of [...queue.nonEmpty]) {
        for (let call = findOldestCall(priorityLevel); call !== undefined; call = findOldestCall(priorityLevel))
          fail(call, createCallFailure('noTarget', `node ${settings.host} was paused`, { retry: 'elsewhere' }));
      }
    },
    getLoad: () => ({ limit: board.read('limits').concurrency, inFlight: calls.inFlight, queued: queue.length }),
  };
}

function computeGuaranteedShare(document: ReadView<ServiceConfiguration> | undefined, priority: string): number {
  const priorities = document?.priorities ?? [];
  const share = priorities.find(({ name }) => name === priority)?.guaranteedShare ?? 0;
  return share * computeShareFactor(priorities.map(({ guaranteedShare }) => guaranteedShare));
}
