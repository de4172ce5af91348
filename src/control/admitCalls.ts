import { isAdmitted } from '../policy/shedding.js';
import type { CallResult, TargetOutcome } from '../schema/call.js';
import { createCallFailure } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';
import type { CallEnvelope, LoadHint } from '../schema/frame.js';
import { serviceConfigurationDefaults } from '../schema/serviceConfiguration.js';
import type { AllowanceAccount, CallReply, CancelCall, RunningCall } from './calls.js';
import type { ControllerContext } from './context.js';
import { describeCall } from './dispatchCalls.js';
import type { Sections } from './sections.js';

/** Takes a call for the local target; the reply is made once unless the returned function is called first. */
export type AdmitCall = (envelope: CallEnvelope, account: AllowanceAccount, reply: CallReply) => CancelCall;

export interface Admission {
  admit: AdmitCall;
  /** Starts waiting calls while the limit allows. */
  startWaiting(): void;
  /** Refuses all calls that have not started; they certainly did not run. */
  refuseWaiting(): void;
  getLoad(): LoadHint;
}

const RAN_YES_STATUS = 500;

/** Decides which calls run at the local target, in which order, and which are refused before they run. */
export function createAdmission(
  context: ControllerContext,
  calls: Sections['calls'],
  queue: Sections['queue'],
  samples: Sections['samples'],
  cancelChildren: (call: RunningCall) => void,
): Admission {
  const { board, clock, deadlines, io, policies, settings } = context;
  const { waiting } = queue;

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
  const getFraction = (priority: string): number => board.read('shedding').local.get(priority)?.fraction ?? 1;
  const getQueueLimit = (service: string): number =>
    board.read('configuration').services.get(service)?.document.queueLimit ?? serviceConfigurationDefaults.queueLimit;

  const finish = (call: RunningCall, result: CallResult): void => {
    if (call.state === 'finished') return;
    const wasRunning = call.state === 'running';
    release(call);
    call.reply({
      ...result,
      allowanceLeft: call.account.remaining,
      admittedFraction: Math.min(call.admittedFraction, getFraction(call.envelope.priority)),
    });
    if (wasRunning) startWaiting();
  };
  const release = (call: RunningCall): void => {
    if (call.state === 'queued') waiting.splice(waiting.indexOf(call), 1);
    if (call.state === 'running') calls.inFlight--;
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
      fail(call, createCallFailure('noTarget', `the target at ${settings.host} is gone`, { retry: 'elsewhere' }));
      return;
    }
    call.state = 'running';
    call.startedAtMs = clock.now();
    calls.inFlight++;
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
    const failure = outcome.type === 'failure' ? outcome.failure : describeServerError(call, outcome.status);
    recordRun(call, failure);
    if (failure !== undefined) fail(call, failure);
    else if (outcome.type === 'answer') finish(call, { ...outcome, allowanceLeft: 0, admittedFraction: 1 });
  };
  const describeServerError = (call: RunningCall, status: number): CallFailure | undefined => {
    if (status < RAN_YES_STATUS) return undefined;
    const message = `the target of ${call.envelope.service} at ${settings.host} answered ${status}`;
    return createCallFailure('targetFailed', message, { retry: call.isRetryForbidden ? 'never' : 'elsewhere' });
  };

  const recordRun = (call: RunningCall, failure: CallFailure | undefined): void => {
    const nowMs = clock.now();
    const { service, operation, priority, fingerprint } = call.envelope;
    const openOnwardMs = call.onwardOpen > 0 ? nowMs - call.onwardSinceMs : 0;
    const totalTimeMs = nowMs - call.startedAtMs;
    samples.ring.add({
      role: 'run',
      atMs: nowMs,
      host: settings.host,
      service,
      operation,
      priority,
      fingerprint,
      result: failure === undefined ? 'answered' : 'failed',
      ran: failure?.ran ?? 'yes',
      retry: failure?.retry ?? 'never',
      failureKind: failure?.kind ?? '',
      totalTimeMs,
      ownTimeMs: totalTimeMs - call.onwardTimeMs - openOnwardMs,
      concurrency: call.concurrencyAtStart,
    });
  };

  const expire = (call: RunningCall): void => {
    const didStart = call.state === 'running';
    if (didStart) recordRun(call, createCallFailure('deadlineExceeded', ''));
    call.cancelTarget?.();
    const message = `${call.envelope.service}/${call.envelope.operation} gave no answer in time`;
    fail(call, createCallFailure(didStart ? 'deadlineExceeded' : 'deadlineUnreachable', message));
  };

  const startWaiting = (): void => {
    while (waiting.length > 0 && calls.inFlight < Math.floor(board.read('limits').concurrency)) {
      const next = takeNext();
      if (isUnreachable(next)) {
        next.state = 'running';
        calls.inFlight++;
        fail(
          next,
          createCallFailure(
            'deadlineUnreachable',
            `too little time is left for ${next.envelope.service}/${next.envelope.operation}`,
          ),
        );
      } else {
        run(next);
      }
    }
  };
  const takeNext = (): RunningCall => {
    let best = 0;
    for (let index = 1; index < waiting.length; index++) {
      if (policies.compareWaiting(waiting[index] as RunningCall, waiting[best] as RunningCall) < 0) best = index;
    }
    return waiting.splice(best, 1)[0] as RunningCall;
  };
  const isUnreachable = (call: RunningCall): boolean =>
    call.deadlineAtMs - clock.now() < board.read('limits').leastOwnTimeMs;

  const cancel = (call: RunningCall): void => {
    if (call.state === 'finished') return;
    const wasRunning = call.state === 'running';
    call.cancelTarget?.();
    release(call);
    board.post('events', { kind: 'callCancelled', ...describeCall(call.envelope) });
    if (wasRunning) startWaiting();
  };

  return {
    admit: (envelope, account, reply) => {
      const ignore = (): void => undefined;
      const failure = checkTarget(envelope);
      if (failure !== undefined) {
        refuse(reply, account, failure);
        return ignore;
      }
      board.post('shedding', { type: 'arrival', priority: envelope.priority, worth: envelope.worth });
      const fraction = getFraction(envelope.priority);
      if (!isAdmitted(envelope.shedKey, fraction)) {
        refuse(
          reply,
          account,
          createCallFailure('shed', `${envelope.service} sheds ${envelope.priority} requests`),
          fraction,
        );
        return ignore;
      }
      if (waiting.length >= getQueueLimit(envelope.service)) {
        refuse(
          reply,
          account,
          createCallFailure('overloaded', `the queue of ${envelope.service} at ${settings.host} is full`),
          fraction,
        );
        return ignore;
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
        onwardTimeMs: 0,
        onwardOpen: 0,
        onwardSinceMs: 0,
        admittedFraction: 1,
        isRetryForbidden: false,
        cancelTarget: undefined,
        cancelDeadline: undefined,
      };
      calls.running.set(call.token, call);
      waiting.push(call);
      call.cancelDeadline = deadlines.add(call.deadlineAtMs, () => {
        expire(call);
      });
      startWaiting();
      return () => {
        cancel(call);
      };
    },
    startWaiting,
    refuseWaiting: () => {
      for (const call of [...waiting])
        fail(call, createCallFailure('noTarget', `node ${settings.host} was paused`, { retry: 'elsewhere' }));
    },
    getLoad: () => ({ limit: board.read('limits').concurrency, inFlight: calls.inFlight, queued: waiting.length }),
  };
}
