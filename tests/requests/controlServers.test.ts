import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createSystemClock } from '../../src/core/clock.js';
import { startControlServers } from '../../src/http/controlServers.js';
import type { ControlServers } from '../../src/http/controlServers.js';
import { FailureError } from '../../src/schema/failure.js';
import { openTestClient } from '../fixtures/frontEnd.js';
import { findFreeAddress, testHeaderNames } from '../fixtures/requests.js';
import { waitUntil } from '../fixtures/sampleFleet.js';

describe('the listener for messages of the target', () => {
  let targetListen: string;
  let servers: ControlServers;
  let namedStarts: (number | undefined)[];
  beforeEach(async () => {
    namedStarts = [];
    targetListen = await findFreeAddress();
    servers = await startControlServers({
      names: testHeaderNames,
      clock: createSystemClock(),
      targetListen,
      readyListen: await findFreeAddress(),
      metricsListen: await findFreeAddress(),
      isReady: () => true,
      decodeTargetMessage: (body) => body,
      receiveHeartbeat: () => undefined,
      receiveLeave: (id, acknowledge, startedAtMs) => {
        namedStarts.push(startedAtMs);
        if (id === 'broken') throw new FailureError({ kind: 'fileUnreadable', message: 'broken', path: '' });
        if (id !== 'lost') acknowledge();
      },
      reportInvalidHeartbeat: () => undefined,
      renderMetrics: () => Promise.resolve(''),
    });
  });
  afterEach(() => {
    servers.stop();
  });

  // Guards against a target that waits without an answer for the acknowledgement of a leave that is not durable.
  it('should refuse a leave that is not acknowledged in time', async () => {
    const statuses = await Promise.all(
      ['durable', 'lost', 'a%2Bb', '%', 'a/b', 'a%20b'].map(async (id) => {
        const response = await fetch(`http://${targetListen}/v1/targets/${id}/leave`, { method: 'POST' });
        return response.status;
      }),
    );
    expect(statuses).toEqual([200, 503, 200, 404, 404, 400]);
  });

  // Guards against a leave that is taken for that of another start, and against one that is refused for its body.
  it('should pass on the start time that a leave names, and take any other body for none', async () => {
    const bodies = ['{"startedAtMs":1700000000000}', '{"startedAtMs":"x"}', '{"startedAtMs":-1}', '[', '', '7'];
    for (const body of bodies) await fetch(`http://${targetListen}/v1/targets/durable/leave`, { method: 'POST', body });
    expect(namedStarts).toEqual([1_700_000_000_000, undefined, undefined, undefined, undefined, undefined]);
  });

  // Guards against a process that ends because of an error in the handling of one message.
  it('should fail only the message whose handling fails', async () => {
    const send = (id: string) => fetch(`http://${targetListen}/v1/targets/${id}/leave`, { method: 'POST' });
    expect([(await send('broken')).status, (await send('durable')).status]).toEqual([500, 200]);
  });

  // Guards against a target that has to connect anew for each heartbeat, and against clients that occupy the node with many.
  it('should keep a connection for one message after another, and close one with several at once', async () => {
    const request = 'POST /v1/targets/durable/leave HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n';
    const countResponses = (text: string): number => text.split('HTTP/1.1 200').length - 1;
    const [ordinary, pipelining] = [openTestClient(targetListen), openTestClient(targetListen)];
    for (const count of [1, 2]) {
      ordinary.socket.write(request);
      await waitUntil('the response', () => countResponses(ordinary.readText()) === count);
    }
    pipelining.socket.write(request.repeat(30));
    await waitUntil('the end', () => pipelining.isClosed());
    expect([countResponses(pipelining.readText()), ordinary.isClosed()]).toEqual([1, false]);
    expect(pipelining.readText()).toEqual(expect.includes('Connection: close'));
    ordinary.socket.destroy();
  });
});
