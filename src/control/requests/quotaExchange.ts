import { computeSettledStart, listAllocatorCandidates, sortAllocators } from '../../policy/allocatorChoice.js';
import type { PoolMember } from '../../policy/allocatorChoice.js';
import { applyQuotaGrant, computeQuotaWant } from '../../policy/quotaDemand.js';
import type { QuotaTime } from '../../policy/quotaDemand.js';
import {
  applyQuotaStamp,
  suspendAllocator,
  buildQuotaAsk,
  chooseAllocator,
  expireQuotaAsks,
  isLoanDue,
} from '../../policy/quotaLender.js';
import { applyQuotaAsk, expireQuotaLoans } from '../../policy/quotaPool.js';
import { computeQuotaShare, observeMemberCount } from '../../policy/quotaShare.js';
import type { QuotaAskFrame, QuotaGrantFrame } from '../../schema/linkFrame.js';
import type { RequestContext } from './context.js';
import type { QuotaRequest, QuotaSection } from './quotaSection.js';

/** Interval after which a loan is renewed if no other ask did so (ms). */
const RENEW_INTERVAL_MS = 300;
/** Time after which an ask without a response no longer holds back the next one (ms). */
const REPEAT_ASK_MS = 100;
/** Time between two updates that shows that this process was paused (ms): what is unanswered says nothing of the allocator. */
const PAUSED_MS = 400;

/** The asks and grants that this node exchanges with allocators and lenders. */
export interface QuotaExchange {
  /** Sends what is wanted to the allocator, unless an ask is under way. */
  sendAsk(): void;
  /** Does so at a monotonic time (ms). */
  scheduleAsk(atMs: number): void;
  receiveAsk(host: string, frame: QuotaAskFrame, respond: (grant: QuotaGrantFrame) => void): void;
  receiveGrant(host: string, frame: QuotaGrantFrame): void;
  /** Chooses the allocator, renews the loan, and ends what is over. */
  update(): void;
  /** Tells all lenders that their loans no longer count here. */
  returnLoans(): void;
  /** Sets for how long granted tokens are valid (ms). */
  setValidity(validityMs: number): void;
}

/** Creates the exchange; it belongs to the writer of the section. */
export function createQuotaExchange(
  { board, clock, deadlines }: RequestContext,
  section: QuotaSection,
  options: {
    readTime: () => QuotaTime;
    publishChange: () => void;
    grant: (request: QuotaRequest) => void;
    refuse: (request: QuotaRequest) => void;
  },
): QuotaExchange {
  const { lender, pool, byOrganisation } = section;
  const { readTime } = options;
  const lenders = new Map<string, (grant: QuotaGrantFrame) => void>();
  let validityMs = 0;
  let askedAtMs = -Infinity;
  let updatedAtMs = -Infinity;
  let ranking: { digest: number; members: readonly PoolMember[] } | undefined;

  const isLinked = (host: string): boolean =>
    host === board.read('members').self.host || board.read('links').byHost.get(host)?.lanes.routine.phase === 'up';
  const readShare = (nowMs: number): number | undefined => {
    const { completeAtMs, previousOrder } = board.read('members');
    return computeQuotaShare(section.members, { completeAtMs, hasPredecessor: previousOrder !== undefined, nowMs });
  };
  const buildGrant = (ask: number, grants: QuotaGrantFrame['grants']): QuotaGrantFrame => ({
    type: 'quotaGrant',
    ask,
    incarnation: pool.incarnation,
    stampMs: Math.floor(readTime().elapsedMs),
    isReturned: pool.isReturned,
    grants,
  });
  const receiveAsk: QuotaExchange['receiveAsk'] = (host, frame, respond) => {
    if (frame.loan === undefined) lenders.delete(host);
    else lenders.set(host, respond);
    respond(buildGrant(frame.ask, applyQuotaAsk(pool, host, frame, readTime().elapsedMs)));
  };
  const deliverAsk = (host: string, wants: QuotaAskFrame['wants']): void => {
    const { host: ownHost, incarnation } = board.read('members').self;
    const { nowMs, elapsedMs } = readTime();
    const share = readShare(nowMs);
    const frame = buildQuotaAsk(lender, {
      host,
      share,
      wants,
      incarnation,
      sentAtMs: nowMs,
      sentAtElapsedMs: elapsedMs,
    });
    if (host !== ownHost) {
      board.post('links', { type: 'quotaAsk', host, frame });
      return;
    }
    receiveAsk(host, frame, (grant) => {
      receiveGrant(host, grant);
    });
  };
  const collectWants = (time: QuotaTime): QuotaAskFrame['wants'] => {
    const wants: QuotaAskFrame['wants'] = [];
    for (const [organisation, demand] of byOrganisation) {
      const want = computeQuotaWant(demand, organisation, time);
      if (want !== undefined) wants.push(want);
    }
    return wants;
  };
  const isAskUnderWay = (host: string, nowMs: number): boolean => {
    for (const ask of lender.asks.values()) if (ask.host === host && nowMs - ask.sentAtMs < REPEAT_ASK_MS) return true;
    return false;
  };
  const sendWants = (isRenewal: boolean): void => {
    const { allocator } = lender;
    const time = readTime();
    if (allocator === undefined || isAskUnderWay(allocator, time.nowMs)) return;
    const wants = collectWants(time);
    if (wants.length === 0 && !isRenewal) return;
    askedAtMs = time.nowMs;
    deliverAsk(allocator, wants);
  };
  const sendAsk = (): void => {
    sendWants(false);
  };
  const scheduleAsk = (atMs: number): void => {
    if (atMs > clock.now()) deadlines.add(atMs, sendAsk);
  };
  const applyGrant = (grant: QuotaGrantFrame['grants'][number], expiresAtMs: number): void => {
    const demand = byOrganisation.get(grant.organisation);
    if (demand === undefined) return;
    const { granted, refused } = applyQuotaGrant(demand, grant, { ...readTime(), expiresAtMs });
    for (const request of granted) options.grant(request);
    for (const request of refused) options.refuse(request);
    if (demand.waiting.length > 0) scheduleAsk(demand.emptyUntilMs);
  };
  const receiveGrant = (host: string, frame: QuotaGrantFrame): void => {
    const nowMs = clock.now();
    const sent = applyQuotaStamp(lender, host, frame, nowMs);
    if (sent !== undefined) for (const grant of frame.grants) applyGrant(grant, sent.sentAtElapsedMs + validityMs);
    if (frame.isReturned) followAllocator(nowMs);
    sendWants(isLoanDue(lender, nowMs) && readShare(nowMs) !== undefined);
  };
  const readRanked = (): readonly PoolMember[] => {
    const { self, byHost, digest } = board.read('members');
    if (ranking?.digest !== digest) ranking = { digest, members: sortAllocators(self, byHost.values()) };
    return ranking.members;
  };
  const buildSettledCheck = (): ((host: string) => boolean) => {
    const { self, byHost } = board.read('members');
    const getStart = (host: string): number => (byHost.get(host) ?? self).startedAtMs;
    const starts = [self, ...byHost.values()].map(({ startedAtMs }) => startedAtMs);
    const settledStartMs = computeSettledStart(starts, clock.wallTime());
    return (host) => getStart(host) <= settledStartMs;
  };
  const followAllocator = (nowMs: number): void => {
    const { self } = board.read('members');
    if (pool.isReturned) suspendAllocator(lender, self.host, nowMs);
    const ranked = readRanked();
    const hosts = ranked.map(({ host }) => host);
    const { follow, probe } = chooseAllocator(lender, {
      ranked: hosts,
      isLinked,
      isSettled: buildSettledCheck(),
      hasShare: readShare(nowMs) !== undefined,
    });
    updateCandidates(listAllocatorCandidates(ranked, self, (host) => lender.avoidedUntilMs.has(host)));
    if (probe !== undefined && !isAskUnderWay(probe, nowMs)) deliverAsk(probe, []);
    if (follow === lender.allocator) return;
    const previous = lender.allocator;
    const inputs = { allocator: follow, previous, loans: pool.loans.size };
    board.post('decisions', { kind: 'quotaChanged', outcome: 'allocator followed', inputs });
    lender.allocator = follow;
    // An ask without the loan takes it back.
    if (previous !== undefined && lender.stamps.get(previous)?.allocator === lender.boundTo) deliverAsk(previous, []);
    sendWants(true);
  };
  const updateCandidates = (candidates: readonly string[]): void => {
    if (candidates.join(' ') === section.candidates.join(' ')) return;
    section.candidates = candidates;
    options.publishChange();
  };
  return {
    sendAsk,
    scheduleAsk,
    receiveAsk,
    receiveGrant,
    update: () => {
      const { nowMs, elapsedMs } = readTime();
      if (nowMs - updatedAtMs > PAUSED_MS) lender.asks.clear();
      updatedAtMs = nowMs;
      observeMemberCount(section.members, board.read('members').byHost.size + 1, nowMs);
      expireQuotaAsks(lender, nowMs);
      expireQuotaLoans(pool, elapsedMs);
      for (const host of lenders.keys()) if (!pool.loans.has(host)) lenders.delete(host);
      followAllocator(nowMs);
      const isDue = isLoanDue(lender, nowMs) && readShare(nowMs) !== undefined;
      sendWants(isDue || nowMs - askedAtMs >= RENEW_INTERVAL_MS);
    },
    returnLoans: () => {
      const { self } = board.read('members');
      const grant: QuotaGrantFrame = { ...buildGrant(-1, []), isReturned: true };
      for (const [host, respond] of lenders) if (host !== self.host) respond(grant);
      lenders.clear();
    },
    setValidity: (changedMs) => {
      validityMs = changedMs;
    },
  };
}
