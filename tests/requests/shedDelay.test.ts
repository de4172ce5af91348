import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '../../src/core/random.js';
import { estimateRoomDelay, limitRetryDelay } from '../../src/policy/shedDelay.js';
import { createCallLoad } from '../fixtures/callLoad.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';
import type { RequestFleet, SentRequest } from '../fixtures/requestFleet.js';

const hosts = [
  { host: 'e1', dataCenter: 'd1', service: 'orders' },
  { host: 's1', dataCenter: 'd1', service: 'stock', slots: 3 },
];
const route = buildRoute('report', 'stock', { targetLatencyMs: 800, timeoutMs: 1000 });

function createStockFleet(): RequestFleet {
  const fleet = createRequestFleet({ hosts, configuration: buildRouteConfiguration(1, [route]) });
  createCallLoad(fleet, { report: { workMs: 100, calls: [] } }, ['e1']);
  return fleet;
}

function sendReports(fleet: RequestFleet, count: number): SentRequest[] {
  return Array.from({ length: count }, (_, index) => fleet.send('e1', { path: `/report/t${index}`, timeLeftMs: 1000 }));
}

describe('the retry delay of a refused request', () => {
  const random = createRandom(3);

  it('should grow with the excess of demand over room', () => {
    const delays = [0.9, 0.5, 0.25].map((fraction) => Math.round(estimateRoomDelay(fraction)));
    expect(delays).toEqual([28, 250, 750]);
  });

  // Guards against refusals that a client cannot use: it waits for at most a third of its time and needs the rest.
  it('should be spread, at most what the client honours, and leave time for the request', () => {
    const delays = Array.from({ length: 200 }, () =>
      limitRetryDelay({ delayMs: 5000, timeLeftMs: 900, expectedMs: 100, random }),
    );
    expect(Math.max(...delays) <= 300).toEqual(true);
    expect(Math.max(...delays) - Math.min(...delays) > 80).toEqual(true);
    const tight = limitRetryDelay({ delayMs: 5000, timeLeftMs: 900, expectedMs: 800, random });
    expect(tight <= 100).toEqual(true);
    expect(limitRetryDelay({ delayMs: 5000, timeLeftMs: -5, expectedMs: 800, random })).toEqual(0);
  });
});

describe('a request that would wait until it is of no use', () => {
  // Guards against clients that wait for their whole time limit in a queue. The target runs two requests of 100 ms at once.
  it('should be refused at once with the time of the queue, and not run', () => {
    const fleet = createStockFleet();
    sendReports(fleet, 8);
    fleet.clock.advance(2000);
    const ranBefore = fleet.sends.length;
    const sent = sendReports(fleet, 60);
    fleet.clock.advance(50);
    const early = sent.filter(({ refusal }) => refusal !== undefined);
    expect(early.length > 30 && early.length < 50).toEqual(true);
    for (const { refusal } of early) {
      expect(refusal?.kind).toEqual('overloaded');
      expect((refusal?.retryAfterMs ?? 0) > 150 && (refusal?.retryAfterMs ?? 0) <= 1000 / 3).toEqual(true);
    }
    fleet.clock.advance(3000);
    const answered = sent.filter(({ answer }) => answer?.status === 200);
    expect(answered.length >= 14).toEqual(true);
    // What was started had time to end: no slot was spent on requests whose clients gave up.
    expect(fleet.sends.length - ranBefore - answered.length <= 2).toEqual(true);
    const unanswered = sent.filter(({ answer }) => answer === undefined);
    expect(unanswered.filter(({ refusal }) => refusal?.retryAfterMs === undefined).length <= 2).toEqual(true);
  });

  it('should be the only one to be refused: with room all are answered', () => {
    const fleet = createStockFleet();
    const sent = sendReports(fleet, 12);
    fleet.clock.advance(3000);
    expect(sent.every(({ answer }) => answer?.status === 200)).toEqual(true);
  });
});
