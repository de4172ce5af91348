import type { Random } from '../core/random.js';

/** Time in which the admitted share follows the load (ms). */
const ADMISSION_INTERVAL_MS = 250;
/** Share of its remaining time for which a client waits before it retries. */
const HONOURED_SHARE = 1 / 3;
/** Shortest delay that clients are told (ms). */
const MIN_DELAY_MS = 50;
/** Bounds of the random factor on a delay, which keeps refused clients from returning at the same time. */
const MIN_JITTER_FACTOR = 0.75;
const MAX_JITTER_FACTOR = 1.25;

/**
 * Estimates the time until the admitted share takes a request that was refused (ms). In each interval demand exceeds the
 * room by `1 / fraction - 1` times the room, so the room of as many further intervals is needed for it.
 *
 * @example
 * estimateRoomDelay(0.5); // 250
 */
export function estimateRoomDelay(fraction: number): number {
  return ADMISSION_INTERVAL_MS * (1 / Math.max(Number.EPSILON, fraction) - 1);
}

/**
 * Computes the delay after which a client should retry (ms): the given one with jitter, so that refused clients do not
 * return together; at most what clients honour, and early enough for the request to end in time.
 *
 * @param options.expectedMs Expected duration of the request.
 * @example
 * const retryAfterMs = limitRetryDelay({ delayMs: 400, timeLeftMs: 1800, expectedMs: 200, random });
 */
export function limitRetryDelay(options: {
  delayMs: number;
  timeLeftMs: number;
  expectedMs: number;
  random: Random;
}): number {
  const { delayMs, timeLeftMs, expectedMs, random } = options;
  const leftMs = Math.max(0, timeLeftMs);
  const honouredMs = HONOURED_SHARE * leftMs;
  const maxMs = Math.min(honouredMs, Math.max(MIN_DELAY_MS, leftMs - expectedMs));
  const jitterFactor = MIN_JITTER_FACTOR + (MAX_JITTER_FACTOR - MIN_JITTER_FACTOR) * random();
  return Math.min(Math.max(MIN_DELAY_MS, delayMs), maxMs / MAX_JITTER_FACTOR) * jitterFactor;
}
