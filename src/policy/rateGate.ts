/** Token bucket for the requests to a target that named the rate at which it takes them. Times are monotonic (ms). */
export interface RateGate {
  /** Requests per second; at least `MIN_RATE_PER_SECOND`. */
  perSecond: number;
  /** Tokens at `updatedAtMs`; each request takes one, fractions add up. */
  tokens: number;
  updatedAtMs: number;
}

/**
 * Rate at which requests pass to a target that takes fewer or none, since only an answer shows that it no longer names a
 * limit.
 */
const MIN_RATE_PER_SECOND = 0.5;
/** Depth of the bucket as a time at the named rate (s). */
const BURST_SECONDS = 0.1;

/**
 * Creates an empty bucket: before it named its limit, the target got more than that.
 *
 * @example
 * const gate = createRateGate(20, clock.now());
 * if (takeToken(gate, clock.now())) send(request);
 */
export function createRateGate(perSecond: number, nowMs: number): RateGate {
  return { perSecond: Math.max(MIN_RATE_PER_SECOND, perSecond), tokens: 0, updatedAtMs: nowMs };
}

/**
 * Changes the rate; tokens are kept up to the depth at the new rate.
 *
 * @example
 * changeRate(gate, 20, clock.now()); // 20 requests a second from now on
 */
export function changeRate(gate: RateGate, perSecond: number, nowMs: number): void {
  gate.tokens = countTokens(gate, nowMs);
  gate.updatedAtMs = nowMs;
  gate.perSecond = Math.max(MIN_RATE_PER_SECOND, perSecond);
  gate.tokens = Math.min(gate.tokens, computeBurst(gate));
}

/** Returns the number of tokens, fractions included. */
export function countTokens(gate: Readonly<RateGate>, nowMs: number): number {
  const { perSecond, tokens, updatedAtMs } = gate;
  return Math.min(computeBurst(gate), tokens + ((nowMs - updatedAtMs) / 1000) * perSecond);
}

/**
 * Takes the token of one request; returns false if there is none yet.
 *
 * @example
 * if (takeToken(gate, clock.now())) start(run);
 * else clock.schedule(computeGateWait(gate, 0, clock.now()), startNext);
 */
export function takeToken(gate: RateGate, nowMs: number): boolean {
  const tokens = countTokens(gate, nowMs);
  if (tokens < 1) return false;
  gate.tokens = tokens - 1;
  gate.updatedAtMs = nowMs;
  return true;
}

/**
 * Computes the time until there is a token for a request with `ahead` others before it (ms).
 *
 * @example
 * // A gate without tokens at 20 requests a second, with two requests ahead: 150 ms.
 * const waitMs = computeGateWait(gate, 2, clock.now());
 */
export function computeGateWait(gate: Readonly<RateGate>, ahead: number, nowMs: number): number {
  return computeTokenWait({ perSecond: gate.perSecond, tokens: countTokens(gate, nowMs) }, ahead);
}

/** The same for tokens that were counted already, as a load report carries them. */
export function computeTokenWait({ perSecond, tokens }: Omit<RateGate, 'updatedAtMs'>, ahead: number): number {
  return Math.max(0, ((ahead + 1 - tokens) / perSecond) * 1000);
}

function computeBurst({ perSecond }: Readonly<RateGate>): number {
  return Math.max(1, perSecond * BURST_SECONDS);
}
