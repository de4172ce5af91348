import type { Clock } from './clock.js';

/** Cancels a deadline. */
export type CancelDeadline = () => void;

/** Runs functions at their deadlines with one clock timer for many deadlines. */
export interface DeadlineTimer {
  /** Runs a function at or shortly after a monotonic time (ms). */
  add(atMs: number, run: () => void): CancelDeadline;
}

/**
 * Creates a deadline timer. Deadlines are rounded up to the granularity, so that calls share timers.
 *
 * @example
 * const deadlines = createDeadlineTimer(clock);
 * const cancel = deadlines.add(clock.now() + 200, () => refuse('deadlineExceeded'));
 */
export function createDeadlineTimer(clock: Clock, options: { granularityMs?: number } = {}): DeadlineTimer {
  const granularityMs = options.granularityMs ?? 5;
  const buckets = new Map<number, Set<() => void>>();

  const runBucket = (slot: number): void => {
    const due = buckets.get(slot);
    buckets.delete(slot);
    for (const run of due ?? []) run();
  };
  return {
    add: (atMs, run) => {
      const slot = Math.ceil(atMs / granularityMs);
      let bucket = buckets.get(slot);
      if (bucket === undefined) {
        bucket = new Set();
        buckets.set(slot, bucket);
        clock.schedule(slot * granularityMs - clock.now(), () => {
          runBucket(slot);
        });
      }
      const runEntry = (): void => {
        run();
      };
      bucket.add(runEntry);
      return () => bucket.delete(runEntry);
    },
  };
}
