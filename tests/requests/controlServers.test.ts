import { describe, it } from 'node:test';
import { expect } from 'earl';
import { startControlServers } from '../../src/http/controlServers.js';
import { findFreeAddress } from '../fixtures/requests.js';

describe('the listener for messages of the target', () => {
  // Guards against a target that waits without an answer for the acknowledgement of a leave that is not durable.
  it('should refuse a leave that is not acknowledged in time', async () => {
    const targetListen = await findFreeAddress();
    const servers = await startControlServers({
      targetListen,
      readyListen: await findFreeAddress(),
      metricsListen: await findFreeAddress(),
      isReady: () => true,
      decodeHeartbeat: (body) => body,
      receiveHeartbeat: () => undefined,
      receiveLeave: (id, acknowledge) => {
        if (id === 'durable') acknowledge();
      },
      reportInvalidHeartbeat: () => undefined,
      renderMetrics: () => Promise.resolve(''),
    });
    try {
      const statuses = await Promise.all(
        ['durable', 'lost'].map(async (id) => {
          const response = await fetch(`http://${targetListen}/v1/targets/${id}/leave`, { method: 'POST' });
          return response.status;
        }),
      );
      expect(statuses).toEqual([200, 503]);
    } finally {
      await servers.stop();
    }
  });
});
