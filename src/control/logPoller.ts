import type { LogPage, LogReadOutcome } from '../schema/logRecord.js';
import type { CancelScheduled } from '../core/clock.js';
import type { ControllerContext } from './context.js';

export interface LogPollerOptions {
  /** Returns the offset to read from next. */
  getNextOffset: () => number;
  /** Applies a page; returns the reason if the page cannot be used. */
  handlePage: (page: LogPage) => string | undefined;
  /** Called after each read; `failure` is undefined if the read succeeded. */
  reportRead: (failure: string | undefined) => void;
}

/** Polls the log while it is started. */
export interface LogPoller {
  start(): void;
  stop(): void;
}

/** An empty response faster than this means that the log did not hold the read open until a record arrived. */
const MIN_POLL_MS = 500;
/** Pause between two reads while the log is up (ms). */
const POLL_DELAY_MS = 10;
/** Base of the delay after failed reads, which doubles with each of them (ms). */
const MIN_BACKOFF_MS = 200;
/** Well below the 7 s in which a change must be in force after an outage. */
const MAX_BACKOFF_MS = 2000;
/**
 * A read without a response for this long is repeated, so that a connection that fails without an error costs less than
 * the 7 s in which a change must be in force. It is longer than the 2 s for which the log holds a read open.
 */
const READ_TIMEOUT_MS = 3500;
/** The timeout doubles up to this while the log is slow; a page that arrives after its timeout is still applied. */
const MAX_READ_TIMEOUT_MS = 30_000;

/** Creates a poller that reads by long polling and backs off with jitter while the log is down. */
export function createLogPoller(context: ControllerContext, options: LogPollerOptions): LogPoller {
  const { clock, io, random } = context;
  let generation = 0;
  let failures = 0;
  let isStarted = false;
  let readTimeoutMs = READ_TIMEOUT_MS;
  let cancelNext: CancelScheduled = () => undefined;

  const poll = (): void => {
    const { readLog } = io;
    if (readLog === undefined) return;
    const current = ++generation;
    const startedMs = clock.now();
    const cancelTimeout = clock.schedule(readTimeoutMs, () => {
      const message = `the log did not respond within ${readTimeoutMs} ms`;
      readTimeoutMs = Math.min(MAX_READ_TIMEOUT_MS, 2 * readTimeoutMs);
      handleOutcome({ type: 'unavailable', message });
    });
    const handleOutcome = (outcome: LogReadOutcome): void => {
      if (current !== generation) {
        if (isStarted && outcome.type === 'page') options.handlePage(outcome.page);
        return;
      }
      generation++;
      cancelTimeout();
      const failure = outcome.type === 'page' ? options.handlePage(outcome.page) : outcome.message;
      failures = failure === undefined ? 0 : failures + 1;
      if (outcome.type === 'page') readTimeoutMs = READ_TIMEOUT_MS;
      options.reportRead(failure);
      const isEmpty = outcome.type === 'page' && outcome.page.entries.length === 0;
      const isImmediate = isEmpty && clock.now() - startedMs < MIN_POLL_MS;
      cancelNext = clock.schedule(failures > 0 ? computeBackoff() : isImmediate ? MIN_POLL_MS : POLL_DELAY_MS, poll);
    };
    readLog(options.getNextOffset(), handleOutcome);
  };
  const computeBackoff = (): number => {
    const maxBackoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** Math.min(failures, 10));
    return maxBackoffMs * (0.5 + 0.5 * random());
  };
  return {
    start: () => {
      isStarted = true;
      poll();
    },
    stop: () => {
      isStarted = false;
      generation++;
      cancelNext();
    },
  };
}
