import type { Sections } from './sections.js';

/** Adds a change of the calls that the local target works on to their time integral. */
export function updateActiveCalls(calls: Sections['calls'], nowMs: number, change: number): void {
  calls.activeMs += calls.active * (nowMs - calls.activeAtMs);
  calls.activeAtMs = nowMs;
  calls.active += change;
}

/** The time integral up to now of the calls that the local target works on (ms x calls). */
export function computeActiveMs(
  calls: { active: number; activeMs: number; activeAtMs: number },
  nowMs: number,
): number {
  return calls.activeMs + calls.active * (nowMs - calls.activeAtMs);
}
