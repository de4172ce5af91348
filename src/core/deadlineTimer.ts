import type { Clock } from './clock.js';

/** Cancels a deadline. */
export type CancelDeadline = () => void;

/** Runs functions at their deadlines; all deadlines share one timer of the clock. */
export interface DeadlineTimer {
  /** Runs a function at a monotonic time (ms), or up to `granularityMs` later. */
  add(atMs: number, run: () => void): CancelDeadline;
}

/**
 * Creates a deadline timer. Deadlines are rounded up to a multiple of `granularityMs`, so that close ones run together.
 * Only the earliest deadline has a clock timer: most deadlines are cancelled long before they expire, and a timer for
 * each would wake the process needlessly.
 *
 * @example
 * const deadlines = createDeadlineTimer(clock);
 * const cancel = deadlines.add(clock.now() + 200, () => refuse('deadlineExceeded'));
 */
export function createDeadlineTimer(clock: Clock, options: { granularityMs?: number } = {}): DeadlineTimer {
  const granularityMs = options.granularityMs ?? 5;
  const buckets = new Map<number, Set<() => void>>();
  let timerSlot = Infinity;
  let cancelTimer = (): void => undefined;

  const scheduleTimer = (slot: number): void => {
    cancelTimer();
    timerSlot = slot;
    cancelTimer = clock.schedule(slot * granularityMs - clock.now(), runDue);
  };
  const findEarliest = (): number => {
    let earliest = Infinity;
    for (const slot of buckets.keys()) if (slot < earliest) earliest = slot;
    return earliest;
  };
  const runDue = (): void => {
    timerSlot = Infinity;
    const nowMs = clock.now();
    for (let slot = findEarliest(); slot * granularityMs <= nowMs; slot = findEarliest()) {
      const due = buckets.get(slot);
      buckets.delete(slot);
      for (const run of due ?? []) run();
    }
    const earliest = findEarliest();
    if (earliest < timerSlot) scheduleTimer(earliest);
  };
  return {
    add: (atMs, run) => {
      const slot = Math.ceil(atMs / granularityMs);
      let bucket = buckets.get(slot);
      if (bucket === undefined) buckets.set(slot, (bucket = new Set()));
      const runEntry = (): void => {
        run();
      };
      const entries = bucket.add(runEntry);
      if (slot < timerSlot) scheduleTimer(slot);
      return () => {
        entries.delete(runEntry);
        if (entries.size === 0 && buckets.get(slot) === entries) buckets.delete(slot);
      };
    },
  };
}
