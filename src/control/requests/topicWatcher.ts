import type { KeyedRecord, StoreRead } from '../../schema/keyedStore.js';
import { isNewEra, isPastEra } from '../../policy/storeEra.js';
import type { StoreEra } from '../../policy/storeEra.js';
import type { KeyedTopic, RequestContext } from './context.js';
import { observeStoreEra, STORE_SOURCE } from './storeReading.js';

/** Mean pause before a failed read is retried (ms). */
const RETRY_PAUSE_MS = 1000;
/** Interval at which a node that does not read the topic checks whether it has to (ms). */
const READER_CHECK_INTERVAL_MS = 500;
/** Time after which a node that does not read the topic reads it once, in case its peers missed a change (ms). */
export const UNREAD_LIMIT_MS = 120_000;

/** Options of `startTopicWatcher`. */
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
 * Watches a topic of the platform's store: reads the latest records, then appended ones. It starts again with the latest
 * records if the store compacted records that were not read yet, and at once when the store has come back from an older
 * copy, since it assigns offsets again. Returns a function that stops watching.
 */
export function startTopicWatcher({ board, clock, random }: RequestContext, options: TopicWatcherOptions): () => void {
  let isStopped = false;
  let cancelRead = (): void => undefined;
  let nextOffset: number | undefined;
  let wasReached: boolean | undefined;
  let readAtMs = clock.now();
  let wasReader = true;
  /** Incremented when the read under way, or the pause before the next one, is no longer valid. */
  let round = 0;
  /** The era that was known when the last read was started. */
  let readEra: StoreEra;
  let isReadingNewest = false;
  let isObservingEra = false;

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
    const scheduledRound = round;
    clock.schedule(pauseMs, () => {
      if (round === scheduledRound) read();
    });
  };
  const scheduleRetry = (detail: string): void => {
    recordRead(false, detail);
    schedule(RETRY_PAUSE_MS * (0.5 + random()));
  };
  /** Reads the newest records in place of what is under way: the offsets are void. */
  const restart = (): void => {
    round++;
    cancelRead();
    nextOffset = undefined;
    read();
  };
  const handleNewEra = (): void => {
    // The newest records that are being read may be of the new era.
    if (!isStopped && !isReadingNewest && !isObservingEra) restart();
  };
  /** Records the era of a response. True if it has risen. */
  const observeEra = (era: StoreEra): boolean => {
    const isRisen = isNewEra(era, board.read('store').era);
    isObservingEra = true;
    observeStoreEra(board, era, STORE_SOURCE);
    isObservingEra = false;
    return isRisen;
  };
  const receive = (outcome: StoreRead, isComplete: boolean): void => {
    isReadingNewest = false;
    const responseEra = outcome.type === 'unanswered' ? undefined : outcome.era;
    const { era } = board.read('store');
    if (isPastEra(responseEra, era)) {
      if (readEra === era) scheduleRetry(`response of era ${responseEra} after era ${era}`);
      else schedule(0);
      return;
    }
    const isUsable = outcome.type === 'records' && isComplete;
    if (observeEra(responseEra) && !isUsable) restart();
    else handleOutcome(outcome, isComplete);
  };
  const handleOutcome = (outcome: StoreRead, isComplete: boolean): void => {
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
      scheduleRetry(outcome.detail);
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
      isReadingNewest = true;
      options.topic.readNewest(startRead(true));
      return;
    }
    const waitMs = checkWait();
    const unreadLimitMs = options.getUnreadLimitMs?.() ?? UNREAD_LIMIT_MS;
    if (waitMs === undefined && clock.now() - readAtMs < unreadLimitMs) schedule(READER_CHECK_INTERVAL_MS);
    else cancelRead = options.topic.readFrom(nextOffset, waitMs ?? 0, startRead(false));
  };
  /** Returns the handler of the outcome, which counts unless the read was replaced. */
  const startRead = (isComplete: boolean): ((outcome: StoreRead) => void) => {
    const readRound = round;
    readAtMs = clock.now();
    readEra = board.read('store').era;
    return (outcome) => {
      if (!isStopped && round === readRound) receive(outcome, isComplete);
    };
  };
  const stopUpdates = board.subscribe('store', handleNewEra);
  read();
  return () => {
    isStopped = true;
    stopUpdates();
    cancelRead();
  };
}
