import type { KeyedRecord, StoreRead } from '../../schema/keyedStore.js';
import type { KeyedTopic, RequestContext } from './context.js';

/** Longest wait of one read for a new record (ms). */
const MAX_POLL_WAIT_MS = 25_000;
/** Pause before the next read of a store that did not answer (ms). */
const RETRY_PAUSE_MS = 1000;

export interface TopicWatcherOptions {
  topic: KeyedTopic;
  /** What the topic holds, for the log. */
  name: string;
  /** Takes new records; `isComplete` when they are the newest of all keys. */
  apply: (records: readonly KeyedRecord[], isComplete: boolean) => void;
  /** Told after each read whether the store answered. */
  reportRead: (isReached: boolean) => void;
  /** Pause after a read that found records, so that many changes cost few reads (ms). */
  pauseMs: number;
}

/**
 * Follows a topic of the platform's store: the newest records first, then what is appended, and the newest ones again
 * after the store deleted what was not read. Returns a function that stops.
 */
export function startTopicWatcher({ board, clock, random }: RequestContext, options: TopicWatcherOptions): () => void {
  let isStopped = false;
  let cancelRead = (): void => undefined;
  let nextOffset: number | undefined;
  let wasReached: boolean | undefined;

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
  const schedule = (pauseMs: number): void => {
    if (!isStopped) clock.schedule(pauseMs, read);
  };
  const receive = (outcome: StoreRead, isComplete: boolean): void => {
    if (isStopped) return;
    if (outcome.type === 'records') {
      nextOffset = outcome.next;
      recordRead(true);
      if (outcome.records.length > 0 || isComplete) options.apply(outcome.records, isComplete);
      schedule(outcome.records.length > 0 && !isComplete ? options.pauseMs : 0);
    } else if (outcome.type === 'compacted') {
      nextOffset = undefined;
      schedule(0);
    } else {
      recordRead(false, outcome.detail);
      schedule(RETRY_PAUSE_MS * (0.5 + random()));
    }
  };
  const read = (): void => {
    if (isStopped) return;
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
