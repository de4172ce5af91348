import type { Clock } from '../../core/clock.js';
import type {
  AnswerFrame,
  FailedFrame,
  HelloFrame,
  LinkFrame,
  LoadReport,
  RunRequest,
} from '../../schema/linkFrame.js';
import type { LinkConnection } from './context.js';
import type { RunAttempt, RunEvents } from './runPort.js';

/** Limits on sent answers that are retained, so that they can be sent again after the connection broke. */
const MAX_RETAINED_ANSWERS = 64;
const ANSWER_RETENTION_MS = 2000;
const MAX_RETAINED_BYTES = 256 * 1024;
/** Time within which a disconnected peer can reconnect before its requests are cancelled (ms). */
const RECONNECT_WAIT_MS = 1000;

type FinalFrame = AnswerFrame | FailedFrame;

/** One request of the peer until its outcome was sent. */
interface OpenRun {
  readonly id: number;
  readonly attempt: RunAttempt;
  /** True once the head of a streamed answer was sent; the rest must follow on the same connection. */
  isAnswering: boolean;
}

interface RetainedAnswer {
  frame: FinalFrame;
  bytes: number;
  untilMs: number;
}

/** Options of `createIncomingRuns`. */
export interface IncomingRunsOptions {
  host: string;
  clock: Clock;
  /** Passes a request to the local target; sets its handle. */
  accept: (attempt: RunAttempt) => void;
  readLoad: () => LoadReport;
  /** Called when a request ends whose sender no longer waits for its outcome. */
  reportDiscarded: (requestId: string, outcome: string) => void;
}

/** The requests received from one process of a peer on one lane, across reconnections. */
export interface IncomingRuns {
  readonly openCount: number;
  /** Switches to a new connection. Frames of earlier connections are ignored from then on, to prevent duplicates. */
  attach(connection: LinkConnection, hello: HelloFrame): void;
  detach(connection: LinkConnection): void;
  /** True if this is the connection in use; frames of others must be ignored. */
  isCurrent(connection: LinkConnection): boolean;
  receive(frame: LinkFrame): void;
  /** Sends a frame that does not belong to a request. */
  send(frame: LinkFrame): void;
}

/** Creates the receiving side of one lane. */
export function createIncomingRuns(options: IncomingRunsOptions): IncomingRuns {
  const { host, clock } = options;
  const open = new Map<number, OpenRun>();
  const retained: RetainedAnswer[] = [];
  let retainedBytes = 0;
  let connection: LinkConnection | undefined;
  let incarnation = '';
  let highestId = -1;
  let detachCount = 0;

  const retain = (frame: FinalFrame): void => {
    const bytes = frame.type === 'answer' ? frame.body.length : 0;
    retained.push({ frame, bytes, untilMs: clock.now() + ANSWER_RETENTION_MS });
    retainedBytes += bytes;
    while (
      retained.length > MAX_RETAINED_ANSWERS ||
      retainedBytes > MAX_RETAINED_BYTES ||
      (retained[0]?.untilMs ?? Infinity) < clock.now()
    ) {
      retainedBytes -= retained.shift()?.bytes ?? 0;
    }
  };
  /**
   * A request that was cancelled, or whose sender was restarted, may go on at the target: its events must not reach a later
   * request with the same number.
   */
  const isOpen = (run: OpenRun): boolean => open.get(run.id) === run;
  const finish = (run: OpenRun, frame: FinalFrame): void => {
    if (!isOpen(run)) {
      const outcome = frame.type === 'answer' ? `status ${frame.status}` : frame.failure.kind;
      options.reportDiscarded(run.attempt.request.requestId, outcome);
      return;
    }
    open.delete(run.id);
    retain(frame);
    connection?.send(frame);
  };
  const buildEvents = (id: number, getRun: () => OpenRun): RunEvents => ({
    answer: ({ status, headers, body, isStreamed }) => {
      const frame: AnswerFrame = { type: 'answer', id, status, headers, body, isStreamed, load: options.readLoad() };
      const run = getRun();
      if (!isStreamed) finish(run, frame);
      else if (isOpen(run)) {
        run.isAnswering = true;
        connection?.send(frame);
      }
    },
    part: (data, isLast) => {
      if (!isOpen(getRun())) return;
      if (isLast) open.delete(id);
      connection?.send({ type: 'part', id, data, isLast });
    },
    fail: (failure) => {
      finish(getRun(), { type: 'failed', id, failure, load: options.readLoad() });
    },
    grantBody: (bytes) => {
      if (isOpen(getRun())) connection?.send({ type: 'grant', id, bytes });
    },
  });
  const accept = (id: number, request: RunRequest): void => {
    highestId = Math.max(highestId, id);
    const run: OpenRun = {
      id,
      attempt: { host, request, events: buildEvents(id, () => run), handle: undefined },
      isAnswering: false,
    };
    open.set(id, run);
    try {
      options.accept(run.attempt);
    } catch (error) {
      // The sender hears over its next connection that the outcome is not known.
      cancel(id);
      throw error;
    }
  };
  const cancel = (id: number): void => {
    const run = open.get(id);
    open.delete(id);
    run?.attempt.handle?.cancel();
  };
  const cancelAll = (): void => {
    for (const id of [...open.keys()]) cancel(id);
  };
  /** Ends a request whose answer began on an earlier connection, where its head was lost. */
  const endTruncated = (run: OpenRun): void => {
    const detail = 'the beginning of the answer was lost with its connection';
    run.attempt.handle?.cancel();
    const failure = { kind: 'answerTruncated' as const, ran: 'unknown' as const, hasArrived: true, detail };
    finish(run, { type: 'failed', id: run.id, failure, load: options.readLoad() });
  };
  const resume = (id: number): void => {
    const run = open.get(id);
    if (run !== undefined) {
      if (run.isAnswering) endTruncated(run);
      return;
    }
    const answer = retained.find(({ frame }) => frame.id === id);
    if (answer !== undefined) {
      connection?.send(answer.frame);
      return;
    }
    const hasArrived = id <= highestId;
    const detail = hasArrived ? 'the outcome of the request is no longer available' : 'the request was not received';
    const failure = { kind: 'linkLost' as const, ran: hasArrived ? ('unknown' as const) : ('no' as const), hasArrived };
    connection?.send({ type: 'failed', id, failure: { ...failure, detail }, load: options.readLoad() });
  };
  return {
    get openCount() {
      return open.size;
    },
    attach: (opened, { member, pending }) => {
      const previous = connection;
      connection = opened;
      previous?.close();
      if (member.incarnation !== incarnation) {
        cancelAll();
        retained.length = 0;
        retainedBytes = 0;
        highestId = -1;
        incarnation = member.incarnation;
      }
      const wanted = new Set(pending);
      for (const id of [...open.keys()]) if (!wanted.has(id)) cancel(id);
      for (const id of pending) resume(id);
    },
    detach: (closed) => {
      if (connection !== closed) return;
      connection = undefined;
      const detachNumber = ++detachCount;
      clock.schedule(RECONNECT_WAIT_MS, () => {
        if (connection === undefined && detachNumber === detachCount) cancelAll();
      });
    },
    isCurrent: (candidate) => connection === candidate,
    receive: (frame) => {
      if (frame.type === 'run') accept(frame.id, frame.request);
      else if (frame.type === 'cancel') cancel(frame.id);
      else if (frame.type === 'part') open.get(frame.id)?.attempt.handle?.sendBody(frame.data, frame.isLast);
      else if (frame.type === 'grant') open.get(frame.id)?.attempt.handle?.grantAnswer(frame.bytes);
    },
    send: (frame) => {
      connection?.send(frame);
    },
  };
}
