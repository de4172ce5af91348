import type { Sections } from './sections.js';

/**
 * Adds `change` to the number of active calls of the local target and updates the time integral. A call is active while
 * it runs and does not wait for downstream calls.
 */
export function updateActiveCalls(calls: Sections['calls'], nowMs: number, change: number): void {
  calls.activeMs += calls.active * (nowMs - calls.activeAtMs);
  calls.activeAtMs = nowMs;
  calls.active += change;
}

/** Returns the time integral of the number of active calls up to `nowMs` (ms x calls). */
export function computeActiveMs(
  calls: { active: number; activeMs: number; activeAtMs: number },
  nowMs: number,
): number {
  return calls.activeMs + calls.active * (nowMs - calls.activeAtMs);
}
