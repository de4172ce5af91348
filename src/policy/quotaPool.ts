import type { QuotaAskFrame, QuotaGrant, QuotaWant } from '../schema/linkFrame.js';
import type { QuotaLimit } from './quotaLimits.js';

/** A share that another host lends to this one. */
export interface QuotaLoan {
  /** Process of the lender. */
  incarnation: string;
  /** Number of the last ask of that process. */
  ask: number;
  share: number;
  untilMs: number;
}

/** Tokens of one organisation. */
export interface QuotaBucket {
  limit: QuotaLimit;
  tokens: number;
  settledAtMs: number;
  /** When each host was last granted less than it wanted. */
  shortAtMs: Map<string, number>;
}

/** State of an allocator: what is lent to it, and the tokens that follow from it. Times are those of its elapsed clock (ms). */
export interface QuotaPool {
  /** The process of this allocator. */
  readonly incarnation: string;
  readonly loans: Map<string, QuotaLoan>;
  readonly buckets: Map<string, QuotaBucket>;
  /** Sum of the shares lent. */
  shares: number;
  /** Time at which the first share was lent, when there were none before. */
  gatheringSinceMs: number;
  /** True once a configuration was applied. */
  isConfigured: boolean;
  /** True once the allocator stops and counts no more loans. */
  isReturned: boolean;
}

/** Time for which a loan counts after its stamp (ms). Lenders ask each 300 ms, so one late ask does not end a loan. */
export const QUOTA_LOAN_MS = 1000;
/** Time after which a host that got too few tokens no longer counts as competing for them (ms). */
const COMPETING_MS = 1000;
/** Smaller sums of shares are what rounding leaves of none. */
const MIN_SHARE = 1e-9;
/** Time after the first loan within which the other hosts lend their shares too (ms). */
const GATHERING_MS = 1500;
/** Part of a bucket that is not granted for requests that have not arrived yet. */
const AHEAD_RESERVE_SHARE = 0.25;
/** Bounds of the time after which a host that got too few tokens asks again (ms); the minimum bounds the messages. */
const MIN_WAIT_MS = 40;
const MAX_WAIT_MS = 500;
/** The same while the shares are still being lent, or the organisation is not known yet since the host has a newer configuration (ms). */
const UNKNOWN_WAIT_MS = 50;
/** Maximum time between two tokens that a host is told (ms). */
const MAX_STEP_MS = 30_000;

/**
 * Creates the pool of an allocator to which nothing is lent.
 *
 * @param incarnation The process of the allocator; loans to an earlier process do not count.
 */
export function createQuotaPool(incarnation: string): QuotaPool {
  return {
    incarnation,
    loans: new Map(),
    buckets: new Map(),
    shares: 0,
    gatheringSinceMs: 0,
    isConfigured: false,
    isReturned: false,
  };
}

/** Removes all loans and tokens. */
export function clearQuotaPool(pool: QuotaPool): void {
  pool.loans.clear();
  pool.buckets.clear();
  pool.shares = 0;
  pool.isConfigured = false;
}

/**
 * Applies the limits of a configuration. Tokens are kept up to the new depth; a new organisation begins with full buckets.
 *
 * @example
 * applyQuotaLimits(pool, new Map([['acme', { perSecond: 50, depth: 100 }]]), nowMs);
 */
export function applyQuotaLimits(pool: QuotaPool, limits: ReadonlyMap<string, QuotaLimit>, nowMs: number): void {
  expireQuotaLoans(pool, nowMs);
  for (const name of pool.buckets.keys()) if (!limits.has(name)) pool.buckets.delete(name);
  for (const [name, limit] of limits) {
    const bucket = pool.buckets.get(name);
    if (bucket === undefined) {
      const tokens = pool.isConfigured ? getFraction(pool) * limit.depth : 0;
      pool.buckets.set(name, { limit, tokens, settledAtMs: nowMs, shortAtMs: new Map() });
      continue;
    }
    settleBucket(pool, bucket, nowMs);
    bucket.limit = limit;
    bucket.tokens = Math.min(bucket.tokens, getFraction(pool) * limit.depth);
  }
  pool.isConfigured = true;
}

/**
 * Ends the loans whose time is over, each at its own time. Returns the number of them.
 *
 * @example
 * const ended = expireQuotaLoans(pool, clock.elapsed());
 */
export function expireQuotaLoans(pool: QuotaPool, nowMs: number): number {
  const expired = [...pool.loans].filter(([, { untilMs }]) => untilMs <= nowMs);
  expired.sort(([, left], [, right]) => left.untilMs - right.untilMs);
  for (const [host, { untilMs }] of expired) endLoan(pool, host, untilMs);
  return expired.length;
}

/**
 * Handles an ask: counts or ends the loan of its sender, and grants tokens from the buckets. Many hosts compete for the
 * quota of an organisation whose demand is far above it, or whose demand sits at few hosts.
 *
 * @returns What is granted, by organisation.
 * @example
 * const grants = applyQuotaAsk(pool, 'a1', frame, readElapsed());
 */
export function applyQuotaAsk(pool: QuotaPool, host: string, ask: QuotaAskFrame, nowMs: number): QuotaGrant[] {
  expireQuotaLoans(pool, nowMs);
  applyLoan(pool, host, ask, nowMs);
  return ask.wants.map((want) => grantTokens(pool, host, want, nowMs));
}

/** Ends all loans, since the process stops. Returns the lenders. */
export function endAllQuotaLoans(pool: QuotaPool): string[] {
  const lenders = [...pool.loans.keys()];
  clearQuotaPool(pool);
  pool.isReturned = true;
  return lenders;
}

function applyLoan(pool: QuotaPool, host: string, frame: QuotaAskFrame, nowMs: number): void {
  const { ask, incarnation, loan } = frame;
  const known = pool.loans.get(host);
  const isSameProcess = known?.incarnation === incarnation;
  // An ask that was overtaken must not restore a loan that its sender has taken back since.
  if (isSameProcess && ask <= known.ask) return;
  if (known !== undefined && !isSameProcess) endLoan(pool, host, nowMs);
  const share = loan !== undefined && isLoanCounted(pool, loan, nowMs) ? loan.share : 0;
  changeShare(pool, { from: isSameProcess ? known.share : 0, to: share }, nowMs);
  // Without a share, the entry remembers the number of the ask until all earlier stamps have expired.
  const untilMs = (share > 0 && loan !== undefined ? loan.stampMs : nowMs) + QUOTA_LOAN_MS;
  pool.loans.set(host, { incarnation, ask, share, untilMs });
}

function isLoanCounted(pool: QuotaPool, loan: NonNullable<QuotaAskFrame['loan']>, nowMs: number): boolean {
  if (pool.isReturned || loan.allocator !== pool.incarnation) return false;
  return loan.stampMs <= nowMs && loan.stampMs + QUOTA_LOAN_MS > nowMs;
}

function endLoan(pool: QuotaPool, host: string, nowMs: number): void {
  const loan = pool.loans.get(host);
  if (loan === undefined) return;
  changeShare(pool, { from: loan.share, to: 0 }, nowMs);
  pool.loans.delete(host);
}

/** A share begins without tokens, and takes its part of them with it when it ends. */
function changeShare(pool: QuotaPool, { from, to }: { from: number; to: number }, nowMs: number): void {
  if (from === to) return;
  const before = getFraction(pool);
  for (const bucket of pool.buckets.values()) settleBucket(pool, bucket, nowMs);
  if (pool.shares === 0) pool.gatheringSinceMs = nowMs;
  const shares = pool.shares + to - from;
  pool.shares = shares < MIN_SHARE ? 0 : shares;
  const after = getFraction(pool);
  if (after >= before) return;
  for (const bucket of pool.buckets.values()) bucket.tokens *= after / before;
}

/** Returns the part of all quotas that is lent to this allocator. */
function getFraction({ shares }: QuotaPool): number {
  return Math.min(1, shares);
}

function settleBucket(pool: QuotaPool, bucket: QuotaBucket, nowMs: number): void {
  const { perSecond, depth } = bucket.limit;
  const fraction = getFraction(pool);
  const elapsedSeconds = Math.max(0, nowMs - bucket.settledAtMs) / 1000;
  bucket.tokens = Math.min(fraction * depth, bucket.tokens + elapsedSeconds * fraction * perSecond);
  bucket.settledAtMs = Math.max(nowMs, bucket.settledAtMs);
}

function grantTokens(pool: QuotaPool, host: string, want: QuotaWant, nowMs: number): QuotaGrant {
  const { organisation, count, ahead } = want;
  const bucket = pool.buckets.get(organisation);
  if (bucket === undefined) return { organisation, tokens: 0, waitMs: UNKNOWN_WAIT_MS, stepMs: UNKNOWN_WAIT_MS };
  settleBucket(pool, bucket, nowMs);
  const reserve = AHEAD_RESERVE_SHARE * getFraction(pool) * bucket.limit.depth;
  const needed = Math.min(count, Math.floor(bucket.tokens));
  const spare = Math.max(0, Math.floor(bucket.tokens - needed - reserve));
  const tokens = needed + Math.min(ahead, spare);
  bucket.tokens -= tokens;
  if (needed >= count) {
    bucket.shortAtMs.delete(host);
    return { organisation, tokens, waitMs: 0, stepMs: 0 };
  }
  return { organisation, tokens, ...computeRoom(pool, bucket, host, nowMs) };
}

/** Computes when a host gets its next token, and the mean time between two, if all competing hosts get equally many. */
function computeRoom(
  pool: QuotaPool,
  bucket: QuotaBucket,
  host: string,
  nowMs: number,
): Pick<QuotaGrant, 'waitMs' | 'stepMs'> {
  bucket.shortAtMs.set(host, nowMs);
  for (const [other, atMs] of bucket.shortAtMs) if (nowMs - atMs > COMPETING_MS) bucket.shortAtMs.delete(other);
  const competing = bucket.shortAtMs.size;
  // The lenders of a lost allocator come within some time, and what they lend together counts for those who wait.
  const isGathering = pool.shares === 0 || nowMs - pool.gatheringSinceMs < GATHERING_MS;
  const perMs = ((isGathering ? 1 : getFraction(pool)) * bucket.limit.perSecond) / 1000;
  const waitMs = (Math.max(0, 1 - bucket.tokens) + competing - 1) / perMs;
  return {
    waitMs: Math.round(Math.min(isGathering ? UNKNOWN_WAIT_MS : MAX_WAIT_MS, Math.max(MIN_WAIT_MS, waitMs))),
    stepMs: Math.min(MAX_STEP_MS, competing / perMs),
  };
}
