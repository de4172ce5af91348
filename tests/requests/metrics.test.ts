import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createSystemClock } from '../../src/core/clock.js';
import { startControlServers } from '../../src/http/controlServers.js';
import { createDurationMetrics, createRequestMetrics } from '../../src/http/requestMetrics.js';
import type { RequestNode } from '../../src/node/createRequestNode.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';
import { findFreeAddress, testHeaderNames } from '../fixtures/requests.js';

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
    expect(text).toEqual(expect.includes('hemlock_store_era 0'));
    for (const place of ['entry', 'target']) {
      expect(
        new RegExp(`hemlock_duration_ms\\{place="${place}",route="check",quantile="0.99"\\} 2\\d\\b`).test(text),
      ).toEqual(true);
    }
  });

  // Guards against a scrape that fails because the text is rendered asynchronously.
  it('should be served over HTTP', async () => {
    const configuration = buildRouteConfiguration(4, [buildRoute('check', 'stock')]);
    const fleet = createRequestFleet({ hosts, configuration });
    const node = fleet.nodes.get('a1') as RequestNode;
    const metricsListen = await findFreeAddress();
    const servers = await startControlServers({
      names: testHeaderNames,
      clock: createSystemClock(),
      targetListen: await findFreeAddress(),
      readyListen: await findFreeAddress(),
      metricsListen,
      isReady: () => true,
      decodeTargetMessage: (body) => body,
      receiveHeartbeat: () => undefined,
      receiveLeave: () => undefined,
      reportInvalidHeartbeat: () => undefined,
      renderMetrics: createRequestMetrics(node.board, createDurationMetrics()).renderText,
    });
    const response = await fetch(`http://${metricsListen}/metrics`);
    const text = await response.text();
    servers.stop();
    expect(response.status).toEqual(200);
    expect(text).toEqual(expect.includes('hemlock_configuration_version 4'));
    expect(text).toEqual(expect.includes('hemlock_store_era 0'));
  });
});
