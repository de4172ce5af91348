import type { HybridTime } from '../schema/event.js';

/** A hybrid logical clock: follows wall time, and never orders an effect before its cause. */
export interface HybridClock {
  /** Returns a time later than all that this clock returned or received. */
  getNext(): HybridTime;
  /** Notes a time received from another process. */
  receive(time: HybridTime): void;
}

/** A clock that is far ahead must not drag all others with it. */
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

/** Orders two times; negative when `left` is earlier. */
export function compareHybridTimes(left: HybridTime, right: HybridTime): number {
  return left.wallMs - right.wallMs || left.counter - right.counter;
}
