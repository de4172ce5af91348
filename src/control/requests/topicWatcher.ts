import type { KeyedRecord, StoreRead } from '../../schema/keyedStore.js';
import type { KeyedTopic, RequestContext } from './context.js';

/** Maximum time that one read waits for a new record (ms). */
const MAX_POLL_WAIT_MS = 25_000;
/** Mean pause before a failed read is retried (ms). */
const RETRY_PAUSE_MS = 1000;
/** Interval at which a node that does not read the topic checks whether it has to (ms). */
const READER_CHECK_INTERVAL_MS = 500;
/** Time after which a node that does not read the topic reads it once, in case its peers missed a change (ms). */
const UNREAD_LIMIT_MS = 120_000;

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
  /** True while this node has to wait for changes; otherwise it learns of them from its peers. */
  isReader: () => boolean;
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
    } else {
      if (outcome.type === 'unanswered') reportUnanswered(outcome.detail);
      recordRead(false, outcome.detail);
      schedule(RETRY_PAUSE_MS * (0.5 + random()));
    }
  };
  const checkIsReader = (): boolean => {
    const isReader = options.isReader();
    if (isReader !== wasReader) {
      wasReader = isReader;
      const outcome = isReader ? 'waits for changes at the store' : 'learns of changes from peers';
      board.post('decisions', { kind: 'storeChanged', outcome, inputs: { topic: options.name, next: nextOffset } });
    }
    return isReader;
  };
  const read = (): void => {
    if (isStopped) return;
    if (nextOffset !== undefined && !checkIsReader() && clock.now() - readAtMs < UNREAD_LIMIT_MS) {
      schedule(READER_CHECK_INTERVAL_MS);
      return;
    }
    readAtMs = clock.now();
    if (nextOffset === undefined) {
      options.topic.readNewest((outcome) => {
        receive(outcome, true);
      });
    } else {
      cancelRead = options.topic.readFrom(nextOffset, MAX_POLL_WAIT_MS, (outcome) => {
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
