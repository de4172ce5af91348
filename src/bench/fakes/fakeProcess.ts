import type { Clock } from '../../core/clock.js';

/** The clock of one process, which can be stopped for good or for a while. */
export interface ProcessClock extends Clock {
  readonly isPaused: boolean;
  readonly isKilled: boolean;
  /** Nothing scheduled through this clock runs any more. */
  kill(): void;
  /** Holds back what becomes due until `resume`. */
  pause(): void;
  resume(): void;
  /** Runs a function now, or at `resume` when paused, or never when killed. */
  runWhenAwake(run: () => void): void;
}

/** Creates the clock of a process on top of the clock of the whole run. */
export function createProcessClock(clock: Clock): ProcessClock {
  const held: (() => void)[] = [];
  const state = { isPaused: false, isKilled: false };
  const runWhenAwake = (run: () => void): void => {
    if (state.isKilled) return;
    if (state.isPaused) held.push(run);
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
        runWhenAwake(() => {
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
      held.length = 0;
    },
    pause: () => {
      state.isPaused = true;
    },
    resume: () => {
      state.isPaused = false;
      for (const run of held.splice(0)) run();
    },
    runWhenAwake,
  };
}
