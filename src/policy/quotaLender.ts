import type { QuotaAskFrame, QuotaGrantFrame } from '../schema/linkFrame.js';
import { QUOTA_LOAN_MS } from './quotaPool.js';

/** The newest sign of an allocator. Times are monotonic (ms) unless noted otherwise. */
export interface AllocatorStamp {
  /** The process of the allocator. */
  allocator: string;
  /** Time on its clock. */
  stampMs: number;
  receivedAtMs: number;
}

/** An ask that was sent. */
export interface SentAsk {
  host: string;
  hasLoan: boolean;
  sentAtMs: number;
  /** The same on the elapsed clock, by which tokens expire. */
  sentAtElapsedMs: number;
}

/** Whom this host follows and lends its share to. Times are monotonic (ms). */
export interface QuotaLender {
  /** The host that is asked for tokens; undefined while there is none. */
  allocator: string | undefined;
  /** The process to which the share is bound, and until when. */
  boundTo: string;
  boundUntilMs: number;
  /** Number of the last ask that carried the loan. */
  loanAsk: number;
  nextAsk: number;
  readonly stamps: Map<string, AllocatorStamp>;
  /** Asks that have not been answered. */
  readonly asks: Map<number, SentAsk>;
  /** Until when hosts are not followed, since they did not respond or stop. */
  readonly avoidedUntilMs: Map<string, number>;
}

/** What a host knows of the hosts that may be the allocator. */
export interface AllocatorView {
  /** Hosts of the pool in their order. */
  ranked: readonly string[];
  /** True for this host, and for hosts with a link. */
  isLinked: (host: string) => boolean;
  /** True when the process has run long enough that all nodes are linked to it. */
  isSettled: (host: string) => boolean;
  /** True once this host has a share to lend, so that a change of the allocator costs tokens. */
  hasShare: boolean;
}

/** Whom to follow from now on, and who is asked for a sign of life since it would be the better choice. */
export interface AllocatorChoice {
  follow: string | undefined;
  probe: string | undefined;
}

/** Time without a response after which an allocator is no longer followed (ms). */
const UNANSWERED_MS = 500;
/** Time after which a host that did not respond is tried again (ms). */
const AVOID_MS = 3000;

/** Creates the lender of a starting process, which follows no allocator. */
export function createQuotaLender(): QuotaLender {
  return {
    allocator: undefined,
    boundTo: '',
    boundUntilMs: -Infinity,
    loanAsk: -1,
    nextAsk: 0,
    stamps: new Map(),
    asks: new Map(),
    avoidedUntilMs: new Map(),
  };
}

/** Forgets asks without a response, and avoids the hosts that did not respond. */
export function expireQuotaAsks(lender: QuotaLender, nowMs: number): void {
  for (const [ask, { host, sentAtMs }] of lender.asks) {
    if (nowMs - sentAtMs < UNANSWERED_MS) continue;
    lender.asks.delete(ask);
    if ((lender.stamps.get(host)?.receivedAtMs ?? -Infinity) < sentAtMs) suspendAllocator(lender, host, nowMs);
  }
  for (const [host, { receivedAtMs }] of lender.stamps)
    if (nowMs - receivedAtMs > QUOTA_LOAN_MS) lender.stamps.delete(host);
  for (const [host, untilMs] of lender.avoidedUntilMs) if (untilMs <= nowMs) lender.avoidedUntilMs.delete(host);
}

/** True when the next ask to the allocator can carry a loan that it does not count yet. */
export function isLoanDue(lender: QuotaLender, nowMs: number): boolean {
  const { allocator, boundTo, boundUntilMs } = lender;
  const stamp = allocator === undefined ? undefined : lender.stamps.get(allocator);
  if (allocator === undefined || stamp === undefined || nowMs >= stamp.receivedAtMs + QUOTA_LOAN_MS) return false;
  const isLent = boundTo === stamp.allocator && nowMs < boundUntilMs;
  return !isLent && !isBoundElsewhere(lender, allocator, nowMs);
}

/** Does not follow a host for some time. */
export function suspendAllocator(lender: QuotaLender, host: string, nowMs: number): void {
  lender.avoidedUntilMs.set(host, nowMs + AVOID_MS);
  lender.stamps.delete(host);
}

/**
 * Chooses the allocator: the first host in the order that is linked and settled. The one that is followed is left for an earlier
 * host only when that has shown that it responds, since a change costs the tokens that are saved up.
 *
 * @example
 * const { follow, probe } = chooseAllocator(lender, view);
 */
export function chooseAllocator(lender: QuotaLender, view: AllocatorView): AllocatorChoice {
  const { ranked, isLinked, isSettled, hasShare } = view;
  const linked = ranked.filter((host) => isLinked(host) && !lender.avoidedUntilMs.has(host));
  const settled = linked.filter(isSettled);
  const choices = settled.length > 0 ? settled : linked;
  const [best] = choices;
  const current = lender.allocator;
  const isKept = current !== undefined && isKeptAllocator(lender, view, current, settled.length > 0);
  if (!isKept || best === undefined || !hasShare) return { follow: best, probe: undefined };
  if (best === current || ranked.indexOf(current) < ranked.indexOf(best)) return { follow: current, probe: undefined };
  return lender.stamps.has(best) ? { follow: best, probe: undefined } : { follow: current, probe: best };
}

/** An allocator that responds is kept while its connection is replaced. */
function isKeptAllocator(
  lender: QuotaLender,
  { ranked, isSettled }: AllocatorView,
  current: string,
  needsSettled: boolean,
): boolean {
  if (!ranked.includes(current) || lender.avoidedUntilMs.has(current)) return false;
  return !needsSettled || isSettled(current);
}

/** True while the share is lent to a process other than that of `host`. */
function isBoundElsewhere(lender: QuotaLender, host: string, nowMs: number): boolean {
  return nowMs < lender.boundUntilMs && lender.stamps.get(host)?.allocator !== lender.boundTo;
}

/**
 * Builds the next ask to a host. It carries the loan if the host is the allocator, its newest stamp is still good, and the
 * share is not bound to another one.
 *
 * @param share Undefined while this host has none.
 * @example
 * const frame = buildQuotaAsk(lender, { host, share, wants, incarnation, sentAtMs: nowMs, sentAtElapsedMs: elapsedMs });
 */
export function buildQuotaAsk(
  lender: QuotaLender,
  options: { host: string; share: number | undefined; wants: QuotaAskFrame['wants']; incarnation: string } & Pick<
    SentAsk,
    'sentAtMs' | 'sentAtElapsedMs'
  >,
): QuotaAskFrame {
  const { host, share, wants, incarnation, sentAtMs, sentAtElapsedMs } = options;
  const ask = lender.nextAsk++;
  const stamp = lender.stamps.get(host);
  const isLendable = host === lender.allocator && share !== undefined && !isBoundElsewhere(lender, host, sentAtMs);
  const frame: QuotaAskFrame = { type: 'quotaAsk', ask, incarnation, wants };
  if (isLendable && stamp !== undefined && sentAtMs < stamp.receivedAtMs + QUOTA_LOAN_MS) {
    frame.loan = { share, allocator: stamp.allocator, stampMs: stamp.stampMs };
    lender.boundTo = stamp.allocator;
    lender.boundUntilMs = stamp.receivedAtMs + QUOTA_LOAN_MS;
    lender.loanAsk = ask;
  }
  lender.asks.set(ask, { host, hasLoan: frame.loan !== undefined, sentAtMs, sentAtElapsedMs });
  return frame;
}

/**
 * Takes in a grant: the stamp, and whether it ends the loan. Returns the ask that it responds to; undefined if there is none,
 * or it was forgotten.
 *
 * @example
 * const ask = applyQuotaStamp(lender, host, frame, clock.now());
 * if (ask === undefined) return;
 */
export function applyQuotaStamp(
  lender: QuotaLender,
  host: string,
  frame: QuotaGrantFrame,
  nowMs: number,
): SentAsk | undefined {
  const { ask, incarnation, stampMs, isReturned } = frame;
  const sent = lender.asks.get(ask);
  if (sent !== undefined && sent.host !== host) return undefined;
  lender.asks.delete(ask);
  const isLoanEnded = isReturned || (sent !== undefined && !sent.hasLoan && ask > lender.loanAsk);
  if (incarnation === lender.boundTo && isLoanEnded) lender.boundUntilMs = -Infinity;
  if (isReturned) {
    suspendAllocator(lender, host, nowMs);
    return sent;
  }
  const known = lender.stamps.get(host);
  if (known?.allocator !== incarnation || known.stampMs < stampMs)
    lender.stamps.set(host, { allocator: incarnation, stampMs, receivedAtMs: nowMs });
  return sent;
}
