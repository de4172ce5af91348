import type { HybridTime } from '../schema/event.js';

/** A hybrid logical clock: close to wall time, and never orders an effect before its cause. */
export interface HybridClock {
  /** Returns a time later than all times that this clock has returned or merged. */
  getNext(): HybridTime;
  /** Merges a time received from another process. */
  receive(time: HybridTime): void;
}

/** Received times further ahead of the wall clock are ignored, so that one wrong clock cannot advance all others. */
const MAX_AHEAD_MS = 60_000;

/**
 * Creates a hybrid logical clock over a wall clock.
 *
 * @example
 * const hybrid = createHybridClock(clock.wallTime);
 * record({ time: hybrid.getNext(), kind: 'nodeStarted' });
 */
export function createHybridClock(getWallTime: () => number): HybridClock {
  const last = { wallMs: 0, counter: 0 };
  return {
    getNext: () => {
      const wallMs = getWallTime();
      if (wallMs > last.wallMs) {
        last.wallMs = wallMs;
        last.counter = 0;
      } else {
        last.counter++;
      }
      return { wallMs: last.wallMs, counter: last.counter };
    },
    receive: (time) => {
      if (time.wallMs > getWallTime() + MAX_AHEAD_MS || compareHybridTimes(time, last) <= 0) return;
      last.wallMs = time.wallMs;
      last.counter = time.counter;
    },
  };
}

/** Compares two times: negative when `left` is earlier, positive when it is later. */
export function compareHybridTimes(left: HybridTime, right: HybridTime): number {
  return left.wallMs - right.wallMs || left.counter - right.counter;
}
