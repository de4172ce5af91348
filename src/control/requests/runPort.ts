import type { RunFailure, RunRequest } from '../../schema/linkFrame.js';

/** The answer of a target; if `isStreamed`, only its start, with more of the body in parts. */
export interface RunAnswer {
  status: number;
  /** End-to-end headers, alternating names and values. */
  headers: string[];
  body: Uint8Array;
  isStreamed: boolean;
}

/**
 * Callbacks from the side that runs a request to the side that sent it. The last one is a complete answer, a last part or
 * a failure.
 */
export interface RunEvents {
  answer(answer: RunAnswer): void;
  part(data: Uint8Array, isLast: boolean): void;
  fail(failure: RunFailure): void;
  /** Allows the sender to send this many more bytes of the request body. */
  grantBody(bytes: number): void;
}

/** What a target says about itself in the head of an answer. */
export interface TargetNotice {
  /** Requests per second that it takes from all nodes together; undefined if it names no limit. */
  ratePerSecond: number | undefined;
  isLeaving: boolean;
  /** How long work takes there now, relative to the usual duration; undefined if it does not say. */
  pace: number | undefined;
  /** A limit that could not be read; it changes nothing. */
  unreadableLimit: string | undefined;
}

/** Callbacks from the sender of requests to the local target. */
export interface TargetEvents extends RunEvents {
  /** Called with the head of each answer of the target, before its body. */
  notice(notice: TargetNotice): void;
}

/** Controls a request from the side that sent it. */
export interface RunHandle {
  /** Cancels the request: a queued one is not started, a running one is aborted if it is idempotent or incomplete. */
  cancel(): void;
  /** Allows the other side to send this many more bytes of the answer body. */
  grantAnswer(bytes: number): void;
  sendBody(data: Uint8Array, isLast: boolean): void;
}

/** One attempt to run a request at a host. The controller that accepts it sets `handle` before its post returns. */
export interface RunAttempt {
  readonly host: string;
  readonly request: RunRequest;
  readonly events: RunEvents;
  handle: RunHandle | undefined;
}

/** A request to send to the local target. */
export interface TargetSend {
  address: string;
  targetId: string;
  request: RunRequest;
}

/** Sends a request to the local target. */
export type SendToTarget = (send: TargetSend, events: TargetEvents) => RunHandle;
