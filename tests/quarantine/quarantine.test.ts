import { describe, it } from 'node:test';
import { expect } from 'earl';
import { buildOrderCall, createOrderFleet, describeOrderResult } from '../../src/bench/fakes/orderFleet.js';
import { measureCrashingRequest, plainCrashPolicies } from '../../src/bench/scenarios/crashingRequest.js';
import { applyCrash, applyTrial, MAX_QUARANTINE_MS, resolveSuspect } from '../../src/policy/quarantine.js';

const options = { quarantineMs: 60_000 };

describe('quarantine rule', () => {
  it('should treat a request as a suspect after one crash and refuse it after two', () => {
    const once = applyCrash(undefined, 0, options);
    expect(resolveSuspect(once, 10)).toEqual('runSuspect');
    const twice = applyCrash(once, 10, options);
    expect(resolveSuspect(twice, 60_009)).toEqual('refuse');
    expect(resolveSuspect(twice, 60_010)).toEqual('trial');
  });

  it('should not count crashes of runs that started before the quarantine', () => {
    const quarantined = applyCrash(applyCrash(undefined, 0, options), 0, options);
    expect(applyCrash(quarantined, 5, options).untilMs).toEqual(quarantined.untilMs);
  });

  it('should allow one trial at a time and double the quarantine up to an hour when a trial crashes', () => {
    let state = applyCrash(applyCrash(undefined, 0, options), 0, options);
    const periods: number[] = [];
    for (let round = 0; round < 8; round++) {
      const nowMs = state.untilMs;
      state = applyTrial(state, nowMs) ?? state;
      expect(resolveSuspect(state, nowMs + 1)).toEqual('refuse');
      state = applyCrash(state, nowMs + 2, options);
      periods.push(state.periodMs);
    }
    expect(periods.slice(0, 3)).toEqual([120_000, 240_000, 480_000]);
    expect(periods.at(-1)).toEqual(MAX_QUARANTINE_MS);
  });
});

describe('crashing requests', () => {
  for (const crashingOperation of ['browse', 'look'] as const) {
    it(`should crash at most 2 targets in a data centre when ${crashingOperation} is resent`, () => {
      expect(measureCrashingRequest({ seed: 1, sends: 40, crashingOperation }).maxCrashes).toBeLessThanOrEqual(2);
    });
  }

  it('should crash at most 2 targets in each part of a partitioned fleet', () => {
    const measured = measureCrashingRequest({
      seed: 2,
      sends: 40,
      crashingOperation: 'browse',
      isolatedDataCenter: 'd1',
    });
    expect(measured.maxCrashes).toBeLessThanOrEqual(2);
  });

  it('should lose less than 0.1 % of the other requests because of the crashes', () => {
    const policies = { adjustFraction: () => 1 };
    const measured = measureCrashingRequest({ seed: 1, sends: 40, crashingOperation: 'browse', policies });
    expect(measured.failedShare).toBeLessThan(0.001);
  });

  it('should measure more crashes where nodes retry and never quarantine, which shows that the measurement can fail', () => {
    const measured = measureCrashingRequest({
      seed: 1,
      sends: 40,
      crashingOperation: 'browse',
      policies: plainCrashPolicies,
    });
    expect(measured.maxCrashes).toBeGreaterThan(2);
  });

  it('should clear a suspicion at all nodes when the request succeeds, and allow one trial after a quarantine', () => {
    let isCrashing = true;
    let crashes = 0;
    const results: string[] = [];
    const fleet = createOrderFleet({
      seed: 4,
      dataCenters: ['d1'],
      crashesOn: ({ operation }) => isCrashing && operation === 'look',
      onCrash: (host) => {
        crashes++;
        const target = fleet.hosts.get(host)?.target;
        fleet.clock.schedule(1000, () => {
          target?.restart();
        });
      },
    });
    const listSuspectCounts = (): number[] =>
      [...fleet.hosts.values()].map(({ node }) => node.board.read('quarantine').byFingerprint.size);
    const send = (): void => {
      fleet.hosts
        .get('d1-shop1')
        ?.node.handleCallerCall(buildOrderCall('look', 'a', { service: 'stock' }), (result) =>
          results.push(describeOrderResult(result)),
        );
      fleet.clock.advance(4000);
    };
    fleet.clock.advance(4000);
    send();
    expect(listSuspectCounts()).toEqual([1, 1, 1, 1]);
    isCrashing = false;
    send();
    expect(listSuspectCounts()).toEqual([0, 0, 0, 0]);
    isCrashing = true;
    for (let count = 0; count < 5; count++) send();
    expect(crashes).toEqual(3);
    isCrashing = false;
    fleet.clock.advance(60_000);
    send();
    expect(listSuspectCounts()).toEqual([0, 0, 0, 0]);
    const quarantined = 'quarantined ran no';
    const crashed = 'targetCrashed ran unknown';
    expect(results).toEqual([crashed, '200 a', crashed, crashed, quarantined, quarantined, quarantined, '200 a']);
  });
});
