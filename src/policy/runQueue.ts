import { createFifo } from '../core/fifo.js';
import type { Fifo } from '../core/fifo.js';

/** A request that waits for the local target. Times are monotonic (ms). */
export interface QueuedRun {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** True for a call of a running request. */
  readonly isStarted: boolean;
  /** Time until which the answer has its full worth. */
  readonly worthUntilMs: number;
  /** True once the request was removed before its turn. */
  isDropped: boolean;
}

/**
 * Waiting requests, ordered by priority. Within a priority, calls of running requests come before new requests, since the
 * work of their trees is lost without them; of each of the two, those that can still be answered at full worth come first.
 */
export interface RunQueue<Run extends QueuedRun> {
  /** Number of waiting requests, without dropped ones. */
  readonly length: number;
  add(run: Run): void;
  /** Removes and returns the next request; `expectedMs` is its expected run duration. */
  takeNext(nowMs: number, expectedMs: number): Run | undefined;
  /** Drops a waiting request. */
  drop(run: Run): void;
  /** Returns the number of waiting requests that go before a new one like this, at most. */
  countAhead(run: Pick<Run, 'priority' | 'isStarted'>): number;
  /** Removes and returns all waiting requests. */
  takeAll(): Run[];
}

interface RankRuns<Run> {
  /** Lower ranks go first. */
  rank: number;
  length: number;
  /** Requests that can still be answered at full worth, in order of arrival. */
  timely: Fifo<Run>;
  /** Requests too late for their full worth, served after the timely ones. */
  late: Fifo<Run>;
}

/**
 * Creates an empty queue.
 *
 * @example
 * queue.add(run);
 * const next = queue.takeNext(clock.now(), 30);
 */
export function createRunQueue<Run extends QueuedRun>(): RunQueue<Run> {
  const levels: RankRuns<Run>[] = [];
  let length = 0;

  const getLevel = (run: Run): RankRuns<Run> => {
    const rank = computeRank(run);
    const existing = levels.find((level) => level.rank === rank);
    if (existing !== undefined) return existing;
    const created = { rank, length: 0, timely: createFifo<Run>(), late: createFifo<Run>() };
    levels.push(created);
    levels.sort((left, right) => left.rank - right.rank);
    return created;
  };
  const takeFirst = (level: RankRuns<Run>, nowMs: number, expectedMs: number): Run | undefined => {
    for (let run = level.timely.takeFirst(); run !== undefined; run = level.timely.takeFirst()) {
      if (run.isDropped) continue;
      if (run.worthUntilMs >= nowMs + expectedMs) return run;
      level.late.add(run);
    }
    for (let run = level.late.takeFirst(); run !== undefined; run = level.late.takeFirst()) {
      if (!run.isDropped) return run;
    }
    return undefined;
  };
  const takeNext = (nowMs: number, expectedMs: number): Run | undefined => {
    for (const level of levels) {
      if (level.length === 0) continue;
      const run = takeFirst(level, nowMs, expectedMs);
      if (run === undefined) continue;
      level.length--;
      length--;
      return run;
    }
    return undefined;
  };
  return {
    get length() {
      return length;
    },
    add: (run) => {
      const level = getLevel(run);
      level.timely.add(run);
      level.length++;
      length++;
    },
    takeNext,
    drop: (run) => {
      if (run.isDropped) return;
      run.isDropped = true;
      getLevel(run).length--;
      length--;
    },
    countAhead: (run) => {
      const rank = computeRank(run);
      let count = 0;
      for (const level of levels) if (level.rank <= rank) count += level.length;
      return count;
    },
    takeAll: () => {
      const runs: Run[] = [];
      for (let run = takeNext(0, 0); run !== undefined; run = takeNext(0, 0)) runs.push(run);
      return runs;
    },
  };
}

function computeRank({ priority, isStarted }: Pick<QueuedRun, 'priority' | 'isStarted'>): number {
  return 2 * priority + (isStarted ? 0 : 1);
}
