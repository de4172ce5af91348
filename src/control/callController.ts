import type { CallFrame, Frame, Lane, ReplyFrame } from '../schema/frame.js';
import { createAdmission } from './admission.js';
import type { CallReply, CancelCall, RunningCall } from './calls.js';
import type { CallerCall, CallResult, DownstreamCall } from '../schema/call.js';
import type { Controller, ControllerContext } from './context.js';
import { createDispatcher } from './dispatcher.js';
import { createSuspectGate } from './suspectGate.js';
import { createCrashDetector } from './crashDetector.js';
import { createEntryCalls } from './entryCalls.js';
import { createHomeCalls } from './homeCalls.js';
import { createDownstreamCalls } from './downstreamCalls.js';

export interface CallController extends Controller {
  handleCallerCall(call: CallerCall, reply: CallReply): CancelCall;
  handleDownstreamCall(call: DownstreamCall, reply: CallReply): CancelCall;
  receiveCall(host: string, frame: CallFrame, respond: (frame: Frame) => void): void;
  receiveReply(frame: ReplyFrame): void;
  receiveCancel(host: string, callId: string): void;
  handleLinkClosed(host: string, lane: Lane): void;
  /** Cancels the calls received on a stream that has ended, since no reply can be sent on it. */
  handleStreamEnded(respond: (frame: Frame) => void): void;
  /** Refuses new calls, and calls `done` once no call is in flight. */
  stopAccepting(done: () => void): void;
}

const ignore = (): void => undefined;
/** Interval at which a stopping node checks whether calls are in flight (ms). */
const IDLE_CHECK_MS = 20;

/** Writes the call sections: accepts calls, dispatches them to targets, and runs those for the local target. */
export function createCallController(context: ControllerContext): CallController {
  const { board, clock } = context;
  const calls = board.claim('calls', 'callController');
  const queue = board.claim('queue', 'callController');
  const samples = board.claim('samples', 'callController');
  const { section } = calls;
  const { incoming } = section;

  const cancelChildren = (call: RunningCall): void => {
    for (const child of call.children) dispatcher.cancel(child);
    call.children.clear();
  };
  const crashDetector = createCrashDetector(context);
  const watched = { ...context, io: { ...context.io, callTarget: crashDetector.callTarget } };
  const admission = createAdmission(watched, section, queue.section, samples.section, cancelChildren);
  const admit = createSuspectGate(context, admission.admit);
  const dispatcher = createDispatcher(context, section, samples.section, admit);
  const homeCalls = createHomeCalls(context, section, dispatcher);
  const entryCalls = createEntryCalls(context, section, dispatcher, homeCalls);
  const downstreamCalls = createDownstreamCalls(context, section, dispatcher);

  const sendReply = (callId: string, result: CallResult, respond: (frame: Frame) => void): void => {
    const { allowanceLeft, admittedFraction } = result;
    const shared = { callId, allowanceLeft, admittedFraction, load: admission.getLoad() };
    if (result.type === 'refusal') {
      respond({ type: 'refusal', ...shared, failure: result.failure });
      return;
    }
    const { status, contentType, body } = result;
    respond({ type: 'answer', ...shared, status, contentType, body });
  };
  const receiveCall = (host: string, frame: CallFrame, respond: (frame: Frame) => void): void => {
    const { callId, envelope, purpose } = frame;
    const key = `${host}/${callId}`;
    let hasReplied = false;
    const finish = (result: CallResult): void => {
      hasReplied = true;
      incoming.delete(key);
      sendReply(callId, result, respond);
    };
    const cancel =
      purpose === 'home'
        ? homeCalls.handle(envelope, finish, { canBeResent: true })
        : admit(envelope, { remaining: envelope.allowance }, finish);
    if (!hasReplied) incoming.set(key, { respond, cancel });
  };

  const waitUntilIdle = (done: () => void): void => {
    const { dispatched, forwarded, running } = section;
    if (dispatched.size === 0 && forwarded.size === 0 && running.size === 0) done();
    else
      clock.schedule(IDLE_CHECK_MS, () => {
        waitUntilIdle(done);
      });
  };

  calls.handlePosts(() => {
    admission.refuseQueued();
  });

  return {
    handleCallerCall: entryCalls.accept,
    handleDownstreamCall: (call, reply) =>
      call.token === undefined ? entryCalls.accept(call, reply) : downstreamCalls.accept(call, call.token, reply),
    receiveCall,
    receiveReply: dispatcher.receiveReply,
    receiveCancel: (host, callId) => {
      const key = `${host}/${callId}`;
      incoming.get(key)?.cancel();
      incoming.delete(key);
    },
    handleLinkClosed: dispatcher.handleLinkClosed,
    handleStreamEnded: (respond) => {
      for (const [key, call] of incoming) {
        if (call.respond !== respond) continue;
        incoming.delete(key);
        call.cancel();
      }
    },
    stopAccepting: (done) => {
      section.isStopping = true;
      calls.publishChange();
      waitUntilIdle(done);
    },
    start: () => {
      crashDetector.start();
      board.subscribe('limits', admission.startQueued);
    },
    stop: ignore,
  };
}
