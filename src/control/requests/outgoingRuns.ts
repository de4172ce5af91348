import type { AnswerFrame, LinkFrame, RunFailure } from '../../schema/linkFrame.js';
import type { LinkConnection } from './context.js';
import type { RunAttempt } from './runPort.js';

interface PendingRun {
  attempt: RunAttempt;
  /** The answer began and goes on in parts, which no other connection can continue. */
  isAnswering: boolean;
  /** The request's body still follows in parts. */
  isSending: boolean;
}

/** The requests that this node sent over one lane to one peer, over all connections of that lane. */
export interface OutgoingRuns {
  readonly pendingCount: number;
  /** Sends a request; fails it at once where there is no connection. */
  send(attempt: RunAttempt): void;
  /** Takes a frame about a sent request; false when it is about something else. */
  receive(frame: LinkFrame): boolean;
  /** Takes over a new connection to the same process of the peer. */
  attach(connection: LinkConnection): void;
  /** The connection ended. What a later one cannot continue fails. */
  detach(): void;
  /** Ids whose outcome a new connection has to tell. */
  listPending(): number[];
  /** Fails all that waits: the peer is gone, or another process answers in its place. */
  failAll(detail: string): void;
}

/** Creates the sending side of one lane. */
export function createOutgoingRuns(host: string, onSettled: () => void): OutgoingRuns {
  const pending = new Map<number, PendingRun>();
  let connection: LinkConnection | undefined;
  let nextId = 0;

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
      const id = nextId++;
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
      const detail = `the connection to ${host} broke`;
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
