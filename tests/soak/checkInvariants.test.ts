import { describe, it } from 'node:test';
import { expect } from 'earl';
import { checkInvariants } from '../../src/soak/checkInvariants.js';
import type { SoakArrival, SoakRecords, SoakRequest } from '../../src/soak/soakTypes.js';

const bounds = {
  drainMs: 2000,
  configurationApplyMs: 2000,
  retryRatio: 0.2,
  retryExtra: 4,
  retryWindowMs: 10_000,
  endMs: 30_000,
  recoveryMs: 6000,
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
    // Id of the target, then id of the request that it answered.
    body: 'i-1:r1',
    hasBrokenLine: false,
    publishedVersion: 1,
    publishedAtMs: 0,
    ...change,
  };
}

function buildArrival(change: Partial<SoakArrival> = {}): SoakArrival {
  return { requestId: 'r1', service: 'orders', target: 'i-1', atMs: 29_005, hasRun: true, ...change };
}

function listViolated(records: Partial<SoakRecords>): string[] {
  const empty = { drains: [], disturbances: [], crashes: [] };
  const all = { requests: [buildRequest()], arrivals: [buildArrival()], ...empty, ...records };
  return checkInvariants(all, bounds).map(({ invariant }) => invariant);
}

describe('checkInvariants', () => {
  it('should report nothing if all invariants hold', () => {
    expect(listViolated({})).toEqual([]);
  });

  it('should report a request that crashed four targets, but not one that crashed three', () => {
    expect(listViolated({ crashes: [0, 3] })).toEqual([]);
    expect(listViolated({ crashes: [3, 4] })).toEqual(['a request that crashes targets is refused after three']);
  });

  it('should report a non-idempotent request that ran twice, but not an idempotent one', () => {
    const arrivals = [buildArrival(), buildArrival({ target: 'i-2' })];
    expect(listViolated({ arrivals })).toEqual(['a non-idempotent request runs at most once']);
    expect(listViolated({ arrivals, requests: [buildRequest({ isIdempotent: true })] })).toEqual([]);
  });

  it('should report a refused request that has run, but not one that the target rejected', () => {
    const refused = [buildRequest(), buildRequest({ requestId: 'r2', status: 503, sentAtMs: 100 })];
    const arrivals = [buildArrival(), buildArrival({ requestId: 'r2' })];
    expect(listViolated({ requests: refused, arrivals })).toEqual([
      'a request that was refused as not run did not run',
    ]);
    const rejected = [buildArrival(), buildArrival({ requestId: 'r2', hasRun: false })];
    expect(listViolated({ requests: refused, arrivals: rejected })).toEqual([]);
  });

  it('should report a response with a line of a broken head, whatever its status', () => {
    const broken = buildRequest({ requestId: 'r2', hasBrokenLine: true, status: 502, sentAtMs: 100 });
    expect(listViolated({ requests: [buildRequest(), broken] })).toEqual([
      'a response is complete and belongs to its request',
    ]);
  });

  it('should report a response of another request', () => {
    expect(listViolated({ requests: [buildRequest({ body: 'i-1:r2' })] })).toEqual([
      'a response is complete and belongs to its request',
    ]);
  });

  it('should report an interrupted request, but not at a killed node or on an idle connection that was closed', () => {
    const requests = [
      buildRequest(),
      buildRequest({ requestId: 'r2', status: 0, body: '', sentAtMs: 100, endedAtMs: 120 }),
    ];
    expect(listViolated({ requests })).toEqual(['a planned stop does not interrupt requests']);
    const killed = [{ kind: 'killNode' as const, host: 'h1', fromMs: 110, untilMs: 300 }];
    expect(listViolated({ requests, disturbances: killed })).toEqual([]);
    const stopped = [{ kind: 'stopNode' as const, host: 'h1', fromMs: 110, untilMs: 300 }];
    expect(listViolated({ requests, disturbances: stopped })).toEqual(['a planned stop does not interrupt requests']);
    const raced = requests.map((request) => (request.status === 0 ? { ...request, body: 'keepAliveRace' } : request));
    expect(listViolated({ requests: raced })).toEqual([]);
  });

  it('should report a configuration that is applied late, except during disturbances', () => {
    const old = buildRequest({ requestId: 'r2', route: 'versioned', status: 404, sentAtMs: 9000, publishedAtMs: 5000 });
    expect(listViolated({ requests: [buildRequest(), old] })).toEqual([
      'a configuration is applied in time and never reverted',
    ]);
    const disturbances = [{ kind: 'storeSilent' as const, host: 'h3', fromMs: 4000, untilMs: 8000 }];
    expect(listViolated({ requests: [buildRequest(), old], disturbances })).toEqual([]);
  });

  it('should report a request that reaches a target after its drain was acknowledged', () => {
    const drains = [{ target: 'i-1', atMs: 26_000 }];
    expect(listViolated({ drains })).toEqual(['a drained target does not receive requests']);
    expect(listViolated({ drains: [{ target: 'i-1', atMs: 27_500 }] })).toEqual([]);
  });

  it('should report too many retries within a window', () => {
    const requestIds = Array.from({ length: 8 }, (_, index) => `r${index}`);
    const requests = requestIds.map((requestId) =>
      buildRequest({ requestId, isIdempotent: true, body: `i-1:${requestId}` }),
    );
    const arrivals = requestIds.flatMap((requestId) => [buildArrival({ requestId }), buildArrival({ requestId })]);
    expect(listViolated({ requests, arrivals })).toEqual(['retries stay within their budget']);
    expect(listViolated({ requests, arrivals: arrivals.slice(0, 8) })).toEqual([]);
  });

  it('should report requests that still fail after the last fault', () => {
    const failed = buildRequest({ requestId: 'r2', status: 502, body: '' });
    expect(listViolated({ requests: [buildRequest(), failed] })).toEqual(['service recovers after the faults']);
  });
});
