import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createElapsedClock } from '../../src/core/elapsedClock.js';
import {
  applyQuotaGrant,
  computeQuotaRetryDelay,
  computeQuotaWant,
  computeTokenWait,
  createQuotaDemand,
  decideOnToken,
} from '../../src/policy/quotaDemand.js';
import type { QuotaDemand, QuotaTime, TokenRequest } from '../../src/policy/quotaDemand.js';

interface NamedRequest extends TokenRequest {
  name: string;
}

function buildRequest(name: string, change: Partial<TokenRequest> = {}): NamedRequest {
  return { name, organisation: 'acme', priority: 1, waitUntilMs: 250, ...change };
}

function readTime(nowMs: number): QuotaTime {
  return { nowMs, elapsedMs: nowMs };
}

/** Creates the demand of a host whose allocator has no room before a time. */
function createShortDemand(waitMs: number, stepMs: number): QuotaDemand<NamedRequest> {
  const demand = createQuotaDemand<NamedRequest>(0);
  applyQuotaGrant(demand, { organisation: 'acme', tokens: 0, waitMs, stepMs }, { ...readTime(0), expiresAtMs: 238 });
  return demand;
}

const fullGrant = { organisation: 'acme', tokens: 2, waitMs: 0, stepMs: 0 };

describe('demand for tokens', () => {
  // Guards against a host that was paused past a grant and spends its tokens in a later window.
  it('should not use a token that has expired', () => {
    for (const [nowMs, decision] of [
      [237, 'granted'],
      [238, 'waiting'],
    ] as const) {
      const demand = createQuotaDemand<NamedRequest>(0);
      applyQuotaGrant(demand, fullGrant, { ...readTime(0), expiresAtMs: 238 });
      expect(decideOnToken(demand, buildRequest('a', { waitUntilMs: 500 }), readTime(nowMs))).toEqual(decision);
    }
  });

  it('should give a late grant to no request', () => {
    const demand = createQuotaDemand<NamedRequest>(0);
    decideOnToken(demand, buildRequest('a'), readTime(0));
    const { granted } = applyQuotaGrant(demand, fullGrant, { ...readTime(240), expiresAtMs: 238 });
    expect(granted).toEqual([]);
    expect(demand.waiting.length).toEqual(1);
  });

  it('should give tokens to the most urgent requests, then to the oldest', () => {
    const demand = createQuotaDemand<NamedRequest>(0);
    const requests = [
      buildRequest('b', { priority: 2 }),
      buildRequest('c'),
      buildRequest('a', { priority: 0 }),
      buildRequest('d'),
    ];
    for (const request of requests) decideOnToken(demand, request, readTime(0));
    const grant = { organisation: 'acme', tokens: 3, waitMs: 10, stepMs: 10 };
    const { granted } = applyQuotaGrant(demand, grant, { ...readTime(1), expiresAtMs: 238 });
    expect(granted.map(({ name }) => name)).toEqual(['a', 'c', 'd']);
    expect(demand.waiting.map(({ name }) => name)).toEqual(['b']);
  });

  it('should refuse requests that cannot have their turn in time', () => {
    const demand = createShortDemand(100, 100);
    const decisions = ['a', 'b', 'c'].map((name) => decideOnToken(demand, buildRequest(name), readTime(0)));
    expect(decisions).toEqual(['waiting', 'waiting', 'refused']);
    expect(decideOnToken(demand, buildRequest('d', { priority: 0 }), readTime(0))).toEqual('waiting');
    const grant = { organisation: 'acme', tokens: 1, waitMs: 140, stepMs: 200 };
    const { granted, refused } = applyQuotaGrant(demand, grant, { ...readTime(100), expiresAtMs: 338 });
    expect(granted.map(({ name }) => name)).toEqual(['d']);
    expect(refused.map(({ name }) => name)).toEqual(['b']);
  });

  it('should ask for nothing until there is room', () => {
    const demand = createShortDemand(100, 10);
    decideOnToken(demand, buildRequest('a'), readTime(0));
    expect(computeQuotaWant(demand, 'acme', readTime(99))).toEqual(undefined);
    expect(computeQuotaWant(demand, 'acme', readTime(100))).toEqual({ organisation: 'acme', count: 1, ahead: 0 });
  });

  it('should ask ahead of time where requests are frequent, with a pause between two asks', () => {
    const demand = createQuotaDemand<NamedRequest>(0);
    for (let nowMs = 0; nowMs < 3000; nowMs += 20) {
      applyQuotaGrant(demand, { ...fullGrant, tokens: 1 }, { ...readTime(nowMs), expiresAtMs: nowMs + 238 });
      decideOnToken(demand, buildRequest('a'), readTime(nowMs));
    }
    expect(computeQuotaWant(demand, 'acme', readTime(3000))).toEqual({ organisation: 'acme', count: 0, ahead: 5 });
    expect(computeQuotaWant(demand, 'acme', readTime(3001))).toEqual(undefined);
    expect(computeQuotaWant(demand, 'acme', readTime(9000))).toEqual(undefined);
  });

  it('should send refused clients back one after the other, with jitter, and never late without an end', () => {
    const demand = createShortDemand(100, 50);
    expect([0, 0, 1].map((random) => Math.round(computeQuotaRetryDelay(demand, 0, random)))).toEqual([150, 200, 325]);
    for (let index = 0; index < 1000; index++) computeQuotaRetryDelay(demand, 0, 0);
    expect(Math.round(computeQuotaRetryDelay(demand, 0, 1))).toEqual(30_000);
  });

  it('should wait a tenth of the time left, and 250 ms at most', () => {
    expect([computeTokenWait(500), computeTokenWait(6000)]).toEqual([50, 250]);
  });
});

describe('clock of what expires', () => {
  it('should count the time of a suspension, and no jitter or step back of the wall clock', () => {
    let monotonicMs = 100;
    let wallMs = 5000;
    const readElapsed = createElapsedClock({ now: () => monotonicMs, wallTime: () => wallMs });
    monotonicMs += 50;
    wallMs += 51;
    expect(readElapsed()).toEqual(150);
    wallMs += 3000;
    expect(readElapsed()).toEqual(3151);
    wallMs -= 8000;
    monotonicMs += 10;
    expect(readElapsed()).toEqual(3161);
    wallMs += 100;
    monotonicMs += 10;
    expect(readElapsed()).toEqual(3261);
  });
});
