import type { CancelDeadline } from '../core/deadlineTimer.js';
import type { CallResult } from '../schema/call.js';
import type { Ran } from '../schema/failure.js';
import type { CallEnvelope, Frame } from '../schema/frame.js';

/** Receives the one result of a call. */
export type CallReply = (result: CallResult) => void;

/** Tells the call path that its caller no longer waits. */
export type CancelCall = () => void;

/** Takes a call for the local target; the reply is made once unless the returned function is called first. */
export type AdmitCall = (envelope: CallEnvelope, account: AllowanceAccount, reply: CallReply) => CancelCall;

/** The extra attempts that one request may still make from this node; shared by all children of one call. */
export interface AllowanceAccount {
  remaining: number;
}

/** A call that this node answers for: from its entry or parent until its result. */
export interface DispatchedCall {
  readonly envelope: CallEnvelope;
  readonly account: AllowanceAccount;
  readonly deadlineAtMs: number;
  readonly reply: CallReply;
  readonly parent: RunningCall | undefined;
  readonly triedHosts: Set<string>;
  attempts: number;
  /** What the attempts so far say about the work together. */
  ran: Ran;
  /** Least fraction heard from attempts of this call. */
  admittedFraction: number;
  isFinished: boolean;
  attempt: Attempt | undefined;
  cancelDeadline: CancelDeadline | undefined;
}

/** The one attempt of a dispatched call that is under way. */
export interface Attempt {
  readonly callId: string;
  readonly host: string;
  readonly grantedAllowance: number;
  readonly startedAtMs: number;
  cancel(): void;
}

/** An attempt that waits for the reply of another node. */
export interface RemoteAttempt {
  readonly host: string;
  readonly lane: 'urgent' | 'routine';
  settle(result: CallResult): void;
}

/** A call that a peer sent; its reply is written on the stream that it came by. */
export interface IncomingCall {
  readonly respond: (frame: Frame) => void;
  readonly cancel: CancelCall;
}

/** A call that the home of its ticket answers. */
export interface ForwardedCall {
  readonly callId: string;
  isFinished: boolean;
}

/** The one execution of a ticket, at the ticket's home. */
export interface HomeRun {
  /** Callers of this ticket that wait for the result. */
  readonly waitingReplies: Set<CallReply>;
  /** False when no caller knows the ticket yet, so that none can ask for the result again. */
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
  /** `taken`: out of the queue and not yet running. */
  state: 'queued' | 'taken' | 'running' | 'finished';
  startedAtMs: number;
  concurrencyAtStart: number;
  /** Time (ms) during which at least one onward call was open. */
  downstreamTimeMs: number;
  openDownstreamCalls: number;
  downstreamSinceMs: number;
  /** Least admitted fraction that onward calls reported. */
  admittedFraction: number;
  /** An onward call was refused in a way that forbids a retry of the whole call. */
  isRetryForbidden: boolean;
  cancelTarget: (() => void) | undefined;
  cancelDeadline: CancelDeadline | undefined;
}
