/** Cancels a scheduled function; has no effect after the function ran or was cancelled. */
export type CancelScheduled = () => void;

/** Time source and timers of a process. All times are in ms. */
export interface Clock {
  /** Monotonic time with an arbitrary origin. */
  now(): number;
  /** Time since the Unix epoch; may jump when the system clock is set. */
  wallTime(): number;
  /** Runs a function once after a delay. */
  schedule(delayMs: number, run: () => void): CancelScheduled;
}

/** Creates a clock over the system time. Its timers do not keep the process alive. */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    schedule: (delayMs, run) => {
      const timer = setTimeout(run, delayMs);
      timer.unref();
      return () => {
        clearTimeout(timer);
      };
    },
  };
}

/**
 * Runs a function periodically until the returned function is called. The first run is after one period.
 *
 * @example
 * const stop = scheduleRepeated(clock, 100, () => adjustLimits());
 */
export function scheduleRepeated(clock: Clock, periodMs: number, run: () => void): CancelScheduled {
  let cancel: CancelScheduled;
  const runOnce = (): void => {
    cancel = clock.schedule(periodMs, runOnce);
    run();
  };
  cancel = clock.schedule(periodMs, runOnce);
  return () => {
    cancel();
  };
}
