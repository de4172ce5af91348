import type { CancelDeadline } from '../core/deadlineTimer.js';
import type { CallResult } from '../schema/call.js';
import type { Ran } from '../schema/failure.js';
import type { CallEnvelope, Frame } from '../schema/frame.js';

/** Receives the result of a call; called once, or never if the call is cancelled. */
export type CallReply = (result: CallResult) => void;

/** Cancels a call whose caller no longer waits for the result. */
export type CancelCall = () => void;

/** The `CancelCall` of a call that already has its result. */
export const cancelNothing: CancelCall = () => undefined;

/** Runs, queues or refuses a call for the local target; `reply` is called once unless the call is cancelled first. */
export type AdmitCall = (envelope: CallEnvelope, account: AllowanceAccount, reply: CallReply) => CancelCall;

/** Extra attempts left for one request at this node; shared by all downstream calls of a call. */
export interface AllowanceAccount {
  remaining: number;
}

/** A call that this node sends to targets, with retries, until it has a result. */
export interface DispatchedCall {
  readonly envelope: CallEnvelope;
  readonly account: AllowanceAccount;
  readonly deadlineAtMs: number;
  readonly reply: CallReply;
  readonly parent: RunningCall | undefined;
  readonly triedHosts: Set<string>;
  attempts: number;
  /** Merged over the attempts so far. */
  ran: Ran;
  /** Minimum admitted fraction in the results of the attempts. */
  admittedFraction: number;
  isFinished: boolean;
  attempt: Attempt | undefined;
  cancelDeadline: CancelDeadline | undefined;
}

/** The attempt of a dispatched call that is in progress. */
export interface Attempt {
  /** Empty for an attempt at the local target. */
  readonly callId: string;
  readonly host: string;
  /** Extra attempts passed on with the attempt; the result returns those that are left. */
  readonly grantedAllowance: number;
  readonly startedAtMs: number;
  cancel(): void;
}

/** A call that was sent to another node and waits for the reply. */
export interface RemoteAttempt {
  readonly host: string;
  readonly lane: 'urgent' | 'routine';
  settle(result: CallResult): void;
}

/** A call from a peer; the reply is written to the stream on which the call was received. */
export interface IncomingCall {
  readonly respond: (frame: Frame) => void;
  readonly cancel: CancelCall;
}

/** A call that was forwarded to the home of its ticket. */
export interface ForwardedCall {
  readonly callId: string;
  isFinished: boolean;
}

/** A run of a ticket's request at the home of the ticket, the node that issued it and stores the outcome. */
export interface HomeRun {
  /** Callers with this ticket that wait for the result. */
  readonly waitingReplies: Set<CallReply>;
  /** False if the request came without a ticket: the caller does not know the ticket yet and cannot resend. */
  readonly canBeResent: boolean;
  call: DispatchedCall | undefined;
}

/** A call that waits for or runs at the local target. */
export interface RunningCall {
  readonly token: string;
  readonly envelope: CallEnvelope;
  readonly account: AllowanceAccount;
  readonly deadlineAtMs: number;
  readonly arrivedAtMs: number;
  readonly reply: CallReply;
  readonly children: Set<DispatchedCall>;
  /** `taken`: removed from the queue and not yet running. */
  state: 'queued' | 'taken' | 'running' | 'finished';
  startedAtMs: number;
  concurrencyAtStart: number;
  /** Total time during which at least one downstream call was open (ms). */
  downstreamTimeMs: number;
  openDownstreamCalls: number;
  /** Start of the current period with open downstream calls. */
  downstreamSinceMs: number;
  /** Minimum admitted fraction in the results of downstream calls. */
  admittedFraction: number;
  /** True after a downstream call failed with `retry: never`, which also forbids a retry of this call. */
  isRetryForbidden: boolean;
  cancelTarget: (() => void) | undefined;
  cancelDeadline: CancelDeadline | undefined;
}
