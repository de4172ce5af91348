import type { CancelDeadline } from '../core/deadlineTimer.js';
import type { CallFailure } from '../schema/failure.js';
import type { CallEnvelope } from '../schema/frame.js';

/** A call as an outside caller makes it. */
export interface CallerCall {
  service: string;
  operation: string;
  /** Names the caller for fair shares. */
  callerKey: string;
  contentType: string;
  body: Uint8Array;
  /** Time that the caller allows (ms); capped by the operation's own deadline. */
  deadlineMs?: number;
  /** A ticket, for non-idempotent operations. */
  idempotencyKey?: string;
}

/** A call that the local target makes; `token` names the running call that it belongs to. */
export interface OnwardCall extends CallerCall {
  token?: string;
}

interface ResultFields {
  /** Extra attempts not spent out of those given with the call. */
  allowanceLeft: number;
  /** Least admitted fraction of the call's priority on its way. */
  admittedFraction: number;
  /** Set where the request entered. */
  requestId?: string;
  /** The ticket under which a non-idempotent call ran. */
  ticket?: string;
}

export type CallAnswer = ResultFields & { type: 'answer'; status: number; contentType: string; body: Uint8Array };
export type CallRefusal = ResultFields & { type: 'refusal'; failure: CallFailure };
export type CallResult = CallAnswer | CallRefusal;

/** Receives the one result of a call. */
export type CallReply = (result: CallResult) => void;

/** Tells the call path that its caller no longer waits. */
export type CancelCall = () => void;

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
  readonly lent: number;
  readonly startedAtMs: number;
  cancel(): void;
}

/** An attempt that waits for the reply of another node. */
export interface RemoteAttempt {
  readonly host: string;
  readonly lane: 'urgent' | 'routine';
  settle(result: CallResult): void;
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
  onwardTimeMs: number;
  onwardOpen: number;
  onwardSinceMs: number;
  /** Least admitted fraction that onward calls reported. */
  admittedFraction: number;
  /** An onward call was refused in a way that forbids a retry of the whole call. */
  isRetryForbidden: boolean;
  cancelTarget: (() => void) | undefined;
  cancelDeadline: CancelDeadline | undefined;
}
