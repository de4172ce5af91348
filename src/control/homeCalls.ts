import { createInvalidTicketFailure, parseTicket, resolveTicket } from '../policy/ticket.js';
import type { Ticket } from '../policy/ticket.js';
import { createCallFailure } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';
import type { CallEnvelope } from '../schema/frame.js';
import type { TicketOutcome } from '../schema/state.js';
import { cancelNothing } from './calls.js';
import type { CallReply, CancelCall, HomeRun } from './calls.js';
import type { CallResult } from '../schema/call.js';
import type { ControllerContext } from './context.js';
import type { Dispatcher } from './dispatcher.js';
import type { Sections } from './sections.js';

export interface HomeCalls {
  /**
   * Handles a call at the home of its ticket, the node that issued the ticket and stores the outcome of its request:
   * runs the call on first use, joins a run in progress, or repeats the stored result. With `canBeResent` the run
   * continues when its callers disconnect, so that a resend gets the result.
   */
  handle(envelope: CallEnvelope, reply: CallReply, options: { canBeResent: boolean }): CancelCall;
}

/** Runs the requests of tickets that this process issued; no other process does, so that each runs at most once. */
export function createHomeCalls(
  context: ControllerContext,
  calls: Sections['calls'],
  dispatcher: Dispatcher,
): HomeCalls {
  const { board, clock, computeTicketMac, deadlines, settings } = context;

  const refuse = (reply: CallReply, failure: CallFailure): CancelCall => {
    reply({ type: 'refusal', failure: { ...failure, host: settings.host }, allowanceLeft: 0, admittedFraction: 1 });
    return cancelNothing;
  };

  const start = (ticket: Ticket, envelope: CallEnvelope, reply: CallReply, canBeResent: boolean): CancelCall => {
    if (calls.isStopping) {
      const message = `node ${settings.host}, which issued this ticket, is stopping; get a new ticket at another node`;
      return refuse(reply, createCallFailure('stopping', message));
    }
    if (calls.dispatched.size >= settings.maxCallsInFlight) {
      const message = `node ${settings.host}, which issued this ticket, has too many calls in flight`;
      return refuse(reply, createCallFailure('overloaded', message, { retry: 'later' }));
    }
    const run: HomeRun = { waitingReplies: new Set([reply]), canBeResent, call: undefined };
    calls.homeRuns.set(ticket.counter, run);
    board.post('tickets', { type: 'started', counter: ticket.counter, fingerprint: envelope.fingerprint });
    run.call = dispatcher.dispatch({
      envelope,
      account: { remaining: envelope.allowance },
      parent: undefined,
      reply: (result) => {
        finish(ticket.counter, run, result);
      },
    });
    return createCancel(ticket.counter, run, reply);
  };
  const finish = (counter: number, run: HomeRun, result: CallResult): void => {
    calls.homeRuns.delete(counter);
    const settled = markNonRetryable(result);
    board.post('tickets', { type: 'finished', counter, outcome: buildTicketOutcome(settled) });
    for (const reply of run.waitingReplies) reply(settled);
    run.waitingReplies.clear();
  };

  const join = (counter: number, envelope: CallEnvelope, reply: CallReply): CancelCall => {
    const run = calls.homeRuns.get(counter);
    // A ticket in the state `join` always has a run here: the run is removed when the outcome of the ticket is stored.
    if (run === undefined) return cancelNothing;
    run.waitingReplies.add(reply);
    const cancel = createCancel(counter, run, reply);
    const cancelDeadline = deadlines.add(clock.now() + envelope.deadlineMs, () => {
      if (!run.waitingReplies.delete(reply)) return;
      const message = `${envelope.service}/${envelope.operation} did not respond before the deadline`;
      refuse(reply, createCallFailure('deadlineExceeded', message));
    });
    return () => {
      cancelDeadline();
      cancel();
    };
  };
  const createCancel = (counter: number, run: HomeRun, reply: CallReply): CancelCall => {
    return () => {
      if (!run.waitingReplies.delete(reply) || run.waitingReplies.size > 0 || run.canBeResent) return;
      if (run.call === undefined || run.call.isFinished) return;
      dispatcher.cancel(run.call);
      calls.homeRuns.delete(counter);
      const failure = createCallFailure('cancelled', 'the caller cancelled the call before the response');
      board.post('tickets', { type: 'finished', counter, outcome: { type: 'failed', failure } });
    };
  };

  return {
    handle: (envelope, reply, { canBeResent }) => {
      const ticket = parseTicket(envelope.ticket ?? '');
      if (ticket === undefined) return refuse(reply, createInvalidTicketFailure('the idempotency-key is not a ticket'));
      if (ticket.home !== settings.host) {
        return refuse(reply, createCallFailure('ticketUnknown', `node ${settings.host} did not issue this ticket`));
      }
      const ticketState = board.read('tickets');
      const decision = resolveTicket(ticketState, ticket, envelope.fingerprint, computeTicketMac);
      if (decision.type === 'refuse') return refuse(reply, decision.failure);
      if (decision.type === 'run') return start(ticket, envelope, reply, canBeResent);
      if (decision.type === 'join') return join(ticket.counter, envelope, reply);
      const { outcome } = decision;
      if (outcome.type === 'failed') return refuse(reply, outcome.failure);
      const { status, contentType, body } = outcome;
      reply({ type: 'answer', status, contentType, body, allowanceLeft: 0, admittedFraction: 1 });
      return cancelNothing;
    },
  };
}

/** Forbids a retry of a failed request that may have run: a retry with a new ticket could run it a second time. */
function markNonRetryable(result: CallResult): CallResult {
  if (result.type === 'answer' || result.failure.ran === 'no') return result;
  return { ...result, failure: { ...result.failure, retry: 'never' } };
}

function buildTicketOutcome(result: CallResult): TicketOutcome {
  if (result.type === 'refusal') {
    return result.failure.ran === 'no' ? { type: 'notRun' } : { type: 'failed', failure: result.failure };
  }
  return { type: 'ran', status: result.status, contentType: result.contentType, body: result.body };
}
