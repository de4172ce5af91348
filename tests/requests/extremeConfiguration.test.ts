import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Organisation, Route } from '../../src/schema/routeConfiguration.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';
import type { SentRequest } from '../fixtures/requestFleet.js';

const REQUESTS = 100;
/** Time after which hosts have a share of the quotas (ms). */
const SETTLED_MS = 6000;

/** Sends requests at three nodes with a configuration; counts how they ended. */
function sendRequests(change: Partial<Route>, organisations?: Organisation[]): Record<string, number> {
  const services = ['stock', 'orders', 'stock'];
  const hosts = services.map((service, index) => ({ host: `a${index}`, dataCenter: 'd1', service, slots: 100 }));
  const configuration = buildRouteConfiguration(1, [buildRoute('check', 'stock', change)]);
  const fleet = createRequestFleet({
    hosts,
    configuration: organisations === undefined ? configuration : { ...configuration, organisations },
  });
  fleet.clock.advance(SETTLED_MS);
  const sent: SentRequest[] = [];
  for (let count = 0; count < REQUESTS; count++) {
    sent.push(fleet.send(`a${count % hosts.length}`, { key: 'key' }));
    fleet.clock.advance(20);
  }
  fleet.clock.advance(2000);
  const ends: Record<string, number> = {};
  for (const { answer, refusal } of sent) {
    const end = String(answer?.status ?? refusal?.kind);
    ends[end] = (ends[end] ?? 0) + 1;
  }
  return ends;
}

describe('extreme numbers of a configuration', () => {
  // Guards against tokens that are NaN, with which the allocator asks itself without end.
  for (const quota of [{ ratePerSecond: Number.MAX_VALUE }, { ratePerSecond: 1e300, burst: Number.MAX_VALUE }]) {
    it(`should leave an organisation without a limit that counts: ${JSON.stringify(quota)}`, () => {
      expect(sendRequests({}, [{ name: 'acme', keys: ['key'], ...quota }])).toEqual({ '200': REQUESTS });
    });
  }

  // Guards against credits of Infinity, with which no service of a route is chosen any more.
  it('should divide requests among services with weights whose sum is Infinity', () => {
    const parts = ['stock', 'orders'].map((service) => ({ service, weight: Number.MAX_VALUE }));
    expect(sendRequests({ parts })).toEqual({ '200': REQUESTS });
  });
});
