/** Cancels a scheduled function; has no effect after the function ran or was cancelled. */
export type CancelScheduled = () => void;

/** Time source and timers of a process. All times are in ms. */
export interface Clock {
  /** Monotonic time with an arbitrary origin. */
  now(): number;
  /** Time since the Unix epoch; may jump when the system clock is set. */
  wallTime(): number;
  /** Runs a function once after a delay: never if it is Infinity, at once if it is past or NaN. */
  schedule(delayMs: number, run: () => void): CancelScheduled;
}

/** Longest delay of one timer (ms): Node runs those with a longer one after 1 ms. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Creates a clock over the system time. Its timers do not keep the process alive. */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    schedule: (delayMs, run) => {
      let timer: NodeJS.Timeout;
      const startTimer = (leftMs: number): void => {
        const nextMs = Math.min(leftMs, MAX_TIMER_MS);
        timer = leftMs > nextMs ? setTimeout(startTimer, nextMs, leftMs - nextMs) : setTimeout(run, nextMs);
        timer.unref();
      };
      startTimer(delayMs > 0 ? delayMs : 0);
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
