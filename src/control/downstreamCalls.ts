import { createInvalidTicketFailure } from '../policy/ticket.js';
import { createCallFailure } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';
import { updateActiveCalls } from './activeTime.js';
import { buildDownstreamEnvelope } from './buildEnvelope.js';
import { cancelNothing } from './calls.js';
import type { CallReply, CancelCall, DispatchedCall, RunningCall } from './calls.js';
import type { DownstreamCall } from '../schema/call.js';
import type { ControllerContext } from './context.js';
import type { Dispatcher } from './dispatcher.js';
import type { Sections } from './sections.js';

export interface DownstreamCalls {
  /** Accepts a call by the local target on behalf of the running call that `token` identifies. */
  accept(call: DownstreamCall, token: string, reply: CallReply): CancelCall;
}

/** Accepts the calls that the local target makes on behalf of the calls that it runs. */
export function createDownstreamCalls(
  context: ControllerContext,
  calls: Sections['calls'],
  dispatcher: Dispatcher,
): DownstreamCalls {
  const { board, clock } = context;

  /** Counts a downstream call; the own time of the parent stops while at least one is open. */
  const startDownstreamCall = (parent: RunningCall): void => {
    if (parent.openDownstreamCalls === 0) {
      parent.downstreamSinceMs = clock.now();
      updateActiveCalls(calls, clock.now(), -1);
    }
    parent.openDownstreamCalls++;
  };
  /** Counts a downstream call as ended; the own time of the parent continues when none is left. */
  const endDownstreamCall = (parent: RunningCall): void => {
    if (parent.state !== 'running') return;
    parent.openDownstreamCalls--;
    if (parent.openDownstreamCalls > 0) return;
    parent.downstreamTimeMs += clock.now() - parent.downstreamSinceMs;
    updateActiveCalls(calls, clock.now(), 1);
  };
  const dispatch = (call: DownstreamCall, parent: RunningCall, reply: CallReply): CancelCall => {
    const outcome = buildDownstreamEnvelope(board, call, parent, clock.now());
    if (outcome.type === 'failed') return refuse(reply, outcome.failure);
    startDownstreamCall(parent);
    // `reply` can be called before `dispatch` returns.
    const dispatched: { child?: DispatchedCall } = {};
    const child = dispatcher.dispatch({
      envelope: outcome.envelope,
      account: parent.account,
      parent,
      reply: (result) => {
        endDownstreamCall(parent);
        if (dispatched.child !== undefined) parent.children.delete(dispatched.child);
        if (result.type === 'refusal' && result.failure.retry === 'never') parent.isRetryForbidden = true;
        reply(result);
      },
    });
    dispatched.child = child;
    if (!child.isFinished) parent.children.add(child);
    return () => {
      if (child.isFinished) return;
      dispatcher.cancel(child);
      parent.children.delete(child);
      endDownstreamCall(parent);
    };
  };

  return {
    accept: (call, token, reply) => {
      const parent = calls.running.get(token);
      if (parent?.state !== 'running') {
        return refuse(reply, createCallFailure('callTokenInvalid', 'the call with this token is not running'));
      }
      // Downstream calls are not deduplicated by key: it is the parent call that runs at most once.
      if (call.idempotencyKey !== undefined) {
        return refuse(reply, createInvalidTicketFailure('a downstream call must not have an idempotency-key'));
      }
      return dispatch(call, parent, reply);
    },
  };
}

function refuse(reply: CallReply, failure: CallFailure): CancelCall {
  reply({ type: 'refusal', failure, allowanceLeft: 0, admittedFraction: 1 });
  return cancelNothing;
}
