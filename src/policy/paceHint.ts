/**
 * What a target says of how long work takes there now. It answers machines that are shared with others and take much longer
 * for some hundred milliseconds, which the durations of finished requests show only afterwards.
 */
export interface PaceHint {
  /** The last figure: 1 for the usual duration, 2 for twice as long. */
  latest: number;
  /** Smoothed figure, over about as many answers as the mean durations cover. */
  mean: number;
  count: number;
  /** Monotonic time of the last figure (ms). */
  atMs: number;
}

/** Figures outside this range say nothing about the pace. */
const MIN_PACE = 0.1;
const MAX_PACE = 20;
/** Number of answers over which the mean is smoothed. */
const SMOOTHING_SAMPLES = 32;
/** Age at which a hint has lost about two thirds of its weight (ms): targets change their pace several times a second. */
const HINT_LIFETIME_MS = 300;
/** Maximum factor on the expected duration; a target that claims more is avoided all the same. */
const MAX_SLOWDOWN = 4;

/** Creates a hint without figures. */
export function createPaceHint(): PaceHint {
  return { latest: 1, mean: 1, count: 0, atMs: -Infinity };
}

/**
 * Adds the figure of one answer; a figure that cannot be true is ignored.
 *
 * @example
 * addPace(hint, 2.5, clock.now()); // work takes 2.5 times as long as usual
 */
export function addPace(hint: PaceHint, pace: number, nowMs: number): void {
  if (!(pace >= MIN_PACE && pace <= MAX_PACE)) return;
  hint.count = Math.min(SMOOTHING_SAMPLES, hint.count + 1);
  hint.mean += (pace - hint.mean) / hint.count;
  hint.latest = pace;
  hint.atMs = nowMs;
}

/**
 * Returns how much longer than in its recent answers a target takes now, at least 1. The durations of these answers contain
 * the mean pace already. A hint never makes a target look faster: many nodes act on the same figure, and a target that all
 * of them preferred would be overloaded before the next one.
 *
 * @example
 * const durationMs = meanMs * readSlowdown(hint, clock.now());
 */
export function readSlowdown({ latest, mean, count, atMs }: PaceHint, nowMs: number): number {
  if (count === 0) return 1;
  return decaySlowdown(Math.min(MAX_SLOWDOWN, Math.max(1, latest / mean)), nowMs - atMs);
}

/** Returns what is left of a reported slowdown after some time (ms). */
export function decaySlowdown(slowdown: number, ageMs: number): number {
  return 1 + (slowdown - 1) * Math.exp(-Math.max(0, ageMs) / HINT_LIFETIME_MS);
}
