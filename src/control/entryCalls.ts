import { createInvalidTicketFailure, parseTicket } from '../policy/ticket.js';
import { createCallFailure } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';
import type { CallEnvelope } from '../schema/frame.js';
import { hashToUnit } from '../core/hash.js';
import { buildEntryEnvelope } from './buildEnvelope.js';
import { cancelNothing } from './calls.js';
import type { CallReply, CancelCall } from './calls.js';
import type { CallerCall, CallResult } from '../schema/call.js';
import type { ControllerContext } from './context.js';
import { describeCall, generateRequestId } from './describeCall.js';
import type { Dispatcher } from './dispatcher.js';
import { createForwarder } from './forwarder.js';
import type { HomeCalls } from './homeCalls.js';
import { recordRequest } from './recentRequests.js';
import type { Sections } from './sections.js';

export interface EntryCalls {
  /** Accepts a request from an external caller; `reply` is called once unless the request is cancelled first. */
  accept(call: CallerCall, reply: CallReply): CancelCall;
}

/** Share of answered requests that are recorded as events; refusals are always recorded. */
const ANSWERED_EVENT_SHARE = 0.01;

/** Accepts external requests: idempotent ones are dispatched from here, all others from the home of their ticket. */
export function createEntryCalls(
  context: ControllerContext,
  calls: Sections['calls'],
  dispatcher: Dispatcher,
  homeCalls: HomeCalls,
): EntryCalls {
  const { board, clock, random, settings } = context;
  const forwarder = createForwarder(context, calls);

  const checkCapacity = (): CallFailure | undefined => {
    if (calls.isStopping) return createCallFailure('stopping', 'this node is stopping; use another one');
    if (calls.dispatched.size + calls.forwarded.size < settings.maxCallsInFlight) return undefined;
    return createCallFailure('overloaded', 'this node has too many calls in flight', { retry: 'later' });
  };
  const issueTicket = (): string => {
    let ticket = '';
    board.post('tickets', {
      type: 'issue',
      count: 1,
      take: ([issued = '']) => {
        ticket = issued;
      },
    });
    return ticket;
  };

  const acceptWithTicket = (envelope: CallEnvelope, key: string, reply: CallReply): CancelCall => {
    const ticket = parseTicket(key);
    if (ticket === undefined) {
      return refuse(reply, createInvalidTicketFailure('the idempotency-key is not a valid ticket'));
    }
    if (ticket.home === settings.host) return homeCalls.handle(envelope, reply, { canBeResent: true });
    const failure = checkCapacity();
    // Only the home of the ticket has recorded whether an earlier request with this ticket ran.
    if (failure !== undefined) return refuse(reply, { ...failure, ran: 'unknown' });
    return forwarder.forward(ticket.home, envelope, reply);
  };

  const acceptWithoutKey = (envelope: CallEnvelope, reply: CallReply): CancelCall => {
    const failure = checkCapacity();
    if (failure !== undefined) return refuse(reply, failure);
    if (!envelope.idempotent) return homeCalls.handle(envelope, reply, { canBeResent: false });
    const request = `${envelope.callerKey}/${envelope.fingerprint}`;
    const isResend = recordRequest(calls.recentRequests, request, clock.now());
    const allowance = isResend ? 0 : envelope.allowance;
    const dispatched = dispatcher.dispatch({
      envelope: { ...envelope, allowance },
      account: { remaining: allowance },
      parent: undefined,
      reply: (result) => {
        // After a response, the same request from this caller is a new one and not a resend.
        if (result.type === 'answer') calls.recentRequests.delete(request);
        reply(result);
      },
    });
    return () => {
      dispatcher.cancel(dispatched);
    };
  };

  const wrapReply = (envelope: CallEnvelope, reply: CallReply): CallReply => {
    const startedAtMs = clock.now();
    return (result) => {
      const data = { durationMs: clock.now() - startedAtMs, result: describeResult(result) };
      if (result.type === 'refusal') board.post('events', { kind: 'callRefused', ...describeCall(envelope), data });
      else if (envelope.shedKey < ANSWERED_EVENT_SHARE)
        board.post('events', { kind: 'callAnswered', ...describeCall(envelope), data });
      reply({
        ...result,
        requestId: envelope.requestId,
        ...(envelope.ticket === undefined ? {} : { ticket: envelope.ticket }),
      });
    };
  };

  return {
    accept: (call, reply) => {
      const key = call.idempotencyKey;
      const outcome = buildEntryEnvelope(board, call, generateRequestId(random));
      if (outcome.type === 'failed') {
        return refuse(reply, key === undefined ? outcome.failure : { ...outcome.failure, ran: 'unknown' });
      }
      const { envelope } = outcome;
      if (envelope.idempotent) return acceptWithoutKey(envelope, wrapReply(envelope, reply));
      const ticket = key ?? issueTicket();
      const ticketed = { ...envelope, ticket, shedKey: hashToUnit(ticket) };
      const recordedReply = wrapReply(ticketed, reply);
      return key === undefined
        ? acceptWithoutKey(ticketed, recordedReply)
        : acceptWithTicket(ticketed, key, recordedReply);
    },
  };
}

function refuse(reply: CallReply, failure: CallFailure): CancelCall {
  reply({ type: 'refusal', failure, allowanceLeft: 0, admittedFraction: 1 });
  return cancelNothing;
}

function describeResult(result: CallResult): string {
  return result.type === 'answer' ? 'answered' : result.failure.kind;
}
