import { createFifo } from '../core/fifo.js';
import type { Fifo } from '../core/fifo.js';

/** A request that waits for its target. Times are monotonic (ms). */
export interface QueuedRun {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Until when the answer has its full worth. */
  readonly worthUntilMs: number;
  /** True once it left the queue other than by its turn. */
  isDropped: boolean;
}

/** Requests that wait, the most urgent first, and within a priority those that can still be worth most. */
export interface RunQueue<Run extends QueuedRun> {
  /** Waiting requests without dropped ones. */
  readonly length: number;
  add(run: Run): void;
  /** Takes the next request; `expectedMs` is how long it will take once it runs. */
  takeNext(nowMs: number, expectedMs: number): Run | undefined;
  /** Marks a request as no longer waiting. */
  drop(run: Run): void;
  /** Waiting requests of this priority and more urgent ones. */
  countAhead(priority: number): number;
  /** Removes and returns all waiting requests. */
  takeAll(): Run[];
}

interface PriorityRuns<Run> {
  priority: number;
  length: number;
  /** In order of arrival. */
  timely: Fifo<Run>;
  /** Too late for their full worth, served after the timely ones. */
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
  const classes: PriorityRuns<Run>[] = [];
  let length = 0;

  const getClass = (priority: number): PriorityRuns<Run> => {
    const known = classes.find((entry) => entry.priority === priority);
    if (known !== undefined) return known;
    const created = { priority, length: 0, timely: createFifo<Run>(), late: createFifo<Run>() };
    classes.push(created);
    classes.sort((left, right) => left.priority - right.priority);
    return created;
  };
  const takeFirst = (entry: PriorityRuns<Run>, nowMs: number, expectedMs: number): Run | undefined => {
    for (let run = entry.timely.takeFirst(); run !== undefined; run = entry.timely.takeFirst()) {
      if (run.isDropped) continue;
      if (run.worthUntilMs >= nowMs + expectedMs) return run;
      entry.late.add(run);
    }
    for (let run = entry.late.takeFirst(); run !== undefined; run = entry.late.takeFirst()) {
      if (!run.isDropped) return run;
    }
    return undefined;
  };
  const takeNext = (nowMs: number, expectedMs: number): Run | undefined => {
    for (const entry of classes) {
      if (entry.length === 0) continue;
      const run = takeFirst(entry, nowMs, expectedMs);
      if (run === undefined) continue;
      entry.length--;
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
      const entry = getClass(run.priority);
      entry.timely.add(run);
      entry.length++;
      length++;
    },
    takeNext,
    drop: (run) => {
      if (run.isDropped) return;
      run.isDropped = true;
      getClass(run.priority).length--;
      length--;
    },
    countAhead: (priority) => {
      let count = 0;
      for (const entry of classes) if (entry.priority <= priority) count += entry.length;
      return count;
    },
    takeAll: () => {
      const runs: Run[] = [];
      for (let run = takeNext(0, 0); run !== undefined; run = takeNext(0, 0)) runs.push(run);
      return runs;
    },
  };
}
