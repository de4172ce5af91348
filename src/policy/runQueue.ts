import { createFifo } from '../core/fifo.js';
import type { Fifo } from '../core/fifo.js';

/** A request that waits for the local target. Times are monotonic (ms). */
export interface QueuedRun {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time until which the answer has its full worth. */
  readonly worthUntilMs: number;
  /** True once the request was removed before its turn. */
  isDropped: boolean;
}

/**
 * Waiting requests, ordered by priority; within a priority those that can still be answered at full worth come first.
 */
export interface RunQueue<Run extends QueuedRun> {
  /** Number of waiting requests, without dropped ones. */
  readonly length: number;
  add(run: Run): void;
  /** Removes and returns the next request; `expectedMs` is its expected run duration. */
  takeNext(nowMs: number, expectedMs: number): Run | undefined;
  /** Drops a waiting request. */
  drop(run: Run): void;
  /** Returns the number of waiting requests of this priority and of more urgent ones. */
  countAhead(priority: number): number;
  /** Removes and returns all waiting requests. */
  takeAll(): Run[];
}

interface PriorityRuns<Run> {
  priority: number;
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
  const levels: PriorityRuns<Run>[] = [];
  let length = 0;

  const getLevel = (priority: number): PriorityRuns<Run> => {
    const existing = levels.find((level) => level.priority === priority);
    if (existing !== undefined) return existing;
    const created = { priority, length: 0, timely: createFifo<Run>(), late: createFifo<Run>() };
    levels.push(created);
    levels.sort((left, right) => left.priority - right.priority);
    return created;
  };
  const takeFirst = (level: PriorityRuns<Run>, nowMs: number, expectedMs: number): Run | undefined => {
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
      const level = getLevel(run.priority);
      level.timely.add(run);
      level.length++;
      length++;
    },
    takeNext,
    drop: (run) => {
      if (run.isDropped) return;
      run.isDropped = true;
      getLevel(run.priority).length--;
      length--;
    },
    countAhead: (priority) => {
      let count = 0;
      for (const level of levels) if (level.priority <= priority) count += level.length;
      return count;
    },
    takeAll: () => {
      const runs: Run[] = [];
      for (let run = takeNext(0, 0); run !== undefined; run = takeNext(0, 0)) runs.push(run);
      return runs;
    },
  };
}
