import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '../../src/core/random.js';
import { computeQuotaRules, listQuotaLimits } from '../../src/policy/quotaLimits.js';
import {
  applyQuotaStamp,
  buildQuotaAsk,
  createQuotaLender,
  expireQuotaAsks,
  chooseAllocator,
} from '../../src/policy/quotaLender.js';
import type { QuotaLender } from '../../src/policy/quotaLender.js';
import { applyQuotaAsk, applyQuotaLimits, createQuotaPool, expireQuotaLoans } from '../../src/policy/quotaPool.js';
import type { QuotaPool } from '../../src/policy/quotaPool.js';
import { computeQuotaShare, createMemberCounts, observeMemberCount } from '../../src/policy/quotaShare.js';
import type { QuotaAskFrame, QuotaGrantFrame } from '../../src/schema/linkFrame.js';

const limits = new Map([['acme', { perSecond: 10, depth: 5 }]]);

function createPool(): QuotaPool {
  const pool = createQuotaPool('p');
  applyQuotaLimits(pool, limits, 0);
  return pool;
}

function buildAsk(ask: number, change: Partial<QuotaAskFrame> = {}): QuotaAskFrame {
  return { type: 'quotaAsk', ask, incarnation: 'x', wants: [], ...change };
}

function buildLoan(share: number, stampMs: number): Pick<QuotaAskFrame, 'loan'> {
  return { loan: { share, allocator: 'p', stampMs } };
}

const wants = [{ organisation: 'acme', count: 100, ahead: 0 }];

describe('quota pool', () => {
  it('should fill buckets with the part of the rate and depth that is lent', () => {
    const pool = createPool();
    applyQuotaAsk(pool, 'a', buildAsk(0, buildLoan(0.5, 0)), 0);
    expect(applyQuotaAsk(pool, 'a', buildAsk(1, { ...buildLoan(0.5, 300), wants }), 400)[0]?.tokens).toEqual(2);
    for (let ask = 2; ask < 12; ask++) applyQuotaAsk(pool, 'a', buildAsk(ask, buildLoan(0.5, 300 * ask)), 300 * ask);
    const grants = applyQuotaAsk(pool, 'a', buildAsk(12, { ...buildLoan(0.5, 3600), wants }), 3600);
    expect(grants[0]?.tokens).toEqual(2);
    expect(pool.buckets.get('acme')?.tokens).toEqual(0.5);
  });

  it('should end a loan at its stamp and remove its part of the tokens', () => {
    const pool = createPool();
    applyQuotaAsk(pool, 'a', buildAsk(0, buildLoan(0.5, 0)), 0);
    applyQuotaAsk(pool, 'b', buildAsk(0, buildLoan(0.5, 400)), 400);
    expireQuotaLoans(pool, 1200);
    expect(pool.shares).toEqual(0.5);
    // 2 + 6 are limited to the depth of 5, of which a half remains; that is the depth for the rest of the time.
    expect(pool.buckets.get('acme')?.tokens).toEqual(2.5);
  });

  // Guards against a share that is used twice since its lender has moved on.
  for (const [what, loan] of Object.entries({
    'an old stamp': { share: 0.5, allocator: 'p', stampMs: 100 },
    'a stamp of an earlier process': { share: 0.5, allocator: 'q', stampMs: 1900 },
    'a stamp of the future': { share: 0.5, allocator: 'p', stampMs: 9000 },
  })) {
    it(`should not count a loan with ${what}`, () => {
      const pool = createPool();
      applyQuotaAsk(pool, 'a', buildAsk(0, { loan }), 2000);
      expect(pool.shares).toEqual(0);
    });
  }

  it('should not count a loan from an ask that was overtaken by the one that takes it back', () => {
    const pool = createPool();
    applyQuotaAsk(pool, 'a', buildAsk(5), 100);
    applyQuotaAsk(pool, 'a', buildAsk(4, buildLoan(0.5, 50)), 110);
    expect(pool.shares).toEqual(0);
  });

  it('should lower the tokens in a bucket to the depth of a lowered limit', () => {
    const pool = createPool();
    for (let ask = 0; ask < 4; ask++) applyQuotaAsk(pool, 'a', buildAsk(ask, buildLoan(1, 300 * ask)), 300 * ask);
    applyQuotaLimits(pool, new Map([['acme', { perSecond: 1, depth: 2 }]]), 900);
    expect(pool.buckets.get('acme')?.tokens).toEqual(2);
  });

  it('should begin with a full bucket for a new organisation only', () => {
    const pool = createPool();
    applyQuotaAsk(pool, 'a', buildAsk(0, buildLoan(1, 0)), 0);
    applyQuotaLimits(pool, new Map([...limits, ['bolt', { perSecond: 1, depth: 4 }]]), 0);
    expect([...pool.buckets.values()].map(({ tokens }) => tokens)).toEqual([0, 4]);
  });

  it('should tell competing hosts when each of them has room', () => {
    const pool = createPool();
    for (let ask = 0; ask < 6; ask++) applyQuotaAsk(pool, 'a', buildAsk(ask, buildLoan(1, 300 * ask)), 300 * ask);
    applyQuotaAsk(pool, 'a', buildAsk(9, { ...buildLoan(1, 1500), wants }), 1500);
    const [second] = applyQuotaAsk(pool, 'b', buildAsk(0, { wants }), 1500);
    expect(second).toEqual({ organisation: 'acme', tokens: 0, waitMs: 200, stepMs: 200 });
  });

  // Guards against long times for clients while the lenders of a lost allocator come one after the other.
  it('should tell hosts to ask again soon while the shares are still being lent', () => {
    const pool = createPool();
    applyQuotaAsk(pool, 'a', buildAsk(0, buildLoan(0.1, 0)), 0);
    const [grant] = applyQuotaAsk(pool, 'b', buildAsk(0, { wants }), 10);
    expect(grant).toEqual({ organisation: 'acme', tokens: 0, waitMs: 50, stepMs: 100 });
  });

  it('should keep a reserve from what is asked ahead of time', () => {
    const pool = createPool();
    for (let ask = 0; ask < 4; ask++) applyQuotaAsk(pool, 'a', buildAsk(ask, buildLoan(1, 300 * ask)), 300 * ask);
    const ahead = [{ organisation: 'acme', count: 1, ahead: 100 }];
    expect(applyQuotaAsk(pool, 'a', buildAsk(9, { ...buildLoan(1, 900), wants: ahead }), 900)[0]?.tokens).toEqual(3);
  });
});

describe('quota rules', () => {
  it('should leave room in the bound for tokens that were granted before the window', () => {
    const { rateFactor, extraDepth, validityMs } = computeQuotaRules({
      quotaWindowSeconds: 5,
      quotaExcess: 0.1,
      quotaSlack: 20,
    });
    expect({ rateFactor, extraDepth, validityMs }).toEqual({ rateFactor: 1.05, extraDepth: 10, validityMs: 238 });
    expect((5 + validityMs / 1000) * rateFactor).toBeLessThanOrEqual(5 * 1.1);
  });

  it('should have no limit for a rate of 0 and without a rate', () => {
    const organisations = [
      { name: 'a', keys: [], ratePerSecond: 0, burst: 4 },
      { name: 'b', keys: [] },
      { name: 'c', keys: [], ratePerSecond: 2 },
    ];
    const found = listQuotaLimits(organisations, { rateFactor: 1, extraDepth: 1, validityMs: 1 });
    expect([...found]).toEqual([['c', { perSecond: 2, depth: 1 }]]);
  });
});

describe('quota share', () => {
  it('should begin once the list is complete and no longer grows', () => {
    const counts = createMemberCounts();
    const read = (completeAtMs: number | undefined, nowMs: number): number | undefined =>
      computeQuotaShare(counts, { completeAtMs, hasPredecessor: false, nowMs });
    observeMemberCount(counts, 4, 0);
    expect(read(undefined, 9000)).toEqual(undefined);
    observeMemberCount(counts, 20, 9000);
    expect(read(8900, 9400)).toEqual(undefined);
    // One more host in a large fleet does not matter.
    observeMemberCount(counts, 21, 9400);
    expect(read(8900, 9500)).toEqual(1 / 21);
  });

  // Guards against a share that its allocator still counts as lent by the process before a restart.
  it('should begin after the loan of an earlier process of the host has ended', () => {
    const counts = createMemberCounts();
    observeMemberCount(counts, 4, 0);
    const read = (nowMs: number): number | undefined =>
      computeQuotaShare(counts, { completeAtMs: 100, hasPredecessor: true, nowMs });
    expect(read(1100)).toEqual(undefined);
    expect(read(1200)).toEqual(1 / 4);
  });

  // Guards against shares that add up to more than 1 while some hosts have not heard of a removed member.
  it('should shrink at once and grow late', () => {
    const counts = createMemberCounts();
    observeMemberCount(counts, 4, 0);
    const read = (nowMs: number): number | undefined =>
      computeQuotaShare(counts, { completeAtMs: 0, hasPredecessor: false, nowMs });
    expect(read(3000)).toEqual(1 / 4);
    observeMemberCount(counts, 5, 3000);
    expect(read(3000)).toEqual(1 / 5);
    observeMemberCount(counts, 2, 4000);
    expect(read(8900)).toEqual(1 / 5);
    expect(read(9000)).toEqual(1 / 2);
  });
});

describe('choice of the allocator', () => {
  const view = { ranked: ['a', 'b', 'c'], isLinked: () => true, isSettled: () => true, hasShare: true };

  it('should leave an allocator that responds only for an earlier one that responds', () => {
    const lender: QuotaLender = { ...createQuotaLender(), allocator: 'b' };
    expect(chooseAllocator(lender, view)).toEqual({ follow: 'b', probe: 'a' });
    lender.stamps.set('a', { allocator: 'pa', stampMs: 0, receivedAtMs: 0 });
    expect(chooseAllocator(lender, view)).toEqual({ follow: 'a', probe: undefined });
  });

  it('should not follow a host that has just restarted while there are others', () => {
    const lender: QuotaLender = { ...createQuotaLender(), allocator: 'a' };
    const isSettled = (host: string): boolean => host !== 'a';
    expect(chooseAllocator(lender, { ...view, isSettled }).follow).toEqual('b');
    expect(chooseAllocator(lender, { ...view, isSettled: () => false }).follow).toEqual('a');
  });

  it('should leave an allocator that does not respond', () => {
    const lender: QuotaLender = { ...createQuotaLender(), allocator: 'a' };
    buildQuotaAsk(lender, { host: 'a', share: 1, wants: [], incarnation: 'x', sentAtMs: 0, sentAtElapsedMs: 0 });
    expireQuotaAsks(lender, 499);
    expect(chooseAllocator(lender, view).follow).toEqual('a');
    expireQuotaAsks(lender, 500);
    expect(chooseAllocator(lender, view).follow).toEqual('b');
  });
});

/** A lender, its allocators and the frames between them, which arrive after random times. */
interface LoanTrial {
  lender: QuotaLender;
  pools: Map<string, { pool: QuotaPool; offsetMs: number }>;
  frames: { atMs: number; deliver: (nowMs: number) => void }[];
}

function sendAsk(trial: LoanTrial, host: string, nowMs: number, random: () => number): void {
  const clock = { sentAtMs: nowMs, sentAtElapsedMs: nowMs };
  const frame = buildQuotaAsk(trial.lender, { host, share: 0.5, wants: [], incarnation: 'x', ...clock });
  const generateDelay = (): number => (random() < 0.8 ? 2 : random() < 0.3 ? Infinity : 3000 * random());
  const receiveAsk = (atMs: number): void => {
    const entry = trial.pools.get(host);
    if (entry === undefined) return;
    const stampMs = Math.floor(atMs + entry.offsetMs);
    applyQuotaAsk(entry.pool, 'lender', frame, atMs + entry.offsetMs);
    const grant: QuotaGrantFrame = {
      type: 'quotaGrant',
      ask: frame.ask,
      incarnation: entry.pool.incarnation,
      stampMs,
      isReturned: false,
      grants: [],
    };
    const receiveGrant = (grantedAtMs: number): void => {
      applyQuotaStamp(trial.lender, host, grant, grantedAtMs);
    };
    trial.frames.push({ atMs: atMs + generateDelay(), deliver: receiveGrant });
  };
  trial.frames.push({ atMs: nowMs + generateDelay(), deliver: receiveAsk });
}

describe('loan of a share', () => {
  // Guards against a share that counts at two allocators, whatever is delayed, reordered or lost.
  it('should count at one allocator at a time', () => {
    let counted = 0;
    for (let seed = 1; seed <= 40; seed++) {
      const random = createRandom(seed);
      const names = ['a', 'b', 'c'];
      const pools = names.map((name) => [name, { pool: createQuotaPool(name), offsetMs: 1e6 * random() }] as const);
      const trial: LoanTrial = { lender: createQuotaLender(), pools: new Map(pools), frames: [] };
      for (let nowMs = 0; nowMs < 20_000; nowMs += 20) {
        const due = trial.frames.filter(({ atMs }) => atMs <= nowMs);
        trial.frames = trial.frames.filter(({ atMs }) => atMs > nowMs);
        for (const { deliver } of due) deliver(nowMs);
        if (random() < 0.01) trial.lender.allocator = names[Math.floor(3 * random())];
        if (random() < 0.1) sendAsk(trial, names[Math.floor(3 * random())] ?? '', nowMs, random);
        let holders = 0;
        for (const { pool, offsetMs } of trial.pools.values()) {
          expireQuotaLoans(pool, nowMs + offsetMs);
          if (pool.shares > 0) holders++;
        }
        expect(holders).toBeLessThanOrEqual(1);
        counted += holders;
      }
    }
    expect(counted).toBeGreaterThan(1000);
  });
});
