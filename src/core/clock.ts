/** Stops what was scheduled; calling it again or after the run does nothing. */
export type CancelScheduled = () => void;

/** The time source of a process. All times are in ms. */
export interface Clock {
  /** Monotonic time; only differences mean something. */
  now(): number;
  /** Time since the Unix epoch; may jump. */
  wallTime(): number;
  /** Runs a function once after a delay. */
  schedule(delayMs: number, run: () => void): CancelScheduled;
}

/** Creates the clock of a real process. Its timers do not keep the process alive. */
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
 * Runs a function again and again with a fixed pause between runs, until the returned function is called.
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
