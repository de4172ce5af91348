import type { Clock } from './clock.js';

/** Detects that the process did not run for some time, because it was paused or its machine was suspended. */
export interface PauseDetector {
  /** Called regularly; the time since the last call is the pause that can be seen. */
  observeTick(): void;
  /**
   * Returns how long the process has not run (ms), or 0 if that is less than the minimum. What is read before the next
   * tick may have waited for that long.
   */
  readPause(): number;
}

/**
 * Creates a detector. It compares both clocks, since the monotonic one stands still while a machine is suspended. A step of
 * the wall clock looks like a pause until the next tick.
 *
 * @example
 * const pauses = createPauseDetector(clock, { minPauseMs: 1000 });
 * scheduleRepeated(clock, 100, pauses.observeTick);
 * if (pauses.readPause() > 0) refuse(message);
 */
export function createPauseDetector(clock: Clock, { minPauseMs }: { minPauseMs: number }): PauseDetector {
  let tickMs = clock.now();
  let tickWallMs = clock.wallTime();
  return {
    observeTick: () => {
      tickMs = clock.now();
      tickWallMs = clock.wallTime();
    },
    readPause: () => {
      const sinceTickMs = Math.max(clock.now() - tickMs, clock.wallTime() - tickWallMs);
      return sinceTickMs >= minPauseMs ? sinceTickMs : 0;
    },
  };
}
