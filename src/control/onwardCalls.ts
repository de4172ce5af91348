import { createInvalidTicketFailure } from '../policy/ticket.js';
import { createCallFailure } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';
import { updateActive } from './activeTime.js';
import { buildOnwardEnvelope } from './buildEnvelope.js';
import type { CallReply, CancelCall, DispatchedCall, RunningCall } from './calls.js';
import type { DownstreamCall } from '../schema/call.js';
import type { ControllerContext } from './context.js';
import type { Dispatcher } from './dispatchCalls.js';
import type { Sections } from './sections.js';

export interface OnwardCalls {
  /** Takes a call that the local target makes for the running call named by `token`. */
  accept(call: DownstreamCall, token: string, reply: CallReply): CancelCall;
}

const ignore = (): void => undefined;

/** Takes in the calls that the local target makes on behalf of the calls that it runs. */
export function createOnwardCalls(
  context: ControllerContext,
  calls: Sections['calls'],
  dispatcher: Dispatcher,
): OnwardCalls {
  const { board, clock } = context;

  const open = (parent: RunningCall): void => {
    if (parent.onwardOpen === 0) {
      parent.onwardSinceMs = clock.now();
      updateActive(calls, clock.now(), -1);
    }
    parent.onwardOpen++;
  };
  const close = (parent: RunningCall): void => {
    if (parent.state !== 'running') return;
    parent.onwardOpen--;
    if (parent.onwardOpen > 0) return;
    parent.onwardTimeMs += clock.now() - parent.onwardSinceMs;
    updateActive(calls, clock.now(), 1);
  };
  const dispatch = (call: DownstreamCall, parent: RunningCall, reply: CallReply): CancelCall => {
    const outcome = buildOnwardEnvelope(board, call, parent, clock.now());
    if (outcome.type === 'failed') return refuse(reply, outcome.failure);
    open(parent);
    // The reply can come before the dispatch returns.
    const opened: { child?: DispatchedCall } = {};
    const child = dispatcher.dispatch({
      envelope: outcome.envelope,
      account: parent.account,
      parent,
      reply: (result) => {
        close(parent);
        if (opened.child !== undefined) parent.children.delete(opened.child);
        if (result.type === 'refusal' && result.failure.retry === 'never') parent.isRetryForbidden = true;
        reply(result);
      },
    });
    opened.child = child;
    if (!child.isFinished) parent.children.add(child);
    return () => {
      if (child.isFinished) return;
      dispatcher.cancel(child);
      parent.children.delete(child);
      close(parent);
    };
  };

  return {
    accept: (call, token, reply) => {
      const parent = calls.running.get(token);
      if (parent?.state !== 'running') {
        return refuse(reply, createCallFailure('callTokenInvalid', 'the call that makes this call is not running'));
      }
      // The run of the parent already happens at most once, so a key here would promise what nothing keeps.
      if (call.idempotencyKey !== undefined) {
        return refuse(reply, createInvalidTicketFailure('an onward call takes no idempotency-key'));
      }
      return dispatch(call, parent, reply);
    },
  };
}

function refuse(reply: CallReply, failure: CallFailure): CancelCall {
  reply({ type: 'refusal', failure, allowanceLeft: 0, admittedFraction: 1 });
  return ignore;
}
