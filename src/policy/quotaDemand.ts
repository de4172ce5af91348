import type { QuotaGrant, QuotaWant } from '../schema/linkFrame.js';

/** A request that needs a token. Times are monotonic (ms). */
export interface TokenRequest {
  readonly organisation: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Until when it may wait for a token. */
  readonly waitUntilMs: number;
}

/** Demand of one organisation at this host, and what was granted for it. Times are monotonic (ms) unless noted otherwise. */
export interface QuotaDemand<Request extends TokenRequest> {
  /** Tokens in hand, in the order in which they expire; `expiresAtMs` is a time of the elapsed clock. */
  tokens: { count: number; expiresAtMs: number }[];
  /** In the order in which they get tokens. */
  waiting: Request[];
  /** Smoothed rate of requests. */
  perSecond: number;
  observedAtMs: number;
  /** Time before which the allocator has no room for this host, and the mean time between two tokens from then on. */
  emptyUntilMs: number;
  stepMs: number;
  /** Time at which all refused requests could have had their turn. */
  roomAtMs: number;
  /** Time at which tokens were last asked for ahead of time. */
  aheadAskedAtMs: number;
  /** Time of the last refusal; -Infinity while the organisation is inside its quota here. */
  refusedAtMs: number;
}

/** Both clocks of a host at one moment (ms). */
export interface QuotaTime {
  nowMs: number;
  elapsedMs: number;
}

/** Whether a request may run, waits for a token, or is refused. */
export type TokenDecision = 'granted' | 'waiting' | 'refused';

/** Time constant of the smoothed rate (s). */
const RATE_SECONDS = 1;
/** Rate from which tokens are asked for ahead of time; at lower rates too many of them expire (requests per second). */
const MIN_AHEAD_PER_SECOND = 25;
/** Time for whose requests tokens are asked for ahead (s), and the time left of it at which the next ones are. */
const AHEAD_SECONDS = 0.1;
const MIN_AHEAD_SECONDS = 0.05;
/** Maximum time for which a request waits for a token (ms), and the same as a share of the time left to its client. */
const MAX_TOKEN_WAIT_MS = 250;
const TOKEN_WAIT_SHARE = 0.1;
/** Lower bound of the delay after which a refused client should retry (ms). */
const MIN_RETRY_DELAY_MS = 50;
/** The same while no allocator responds (ms). */
const UNANSWERED_RETRY_DELAY_MS = 500;
/** Upper bound of that delay (ms). */
const MAX_RETRY_DELAY_MS = 30_000;
/** Spread of the delay, so that refused clients do not return at the same time. */
const RETRY_JITTER = 0.3;

/** Creates the demand of one organisation at a host: no tokens in hand, and no requests that wait. */
export function createQuotaDemand<Request extends TokenRequest>(nowMs: number): QuotaDemand<Request> {
  return {
    tokens: [],
    waiting: [],
    perSecond: 0,
    observedAtMs: nowMs,
    emptyUntilMs: -Infinity,
    stepMs: 0,
    roomAtMs: -Infinity,
    aheadAskedAtMs: -Infinity,
    refusedAtMs: -Infinity,
  };
}

/**
 * Computes for how long a request may wait for a token (ms).
 *
 * @example
 * computeTokenWait(1000); // 100
 */
export function computeTokenWait(timeLeftMs: number): number {
  return Math.min(MAX_TOKEN_WAIT_MS, TOKEN_WAIT_SHARE * timeLeftMs);
}

/**
 * Decides on a request that has just arrived: it takes a token in hand, waits for one, or is refused since it cannot have its
 * turn in time. Demand far above the quota is refused here without asking the allocator.
 *
 * @example
 * if (decideOnToken(demand, request, time) === 'granted') send(request);
 */
export function decideOnToken<Request extends TokenRequest>(
  demand: QuotaDemand<Request>,
  request: Request,
  { nowMs, elapsedMs }: QuotaTime,
): TokenDecision {
  observeRequest(demand, nowMs);
  if (demand.waiting.length === 0 && takeToken(demand, elapsedMs)) return 'granted';
  const index = findPlace(demand.waiting, request);
  if (!hasTurnInTime(demand, request, index, nowMs)) return 'refused';
  demand.waiting.splice(index, 0, request);
  return 'waiting';
}

/** Takes a request out of the queue; returns false if it does not wait. */
export function removeWaiting<Request extends TokenRequest>(demand: QuotaDemand<Request>, request: Request): boolean {
  const index = demand.waiting.indexOf(request);
  if (index >= 0) demand.waiting.splice(index, 1);
  return index >= 0;
}

/**
 * Takes in a grant. Returns the requests that get its tokens, and those that cannot have their turn in time any more.
 *
 * @param expiresAtMs Time of the elapsed clock at which the tokens expire.
 * @example
 * const { granted, refused } = applyQuotaGrant(demand, grant, { nowMs, elapsedMs, expiresAtMs });
 * for (const request of granted) request.grant();
 */
export function applyQuotaGrant<Request extends TokenRequest>(
  demand: QuotaDemand<Request>,
  grant: QuotaGrant,
  { nowMs, elapsedMs, expiresAtMs }: QuotaTime & { expiresAtMs: number },
): { granted: Request[]; refused: Request[] } {
  if (grant.tokens > 0) demand.tokens.push({ count: grant.tokens, expiresAtMs });
  demand.emptyUntilMs = grant.waitMs > 0 ? nowMs + grant.waitMs : -Infinity;
  demand.stepMs = grant.stepMs;
  if (grant.waitMs === 0) demand.roomAtMs = -Infinity;
  const granted: Request[] = [];
  for (let next = demand.waiting[0]; next !== undefined && takeToken(demand, elapsedMs); next = demand.waiting[0]) {
    granted.push(next);
    demand.waiting.shift();
  }
  const kept: Request[] = [];
  const refused: Request[] = [];
  for (const request of demand.waiting)
    (hasTurnInTime(demand, request, kept.length, nowMs) ? kept : refused).push(request);
  demand.waiting = kept;
  return { granted, refused };
}

/** True when nothing of the demand is worth keeping. */
export function isQuotaDemandOver(demand: QuotaDemand<TokenRequest>, nowMs: number): boolean {
  const isQuiet = nowMs - demand.observedAtMs > MAX_RETRY_DELAY_MS;
  return isQuiet && demand.waiting.length === 0 && demand.refusedAtMs === -Infinity;
}

/**
 * Computes what to ask for now; undefined if nothing is wanted, or there is no room yet.
 *
 * @example
 * const want = computeQuotaWant(demand, 'acme', { nowMs, elapsedMs });
 * if (want !== undefined) wants.push(want);
 */
export function computeQuotaWant(
  demand: QuotaDemand<TokenRequest>,
  organisation: string,
  { nowMs, elapsedMs }: QuotaTime,
): QuotaWant | undefined {
  if (nowMs < demand.emptyUntilMs) return undefined;
  const count = demand.waiting.length;
  const ahead = computeAhead(demand, { nowMs, elapsedMs });
  if (ahead > 0) demand.aheadAskedAtMs = nowMs;
  return count + ahead > 0 ? { organisation, count, ahead } : undefined;
}

/**
 * Computes when there is room for a request that is refused now (ms). Refused requests queue up for the room that this host
 * gets, so that clients that come back at that time do not compete for the same tokens.
 *
 * @param random In [0, 1).
 * @example
 * const retryAfterMs = computeQuotaRetryDelay(demand, clock.now(), random());
 */
export function computeQuotaRetryDelay(demand: QuotaDemand<TokenRequest>, nowMs: number, random: number): number {
  // Without a grant that names a time, no allocator has responded, and the next one is followed after some time.
  const leastMs = nowMs < demand.emptyUntilMs ? MIN_RETRY_DELAY_MS : UNANSWERED_RETRY_DELAY_MS;
  demand.roomAtMs = Math.min(
    nowMs + MAX_RETRY_DELAY_MS / (1 + RETRY_JITTER),
    Math.max(nowMs, demand.emptyUntilMs, demand.roomAtMs) + demand.stepMs,
  );
  return Math.max(leastMs, demand.roomAtMs - nowMs) * (1 + RETRY_JITTER * random);
}

function observeRequest(demand: QuotaDemand<TokenRequest>, nowMs: number): void {
  demand.perSecond = readRate(demand, nowMs) + 1 / RATE_SECONDS;
  demand.observedAtMs = nowMs;
}

function readRate({ perSecond, observedAtMs }: QuotaDemand<TokenRequest>, nowMs: number): number {
  return perSecond * Math.exp((observedAtMs - nowMs) / 1000 / RATE_SECONDS);
}

function computeAhead(demand: QuotaDemand<TokenRequest>, { nowMs, elapsedMs }: QuotaTime): number {
  // What is asked ahead may be granted in part or not at all.
  if (nowMs - demand.aheadAskedAtMs < 1000 * MIN_AHEAD_SECONDS) return 0;
  const perSecond = readRate(demand, nowMs);
  if (perSecond < MIN_AHEAD_PER_SECOND) return 0;
  const inHand = countTokens(demand, elapsedMs);
  return inHand >= MIN_AHEAD_SECONDS * perSecond ? 0 : Math.max(0, Math.ceil(AHEAD_SECONDS * perSecond) - inHand);
}

function countTokens(demand: QuotaDemand<TokenRequest>, elapsedMs: number): number {
  dropExpired(demand, elapsedMs);
  return demand.tokens.reduce((sum, { count }) => sum + count, 0);
}

function takeToken(demand: QuotaDemand<TokenRequest>, elapsedMs: number): boolean {
  dropExpired(demand, elapsedMs);
  const [first] = demand.tokens;
  if (first === undefined) return false;
  first.count--;
  if (first.count === 0) demand.tokens.shift();
  return true;
}

function dropExpired(demand: QuotaDemand<TokenRequest>, elapsedMs: number): void {
  while ((demand.tokens[0]?.expiresAtMs ?? Infinity) <= elapsedMs) demand.tokens.shift();
}

/** Finds the index of a new request: behind those that are at least as urgent. */
function findPlace(waiting: readonly TokenRequest[], { priority }: TokenRequest): number {
  const index = waiting.findIndex((other) => other.priority > priority);
  return index < 0 ? waiting.length : index;
}

function hasTurnInTime(
  { emptyUntilMs, stepMs }: QuotaDemand<TokenRequest>,
  request: TokenRequest,
  index: number,
  nowMs: number,
): boolean {
  return nowMs >= emptyUntilMs || emptyUntilMs + index * stepMs <= request.waitUntilMs;
}
