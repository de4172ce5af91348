import type { Clock } from '../../core/clock.js';

/** Clock of one simulated process, which can be paused or killed. */
export interface ProcessClock extends Clock {
  readonly isPaused: boolean;
  readonly isKilled: boolean;
  /** Discards all scheduled and deferred functions for good. */
  kill(): void;
  /** Defers functions that become due until `resume`. */
  pause(): void;
  resume(): void;
  /** Runs a function at once, at `resume` if the process is paused, or never if it was killed. */
  runWhenActive(run: () => void): void;
}

/** Creates the clock of a process on top of the clock of the simulation. */
export function createProcessClock(clock: Clock): ProcessClock {
  const deferred: (() => void)[] = [];
  const state = { isPaused: false, isKilled: false };
  const runWhenActive = (run: () => void): void => {
    if (state.isKilled) return;
    if (state.isPaused) deferred.push(run);
    else run();
  };
  return {
    get isPaused() {
      return state.isPaused;
    },
    get isKilled() {
      return state.isKilled;
    },
    now: clock.now,
    wallTime: clock.wallTime,
    schedule: (delayMs, run) => {
      let isCancelled = false;
      const cancel = clock.schedule(delayMs, () => {
        runWhenActive(() => {
          if (!isCancelled) run();
        });
      });
      return () => {
        isCancelled = true;
        cancel();
      };
    },
    kill: () => {
      state.isKilled = true;
      deferred.length = 0;
    },
    pause: () => {
      state.isPaused = true;
    },
    resume: () => {
      state.isPaused = false;
      for (const run of deferred.splice(0)) run();
    },
    runWhenActive,
  };
}
