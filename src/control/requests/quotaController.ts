import { scheduleRepeated } from '../../core/clock.js';
import { createElapsedClock } from '../../core/elapsedClock.js';
import { computeQuotaRules, listQuotaLimits } from '../../policy/quotaLimits.js';
import { applyQuotaLimits, clearQuotaPool, endAllQuotaLoans } from '../../policy/quotaPool.js';
import {
  computeQuotaRetryDelay,
  createQuotaDemand,
  decideOnToken,
  isQuotaDemandOver,
  removeWaiting,
} from '../../policy/quotaDemand.js';
import type { QuotaDemand, QuotaTime } from '../../policy/quotaDemand.js';
import type { QuotaLimit } from '../../policy/quotaLimits.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';
import { createQuotaExchange } from './quotaExchange.js';
import type { QuotaRequest } from './quotaSection.js';

/** Interval between checks of the loan, the allocator and the waiting requests (ms). */
const TICK_INTERVAL_MS = 100;
/** Time without a refusal after which an organisation no longer counts as beyond its quota (ms). */
const EXCEEDING_MS = 5000;
/** Maximum number of organisations with counts of their own; the others are counted together. */
const MAX_COUNTED = 100;
/** Name under which the other organisations are counted. */
const OTHERS = 'other';

/**
 * Writes the quotas of organisations: the tokens in hand and the requests that wait for them, the loan of this host's share,
 * and, at an allocator, the pool. docs/design/quotas.md describes the whole. Does nothing where no organisation has a limit.
 */
export function createQuotaController(context: RequestContext): Controller {
  const { board, clock, deadlines, random } = context;
  const quotas = board.claim('quotas', 'quotaController');
  const { section } = quotas;
  const { byOrganisation, counts, pool } = section;
  const readElapsed = createElapsedClock(clock);
  const readTime = (): QuotaTime => ({ nowMs: clock.now(), elapsedMs: readElapsed() });
  let limits: ReadonlyMap<string, QuotaLimit> = new Map();
  let stopTicks = (): void => undefined;

  const getDemand = (organisation: string): QuotaDemand<QuotaRequest> => {
    let demand = byOrganisation.get(organisation);
    if (demand === undefined) byOrganisation.set(organisation, (demand = createQuotaDemand(clock.now())));
    return demand;
  };
  const count = (organisation: string, what: 'granted' | 'refused'): void => {
    const name = counts.has(organisation) || counts.size < MAX_COUNTED ? organisation : OTHERS;
    const known = counts.get(name) ?? { granted: 0, refused: 0 };
    known[what]++;
    counts.set(name, known);
  };
  const grant = (request: QuotaRequest): void => {
    count(request.organisation, 'granted');
    request.grant();
  };
  const refuse = (request: QuotaRequest): void => {
    const demand = getDemand(request.organisation);
    const nowMs = clock.now();
    const retryAfterMs = computeQuotaRetryDelay(demand, nowMs, random());
    if (demand.refusedAtMs === -Infinity) reportExceeding(request.organisation, demand, retryAfterMs);
    demand.refusedAtMs = nowMs;
    count(request.organisation, 'refused');
    request.refuse(retryAfterMs);
  };
  const reportExceeding = (
    organisation: string,
    { perSecond }: QuotaDemand<QuotaRequest>,
    retryAfterMs: number,
  ): void => {
    const inputs = {
      organisation,
      allocator: section.lender.allocator,
      perSecondHere: Math.round(perSecond),
      perSecond: limits.get(organisation)?.perSecond,
      retryAfterMs: Math.round(retryAfterMs),
    };
    board.post('decisions', { kind: 'quotaChanged', outcome: 'beyond its quota', inputs });
  };
  const exchange = createQuotaExchange(context, section, {
    readTime,
    publishChange: quotas.publishChange,
    grant,
    refuse,
  });
  const take = (request: QuotaRequest): void => {
    if (!limits.has(request.organisation)) {
      request.grant();
      return;
    }
    const demand = getDemand(request.organisation);
    const decision = decideOnToken(demand, request, readTime());
    if (decision === 'granted') grant(request);
    else if (decision === 'refused') refuse(request);
    else {
      deadlines.add(request.waitUntilMs, () => {
        if (removeWaiting(demand, request)) refuse(request);
      });
      if (demand.waiting.length === 1) exchange.scheduleAsk(demand.emptyUntilMs);
    }
    exchange.sendAsk();
  };
  /** Passes the waiting requests of organisations that have no limit any more. */
  const releaseUnlimited = (): void => {
    for (const [organisation, { waiting }] of byOrganisation) {
      if (limits.has(organisation)) continue;
      byOrganisation.delete(organisation);
      for (const request of waiting.splice(0)) request.grant();
    }
  };
  const applyConfiguration = (): void => {
    const { table } = board.read('routes');
    const rules = computeQuotaRules(board.read('settings').current.bounds);
    limits = listQuotaLimits(table?.configuration.organisations ?? [], rules);
    exchange.setValidity(rules.validityMs);
    if (limits.size > 0) {
      applyQuotaLimits(pool, limits, readElapsed());
      if (!section.isActive) startQuotas();
    } else if (section.isActive) stopQuotas();
    releaseUnlimited();
  };
  const startQuotas = (): void => {
    section.isActive = true;
    exchange.update();
    stopTicks = scheduleRepeated(clock, TICK_INTERVAL_MS, runTick);
  };
  const stopQuotas = (): void => {
    section.isActive = false;
    stopTicks();
    // The lenders stay bound for as long as their loans last: late asks would count after a new start.
    clearQuotaPool(pool);
    section.candidates = [];
    section.lender.allocator = undefined;
    quotas.publishChange();
  };
  const endExceeding = (): void => {
    const nowMs = clock.now();
    for (const [organisation, demand] of byOrganisation) {
      if (isQuotaDemandOver(demand, nowMs)) byOrganisation.delete(organisation);
      if (demand.refusedAtMs === -Infinity || nowMs - demand.refusedAtMs < EXCEEDING_MS) continue;
      demand.refusedAtMs = -Infinity;
      board.post('decisions', { kind: 'quotaChanged', outcome: 'inside its quota', inputs: { organisation } });
    }
  };
  const runTick = (): void => {
    exchange.update();
    endExceeding();
  };
  const handleNodeChange = (): void => {
    if (board.read('node').phase !== 'stopping' || pool.isReturned) return;
    exchange.returnLoans();
    endAllQuotaLoans(pool);
    if (section.isActive) exchange.update();
  };
  quotas.handlePosts((post) => {
    if (post.type === 'take') take(post.request);
    else if (post.type === 'cancel') {
      const demand = byOrganisation.get(post.request.organisation);
      if (demand !== undefined) removeWaiting(demand, post.request);
    } else if (post.type === 'ask') {
      // Also without a limit: the host has a configuration that this one does not have yet.
      exchange.receiveAsk(post.host, post.frame, post.respond);
    } else if (section.isActive) exchange.receiveGrant(post.host, post.frame);
  });
  return {
    start: () => {
      board.subscribe('routes', applyConfiguration);
      board.subscribe('settings', applyConfiguration);
      board.subscribe('node', handleNodeChange);
    },
    stop: () => {
      stopTicks();
      exchange.returnLoans();
      endAllQuotaLoans(pool);
    },
  };
}
