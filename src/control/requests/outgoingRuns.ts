import type { AnswerFrame, LinkFrame, RunFailure } from '../../schema/linkFrame.js';
import type { LinkConnection } from './context.js';
import type { RunAttempt } from './runPort.js';

interface PendingRun {
  attempt: RunAttempt;
  /** A streamed answer began; it cannot be continued on another connection. */
  isAnswering: boolean;
  /** The request body is still being streamed. */
  isSending: boolean;
}

/** The requests sent to one peer on one lane, across reconnections. */
export interface OutgoingRuns {
  readonly pendingCount: number;
  /** Sends a request; fails it immediately if there is no connection. */
  send(attempt: RunAttempt): void;
  /** Handles a frame that belongs to a sent request; returns false for other frames. */
  receive(frame: LinkFrame): boolean;
  /** Switches to a new connection to the same process of the peer. */
  attach(connection: LinkConnection): void;
  /** Handles the end of the connection: fails requests that cannot be continued on a later one. */
  detach(): void;
  /** Lists the ids of the requests without an outcome, for the hello frame of a new connection. */
  listPending(): number[];
  /** Fails all pending requests, because the peer was removed, is unreachable or was restarted. */
  failAll(detail: string): void;
}

/** Options of `createOutgoingRuns`. */
export interface OutgoingRunsOptions {
  host: string;
  /** Returns a number that no other request of this process has, whichever lane sends it. */
  takeRunId: () => number;
  /** Called once for each request that ends. */
  onSettled: () => void;
}

/** Creates the sending side of one lane. */
export function createOutgoingRuns({ host, takeRunId, onSettled }: OutgoingRunsOptions): OutgoingRuns {
  const pending = new Map<number, PendingRun>();
  let connection: LinkConnection | undefined;

  const take = (id: number): PendingRun | undefined => {
    const run = pending.get(id);
    if (run === undefined) return undefined;
    pending.delete(id);
    onSettled();
    return run;
  };
  const fail = (id: number, failure: RunFailure): void => {
    take(id)?.attempt.events.fail(failure);
  };
  const receiveAnswer = (frame: AnswerFrame): void => {
    const { id, status, headers, body, isStreamed } = frame;
    const run = isStreamed ? pending.get(id) : take(id);
    if (run === undefined) return;
    run.isAnswering = isStreamed;
    run.attempt.events.answer({ status, headers, body, isStreamed });
  };
  const buildHandle = (id: number): NonNullable<RunAttempt['handle']> => ({
    cancel: () => {
      if (take(id) !== undefined) connection?.send({ type: 'cancel', id });
    },
    grantAnswer: (bytes) => {
      if (pending.has(id)) connection?.send({ type: 'grant', id, bytes });
    },
    sendBody: (data, isLast) => {
      const run = pending.get(id);
      if (run === undefined) return;
      run.isSending = !isLast;
      connection?.send({ type: 'part', id, data, isLast });
    },
  });
  const failWhere = (shouldFail: (run: PendingRun) => boolean, buildFailure: (run: PendingRun) => RunFailure): void => {
    for (const [id, run] of [...pending]) if (shouldFail(run)) fail(id, buildFailure(run));
  };
  return {
    get pendingCount() {
      return pending.size;
    },
    send: (attempt) => {
      if (connection === undefined) {
        attempt.events.fail({ kind: 'linkLost', ran: 'no', hasArrived: false, detail: `no connection to ${host}` });
        return;
      }
      const id = takeRunId();
      pending.set(id, { attempt, isAnswering: false, isSending: attempt.request.isStreamed });
      attempt.handle = buildHandle(id);
      connection.send({ type: 'run', id, request: attempt.request });
    },
    receive: (frame) => {
      if (frame.type === 'answer') receiveAnswer(frame);
      else if (frame.type === 'failed') fail(frame.id, frame.failure);
      else if (frame.type === 'part') {
        const run = frame.isLast ? take(frame.id) : pending.get(frame.id);
        run?.attempt.events.part(frame.data, frame.isLast);
      } else if (frame.type === 'grant') pending.get(frame.id)?.attempt.events.grantBody(frame.bytes);
      else return false;
      return true;
    },
    attach: (opened) => {
      connection = opened;
    },
    detach: () => {
      connection = undefined;
      const detail = `the connection to ${host} was lost`;
      failWhere(
        ({ isAnswering, isSending }) => isAnswering || isSending,
        ({ isAnswering }) => ({
          kind: isAnswering ? 'answerTruncated' : 'linkLost',
          ran: 'unknown',
          hasArrived: true,
          detail,
        }),
      );
    },
    listPending: () => [...pending.keys()],
    failAll: (detail) => {
      failWhere(
        () => true,
        () => ({ kind: 'linkLost', ran: 'unknown', hasArrived: true, detail }),
      );
    },
  };
}
