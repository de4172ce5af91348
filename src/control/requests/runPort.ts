import type { RunFailure, RunRequest } from '../../schema/linkFrame.js';

/** The begin of a target's answer; the whole of it unless `isStreamed`. */
export interface RunAnswer {
  status: number;
  /** End-to-end headers, names and values in turn. */
  headers: string[];
  body: Uint8Array;
  isStreamed: boolean;
}

/** What the side that runs a request tells the side that sent it. Ends with a whole answer, a last part or a failure. */
export interface RunEvents {
  answer(answer: RunAnswer): void;
  part(data: Uint8Array, isLast: boolean): void;
  fail(failure: RunFailure): void;
  /** The request's body may go on by so many bytes. */
  grantBody(bytes: number): void;
}

/** What the side that sent a request may tell the side that runs it. */
export interface RunHandle {
  /** Nobody waits any more: the request is not started, and stopped where it may be repeated. */
  cancel(): void;
  /** The answer's body may go on by so many bytes. */
  grantAnswer(bytes: number): void;
  sendBody(data: Uint8Array, isLast: boolean): void;
}

/** One send of a request to the node beside a target. The section that takes it sets `handle` before it returns. */
export interface RunAttempt {
  readonly host: string;
  readonly request: RunRequest;
  readonly events: RunEvents;
  handle: RunHandle | undefined;
}

/** What is written to the local target. */
export interface TargetSend {
  address: string;
  targetId: string;
  request: RunRequest;
}

/** Sends a request to the local target. */
export type SendToTarget = (send: TargetSend, events: RunEvents) => RunHandle;
