import { createCallFailure } from '../schema/failure.js';
import type { CallFrame, Frame, Lane, ReplyFrame } from '../schema/frame.js';
import { updateActive } from './activeTime.js';
import { createAdmission } from './admitCalls.js';
import { buildEntryEnvelope, buildOnwardEnvelope } from './buildEnvelope.js';
import type { EnvelopeOutcome } from './buildEnvelope.js';
import type { CallerCall, CallReply, CallResult, CancelCall, OnwardCall, RunningCall } from './calls.js';
import type { Controller, ControllerContext } from './context.js';
import { recordRequest } from './resends.js';
import { createDispatcher, describeCall, generateRequestId } from './dispatchCalls.js';

export interface CallController extends Controller {
  handleCallerCall(call: CallerCall, reply: CallReply): CancelCall;
  handleOnwardCall(call: OnwardCall, reply: CallReply): CancelCall;
  receiveCall(host: string, frame: CallFrame, respond: (frame: Frame) => void): void;
  receiveReply(frame: ReplyFrame): void;
  receiveCancel(host: string, callId: string): void;
  receiveLinkClosed(host: string, lane: Lane): void;
  /** Refuses new calls and calls back once none is in flight. */
  stopAccepting(done: () => void): void;
}

const ignore = (): void => undefined;

/** Writes the calls of this node: takes them in, sends them to targets, and runs those for the local target. */
export function createCallController(context: ControllerContext): CallController {
  const { board, clock, random } = context;
  const calls = board.claim('calls', 'callController');
  const queue = board.claim('queue', 'callController');
  const samples = board.claim('samples', 'callController');
  const incoming = calls.section.incoming;

  const cancelChildren = (call: RunningCall): void => {
    for (const child of call.children) dispatcher.cancel(child);
    call.children.clear();
  };
  const admission = createAdmission(context, calls.section, queue.section, samples.section, cancelChildren);
  const dispatcher = createDispatcher(context, calls.section, samples.section, admission.admit);

  const refuse = (reply: CallReply, failure: ReturnType<typeof createCallFailure>): CancelCall => {
    reply({ type: 'refusal', failure, allowanceLeft: 0, admittedFraction: 1 });
    return ignore;
  };
  const acceptEntry = (call: CallerCall, reply: CallReply): CancelCall => {
    if (calls.section.isStopping)
      return refuse(reply, createCallFailure('stopping', 'this node is stopping; use another one'));
    if (calls.section.dispatched.size >= context.settings.maxCallsInFlight) {
      return refuse(
        reply,
        createCallFailure('overloaded', 'this node has too many calls in flight', { retry: 'later' }),
      );
    }
    const outcome = buildEntryEnvelope(board, call, generateRequestId(random));
    if (outcome.type === 'failed') return refuse(reply, outcome.failure);
    return dispatchEntry(outcome, reply);
  };
  const dispatchEntry = (outcome: EnvelopeOutcome & { type: 'built' }, reply: CallReply): CancelCall => {
    const { envelope } = outcome;
    const startedAtMs = clock.now();
    if (envelope.idempotent) {
      const request = `${envelope.callerKey}/${envelope.fingerprint}`;
      if (recordRequest(calls.section.recentRequests, request, startedAtMs)) envelope.allowance = 0;
    }
    const account = { remaining: envelope.allowance };
    const recordResult = (result: CallResult, fromMs: number): void => {
      const data = {
        durationMs: clock.now() - fromMs,
        result: result.type === 'answer' ? 'answered' : result.failure.kind,
      };
      if (result.type === 'refusal') board.post('events', { kind: 'callRefused', ...describeCall(envelope), data });
      else if (envelope.shedKey < SAMPLED_EVENTS)
        board.post('events', { kind: 'callAnswered', ...describeCall(envelope), data });
    };
    const dispatched = dispatcher.dispatch({
      envelope,
      account,
      parent: undefined,
      reply: (result) => {
        recordResult(result, startedAtMs);
        reply({ ...result, requestId: envelope.requestId });
      },
    });
    return () => {
      dispatcher.cancel(dispatched);
    };
  };

  const acceptOnward = (call: OnwardCall, parent: RunningCall, reply: CallReply): CancelCall => {
    const outcome = buildOnwardEnvelope(board, call, parent, clock.now());
    if (outcome.type === 'failed') return refuse(reply, outcome.failure);
    openOnward(parent);
    const child = dispatcher.dispatch({
      envelope: outcome.envelope,
      account: parent.account,
      parent,
      reply: (result) => {
        closeOnward(parent);
        if (result.type === 'refusal' && result.failure.retry === 'never') parent.isRetryForbidden = true;
        reply(result);
      },
    });
    if (!child.isFinished) parent.children.add(child);
    return () => {
      if (child.isFinished) return;
      dispatcher.cancel(child);
      closeOnward(parent);
    };
  };
  const openOnward = (parent: RunningCall): void => {
    if (parent.onwardOpen === 0) {
      parent.onwardSinceMs = clock.now();
      updateActive(calls.section, clock.now(), -1);
    }
    parent.onwardOpen++;
  };
  const closeOnward = (parent: RunningCall): void => {
    if (parent.state !== 'running') return;
    parent.onwardOpen--;
    if (parent.onwardOpen > 0) return;
    parent.onwardTimeMs += clock.now() - parent.onwardSinceMs;
    updateActive(calls.section, clock.now(), 1);
  };

  const checkIdle = (done: () => void): void => {
    if (calls.section.dispatched.size === 0 && calls.section.running.size === 0) done();
    else
      clock.schedule(IDLE_CHECK_MS, () => {
        checkIdle(done);
      });
  };

  return {
    handleCallerCall: acceptEntry,
    handleOnwardCall: (call, reply) => {
      if (call.token === undefined) return acceptEntry(call, reply);
      const parent = calls.section.running.get(call.token);
      if (parent?.state !== 'running')
        return refuse(reply, createCallFailure('callTokenInvalid', 'the call that makes this call is not running'));
      return acceptOnward(call, parent, reply);
    },
    receiveCall: (host, frame, respond) => {
      const key = `${host}/${frame.callId}`;
      let isReplied = false;
      const cancel = admission.admit(frame.envelope, { remaining: frame.envelope.allowance }, (result) => {
        isReplied = true;
        incoming.delete(key);
        const shared = {
          callId: frame.callId,
          allowanceLeft: result.allowanceLeft,
          admittedFraction: result.admittedFraction,
          load: admission.getLoad(),
        };
        if (result.type === 'refusal') respond({ type: 'refusal', ...shared, failure: result.failure });
        else
          respond({
            type: 'answer',
            ...shared,
            status: result.status,
            contentType: result.contentType,
            body: result.body,
          });
      });
      // A call refused at once must leave no entry behind.
      if (!isReplied) incoming.set(key, cancel);
    },
    receiveReply: dispatcher.receiveReply,
    receiveCancel: (host, callId) => {
      incoming.get(`${host}/${callId}`)?.();
      incoming.delete(`${host}/${callId}`);
    },
    receiveLinkClosed: dispatcher.receiveLinkClosed,
    stopAccepting: (done) => {
      calls.section.isStopping = true;
      calls.publishChange();
      checkIdle(done);
    },
    start: () => {
      board.subscribe('limits', admission.startWaiting);
    },
    stop: ignore,
  };
}

const IDLE_CHECK_MS = 20;
/** Share of requests whose answers are recorded on the time line; refusals always are. */
const SAMPLED_EVENTS = 0.01;
