import { describe, it } from 'node:test';
import { expect } from 'earl';
import { checkPromises } from '../../src/soak/checkPromises.js';
import type { SoakArrival, SoakRecords, SoakRequest } from '../../src/soak/soakTypes.js';

const bounds = {
  drainMs: 2000,
  configurationApplyMs: 2000,
  retryRatio: 0.2,
  retryExtra: 4,
  retryWindowMs: 10_000,
  endMs: 30_000,
  calmEndMs: 6000,
};

function buildRequest(change: Partial<SoakRequest> = {}): SoakRequest {
  return {
    requestId: 'r1',
    route: 'order',
    service: 'orders',
    isIdempotent: false,
    host: 'h1',
    sentAtMs: 29_000,
    endedAtMs: 29_020,
    status: 200,
    body: 'i-1:r1',
    publishedVersion: 1,
    publishedAtMs: 0,
    ...change,
  };
}

function buildArrival(change: Partial<SoakArrival> = {}): SoakArrival {
  return { requestId: 'r1', service: 'orders', target: 'i-1', atMs: 29_005, hasRun: true, ...change };
}

function listBroken(records: Partial<SoakRecords>): string[] {
  const all = { requests: [buildRequest()], arrivals: [buildArrival()], leaves: [], disturbances: [], ...records };
  return checkPromises(all, bounds).map(({ promise }) => promise);
}

describe('the checks of the soak', () => {
  it('should find nothing where all promises are kept', () => {
    expect(listBroken({})).toEqual([]);
  });

  it('should find a non-idempotent request that ran twice, but allow an idempotent one to', () => {
    const arrivals = [buildArrival(), buildArrival({ target: 'i-2' })];
    expect(listBroken({ arrivals })).toEqual(['a non-idempotent request runs at most once']);
    expect(listBroken({ arrivals, requests: [buildRequest({ isIdempotent: true })] })).toEqual([]);
  });

  it('should find a false refusal, and accept one after a rejection', () => {
    const refused = [buildRequest(), buildRequest({ requestId: 'r2', status: 503, sentAtMs: 100 })];
    const arrivals = [buildArrival(), buildArrival({ requestId: 'r2' })];
    expect(listBroken({ requests: refused, arrivals })).toEqual(['a refusal that says not run is true']);
    const rejected = [buildArrival(), buildArrival({ requestId: 'r2', hasRun: false })];
    expect(listBroken({ requests: refused, arrivals: rejected })).toEqual([]);
  });

  it("should find another request's answer", () => {
    expect(listBroken({ requests: [buildRequest({ body: 'i-1:r2' })] })).toEqual(['an answer is whole and its own']);
  });

  it('should find a cut request, but not one at a killed host or one that crossed a close', () => {
    const cut = [buildRequest(), buildRequest({ requestId: 'r2', status: 0, body: '', sentAtMs: 100, endedAtMs: 120 })];
    expect(listBroken({ requests: cut })).toEqual(['no request is cut at a planned stop']);
    const killed = [{ kind: 'killNode' as const, host: 'h1', fromMs: 110, untilMs: 300 }];
    expect(listBroken({ requests: cut, disturbances: killed })).toEqual([]);
    const stopped = [{ kind: 'stopNode' as const, host: 'h1', fromMs: 110, untilMs: 300 }];
    expect(listBroken({ requests: cut, disturbances: stopped })).toEqual(['no request is cut at a planned stop']);
    const crossed = cut.map((request) => (request.status === 0 ? { ...request, body: 'crossed' } : request));
    expect(listBroken({ requests: crossed })).toEqual([]);
  });

  it('should find a configuration that is late, outside of disturbances', () => {
    const old = buildRequest({ requestId: 'r2', route: 'versioned', status: 404, sentAtMs: 9000, publishedAtMs: 5000 });
    expect(listBroken({ requests: [buildRequest(), old] })).toEqual([
      'a configuration is in force in time and never older',
    ]);
    const disturbances = [{ kind: 'storeSilent' as const, host: 'h3', fromMs: 4000, untilMs: 8000 }];
    expect(listBroken({ requests: [buildRequest(), old], disturbances })).toEqual([]);
  });

  it('should find work that reaches a target after it left', () => {
    const leaves = [{ target: 'i-1', atMs: 26_000 }];
    expect(listBroken({ leaves })).toEqual(['a target that left gets nothing']);
    expect(listBroken({ leaves: [{ target: 'i-1', atMs: 27_500 }] })).toEqual([]);
  });

  it('should find too many repeats in some window', () => {
    const repeats = Array.from({ length: 8 }, (_, index) => `r${index}`);
    const requests = repeats.map((requestId) =>
      buildRequest({ requestId, isIdempotent: true, body: `i-1:${requestId}` }),
    );
    const arrivals = repeats.flatMap((requestId) => [buildArrival({ requestId }), buildArrival({ requestId })]);
    expect(listBroken({ requests, arrivals })).toEqual(['retries stay within their budget']);
    expect(listBroken({ requests, arrivals: arrivals.slice(0, 8) })).toEqual([]);
  });

  it('should find that service did not recover', () => {
    const failed = buildRequest({ requestId: 'r2', status: 502, body: '' });
    expect(listBroken({ requests: [buildRequest(), failed] })).toEqual(['service recovers']);
  });
});
