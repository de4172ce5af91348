import type { Clock } from './clock.js';

/** Advance of the wall clock over the monotonic one that counts as a suspension (ms); both have some jitter. */
const MIN_SUSPENSION_MS = 20;

/**
 * Creates a clock that also counts the time for which the machine was suspended, when the monotonic clock of some systems
 * stands still. What expires by it expires early if the wall clock is set forward, and never late.
 *
 * @returns A function that returns the time since an arbitrary origin (ms).
 * @example
 * const readElapsed = createElapsedClock(clock);
 * const isExpired = readElapsed() > untilMs;
 */
export function createElapsedClock(clock: Pick<Clock, 'now' | 'wallTime'>): () => number {
  let skewMs = clock.wallTime() - clock.now();
  let suspendedMs = 0;
  return () => {
    const nowMs = clock.now();
    const newSkewMs = clock.wallTime() - nowMs;
    if (newSkewMs - skewMs > MIN_SUSPENSION_MS) {
      suspendedMs += newSkewMs - skewMs;
      skewMs = newSkewMs;
    }
    skewMs = Math.min(skewMs, newSkewMs);
    return nowMs + suspendedMs;
  };
}
