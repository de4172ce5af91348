import { createFairQueue } from './fairQueue.js';
import type { FairQueue } from './fairQueue.js';

/** A request that waits for the local target. Times are monotonic (ms). */
export interface QueuedRun {
  /** 0 is the most urgent; see `computeEffectivePriority`. */
  readonly priority: number;
  /** True for a call of a running request. */
  readonly isStarted: boolean;
  /** Organisation that sent it; empty if none did. */
  readonly flow: string;
  /** Expected duration of its run (ms); greater than 0. */
  readonly costMs: number;
  /** Time until which the answer has its full worth. */
  readonly worthUntilMs: number;
  /** True once the request was removed before its turn. */
  isDropped: boolean;
}

/**
 * Waiting requests, ordered by priority. Within a priority, calls of running requests come before new requests, since the
 * work of their trees is lost without them; of each of the two, those that can still be answered at full worth come first.
 * Among these, organisations take turns in proportion to the time of their runs.
 */
export interface RunQueue<Run extends QueuedRun> {
  /** Number of waiting requests, without dropped ones. */
  readonly length: number;
  add(run: Run): void;
  /** Removes and returns the next request; `expectedMs` is its expected run duration. */
  takeNext(nowMs: number, expectedMs: number): Run | undefined;
  /** Drops a waiting request. */
  drop(run: Run): void;
  /** Estimates the number of waiting requests that go before a new one like this. */
  countAhead(run: Pick<Run, 'priority' | 'isStarted' | 'flow'>): number;
  /** Removes and returns all waiting requests. */
  takeAll(): Run[];
}

interface RankRuns<Run> {
  /** Lower ranks go first. */
  rank: number;
  length: number;
  /** Requests that can still be answered at full worth. */
  timely: FairQueue<Run>;
  /** Requests too late for their full worth, served after the timely ones. */
  late: FairQueue<Run>;
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
    const created = { rank, length: 0, timely: createTurns<Run>(), late: createTurns<Run>() };
    levels.push(created);
    levels.sort((left, right) => left.rank - right.rank);
    return created;
  };
  const takeFirst = (level: RankRuns<Run>, nowMs: number, expectedMs: number): Run | undefined => {
    const isTimely = (run: Run): boolean => {
      if (run.isDropped) return false;
      if (run.worthUntilMs >= nowMs + expectedMs) return true;
      level.late.add(run);
      return false;
    };
    return level.timely.takeFirst(isTimely) ?? level.late.takeFirst(({ isDropped }) => !isDropped);
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
      for (const level of levels) {
        if (level.rank < rank) count += level.length;
        // A request of an organisation waits for its own requests and as many of each other one.
        if (level.rank === rank) count += Math.min(level.length, level.timely.countAhead(run.flow));
      }
      return count;
    },
    takeAll: () => {
      const runs: Run[] = [];
      for (let run = takeNext(0, 0); run !== undefined; run = takeNext(0, 0)) runs.push(run);
      return runs;
    },
  };
}

/** Effective priorities are half a step apart, and each has a rank for calls and one for new requests. */
function computeRank({ priority, isStarted }: Pick<QueuedRun, 'priority' | 'isStarted'>): number {
  return 4 * priority + (isStarted ? 0 : 1);
}

function createTurns<Run extends QueuedRun>(): FairQueue<Run> {
  return createFairQueue<Run>({ getFlow: ({ flow }) => flow, getCost: ({ costMs }) => costMs });
}
