import type { KeyedRecord, StoreRead } from '../../schema/keyedStore.js';
import type { KeyedTopic, RequestContext } from './context.js';

/** Mean pause before a failed read is retried (ms). */
const RETRY_PAUSE_MS = 1000;
/** Interval at which a node that does not read the topic checks whether it has to (ms). */
const READER_CHECK_INTERVAL_MS = 500;
/** Time after which a node that does not read the topic reads it once, in case its peers missed a change (ms). */
export const UNREAD_LIMIT_MS = 120_000;

export interface TopicWatcherOptions {
  topic: KeyedTopic;
  /** Name of the topic in log lines. */
  name: string;
  /** Applies new records; `isComplete` if they are the latest records of all keys. */
  apply: (records: readonly KeyedRecord[], isComplete: boolean) => void;
  /** Called after each read with whether the store answered. */
  reportRead: (isReached: boolean) => void;
  /** Returns the pause after a read that returned records, which limits the reads during frequent changes (ms). */
  getPauseMs: () => number;
  /**
   * Returns the time for which the next read waits for a new record (ms); undefined while this node learns of changes from
   * its peers.
   */
  getWaitMs: () => number | undefined;
  /**
   * Returns the time after which a node that learns of changes from its peers reads the topic itself (ms); 120 s by default.
   */
  getUnreadLimitMs?: () => number;
}

/**
 * Watches a topic of the platform's store: reads the latest records, then appended ones, and starts again with the
 * latest records if the store compacted records that were not read yet. Returns a function that stops watching.
 */
export function startTopicWatcher({ board, clock, random }: RequestContext, options: TopicWatcherOptions): () => void {
  let isStopped = false;
  let cancelRead = (): void => undefined;
  let nextOffset: number | undefined;
  let wasReached: boolean | undefined;
  let readAtMs = clock.now();
  let wasReader = true;

  const recordRead = (isReached: boolean, detail?: string): void => {
    options.reportRead(isReached);
    if (wasReached === isReached) return;
    wasReached = isReached;
    const outcome = isReached ? 'store reached' : 'store lost';
    board.post('decisions', {
      kind: 'storeChanged',
      outcome,
      inputs: { topic: options.name, next: nextOffset, detail },
    });
  };
  const reportUnanswered = (detail: string): void => {
    const openMs = Math.round(clock.now() - readAtMs);
    const inputs = { topic: options.name, next: nextOffset, openMs, detail };
    board.post('decisions', { kind: 'storeChanged', outcome: 'read unanswered', inputs });
  };
  const schedule = (pauseMs: number): void => {
    if (!isStopped) clock.schedule(pauseMs, read);
  };
  const receive = (outcome: StoreRead, isComplete: boolean): void => {
    if (isStopped) return;
    if (outcome.type === 'records') {
      nextOffset = outcome.next;
      recordRead(true);
      if (outcome.records.length > 0 || isComplete) options.apply(outcome.records, isComplete);
      schedule(outcome.records.length > 0 && !isComplete ? options.getPauseMs() : 0);
    } else if (outcome.type === 'compacted') {
      nextOffset = undefined;
      schedule(0);
    } else if (outcome.type === 'unanswered') {
      reportUnanswered(outcome.detail);
      recordRead(false, outcome.detail);
      // The time for a response has passed already, and the store may have answered on a connection that went silent.
      schedule(0);
    } else {
      recordRead(false, outcome.detail);
      schedule(RETRY_PAUSE_MS * (0.5 + random()));
    }
  };
  const checkWait = (): number | undefined => {
    const waitMs = options.getWaitMs();
    const isReader = waitMs !== undefined;
    if (isReader !== wasReader) {
      wasReader = isReader;
      const outcome = isReader ? 'waits for changes at the store' : 'learns of changes from peers';
      board.post('decisions', { kind: 'storeChanged', outcome, inputs: { topic: options.name, next: nextOffset } });
    }
    return waitMs;
  };
  const read = (): void => {
    if (isStopped) return;
    if (nextOffset === undefined) {
      readAtMs = clock.now();
      options.topic.readNewest((outcome) => {
        receive(outcome, true);
      });
      return;
    }
    const waitMs = checkWait();
    const unreadLimitMs = options.getUnreadLimitMs?.() ?? UNREAD_LIMIT_MS;
    if (waitMs === undefined && clock.now() - readAtMs < unreadLimitMs) schedule(READER_CHECK_INTERVAL_MS);
    else {
      readAtMs = clock.now();
      cancelRead = options.topic.readFrom(nextOffset, waitMs ?? 0, (outcome) => {
        receive(outcome, false);
      });
    }
  };
  read();
  return () => {
    isStopped = true;
    cancelRead();
  };
}
