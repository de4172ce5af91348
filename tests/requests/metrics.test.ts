import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createDurationMetrics, createRequestMetrics } from '../../src/http/requestMetrics.js';
import type { RequestNode } from '../../src/node/createRequestNode.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';

const hosts = [{ host: 'a1', dataCenter: 'd1', service: 'stock' }];

describe('metrics of a request node', () => {
  // Averages hide slow requests, so latency has to be reported as quantiles.
  it('should report request counts and latency quantiles by place and route', async () => {
    const configuration = buildRouteConfiguration(4, [buildRoute('check', 'stock')]);
    const fleet = createRequestFleet({ hosts, configuration });
    fleet.send('a1');
    fleet.clock.advance(100);
    const node = fleet.nodes.get('a1') as RequestNode;
    const durations = createDurationMetrics();
    fleet.durations.forEach(durations.record);
    const text = await createRequestMetrics(node.board, durations).renderText();
    expect(text).toEqual(expect.includes('hemlock_requests{result="answered"} 1'));
    expect(text).toEqual(expect.includes('hemlock_configuration_version 4'));
    for (const place of ['entry', 'target']) {
      expect(
        new RegExp(`hemlock_duration_ms\\{place="${place}",route="check",quantile="0.99"\\} 2\\d\\b`).test(text),
      ).toEqual(true);
    }
  });
});
