import { createCallFailure } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';
import type { CallEnvelope } from '../schema/frame.js';
import type { CallReply, CancelCall, ForwardedCall } from './calls.js';
import type { CallResult } from '../schema/call.js';
import type { ControllerContext } from './context.js';
import type { Sections } from './sections.js';

export interface Forwarder {
  /** Forwards a call to the home of its ticket and replies with the result from there. */
  forward(home: string, envelope: CallEnvelope, reply: CallReply): CancelCall;
}

/** Forwards calls to the homes of their tickets. If the home cannot be reached, it is unknown whether a call ran. */
export function createForwarder(context: ControllerContext, calls: Sections['calls']): Forwarder {
  const { board, clock, deadlines, io } = context;
  const { incarnation } = board.read('members').self;
  let nextCallNumber = 0;

  const createTicketUnknownFailure = (home: string, reason: string): CallFailure =>
    createCallFailure(
      'ticketUnknown',
      `${reason}: whether the request ran is unknown; resend it with the same ticket`,
      {
        retry: 'later',
        host: home,
      },
    );

  return {
    forward: (home, envelope, reply) => {
      const callId = `${incarnation}.h${(nextCallNumber++).toString(36)}`;
      const lane = envelope.urgent ? 'urgent' : 'routine';
      const forwarded: ForwardedCall = { callId, isFinished: false };
      const end = (): boolean => {
        if (forwarded.isFinished) return false;
        forwarded.isFinished = true;
        calls.forwarded.delete(forwarded);
        calls.remote.delete(callId);
        cancelDeadline();
        return true;
      };
      const finish = (result: CallResult): void => {
        if (end()) reply(result);
      };
      const fail = (failure: CallFailure): void => {
        finish({ type: 'refusal', failure, allowanceLeft: 0, admittedFraction: 1 });
      };
      const cancel = (): void => {
        if (end()) io.sendFrame(home, lane, { type: 'cancel', callId });
      };
      const cancelDeadline = deadlines.add(clock.now() + envelope.deadlineMs, () => {
        const message = `${envelope.service}/${envelope.operation} did not respond before the deadline`;
        io.sendFrame(home, lane, { type: 'cancel', callId });
        fail(createCallFailure('deadlineExceeded', message));
      });
      calls.forwarded.add(forwarded);
      calls.remote.set(callId, {
        host: home,
        lane,
        settle: (result) => {
          const isConnectionLost = result.type === 'refusal' && result.failure.kind === 'connectionLost';
          if (isConnectionLost && result.failure.host === home) {
            fail(createTicketUnknownFailure(home, `the connection to node ${home}, which issued the ticket, was lost`));
          } else finish(result);
        },
      });
      const isWritten = io.sendFrame(home, lane, { type: 'call', callId, purpose: 'home', envelope });
      if (!isWritten)
        fail(createTicketUnknownFailure(home, `node ${home}, which issued the ticket, cannot be reached`));
      return cancel;
    },
  };
}
