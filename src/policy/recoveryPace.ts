/**
 * Concurrency limit of a target that has just started or recovered. It answers two loads: a restarted target that gets its
 * full share at once and rejects or delays most of it, and one that is left idle although its answers are good.
 */
export interface RecoveryPace {
  /** Maximum number of concurrent requests; grows with timely answers. */
  limit: number;
  /** True until the first failed or slow answer: until then the limit doubles with each round of answers. */
  isSlowStart: boolean;
  /** Monotonic time (ms) of the start, or of the last decrease. */
  changedAtMs: number;
  /** Requests sent before this time had the earlier, higher limit and do not lower it again (monotonic ms). */
  decreasedAtMs: number;
}

/** How one request at the target ended. */
export interface PaceSample {
  isFailure: boolean;
  durationMs: number;
  /** Duration at the other targets of the service (ms); undefined if unknown. */
  expectedMs: number | undefined;
  startedAtMs: number;
  nowMs: number;
}

/** Share of its slots at which a target begins. */
const START_SHARE = 0.2;
/** Smallest limit (requests), so that there are answers that can raise it. */
const MIN_LIMIT = 1;
/**
 * Duration, relative to that at other targets, above which an answer does not raise the limit. Targets may take twice as
 * long while they warm up.
 */
const SLOW_FACTOR = 2.5;
/** Factor on the limit after a failure. */
const DECREASE_FACTOR = 0.5;
/** Time without a failure after which a target counts as recovered (ms), also if it is slow for another reason. */
const RECOVERED_AFTER_MS = 5000;

/**
 * Creates the pace of a target with this number of usable slots.
 *
 * @example
 * let pace = createRecoveryPace(50, clock.now()); // at most 10 concurrent requests
 */
export function createRecoveryPace(slots: number, nowMs: number): RecoveryPace {
  const limit = Math.max(MIN_LIMIT, Math.floor(slots * START_SHARE));
  return { limit, isSlowStart: true, changedAtMs: nowMs, decreasedAtMs: -Infinity };
}

/**
 * Adjusts the limit after one request: timely answers raise it, a failure halves it once per round of requests.
 *
 * @example
 * updateRecoveryPace(pace, { isFailure: false, durationMs: 22, expectedMs: 20, startedAtMs, nowMs: clock.now() });
 */
export function updateRecoveryPace(pace: RecoveryPace, sample: PaceSample): void {
  const { isFailure, durationMs, expectedMs, startedAtMs, nowMs } = sample;
  if (isFailure) {
    pace.isSlowStart = false;
    if (startedAtMs < pace.decreasedAtMs) return;
    pace.limit = Math.max(MIN_LIMIT, pace.limit * DECREASE_FACTOR);
    pace.changedAtMs = nowMs;
    pace.decreasedAtMs = nowMs;
    return;
  }
  if (expectedMs !== undefined && durationMs > SLOW_FACTOR * expectedMs) {
    pace.isSlowStart = false;
    return;
  }
  pace.limit += pace.isSlowStart ? 1 : 1 / pace.limit;
}

/** True when the target needs no limit of its own any more. */
export function isRecovered({ limit, changedAtMs }: RecoveryPace, slots: number, nowMs: number): boolean {
  return limit >= slots || nowMs - changedAtMs >= RECOVERED_AFTER_MS;
}
