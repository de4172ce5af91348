import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { sendAnswer, startFrontEnd } from '../fixtures/frontEnd.js';
import type { FrontEnd } from '../fixtures/frontEnd.js';
import { waitUntil } from '../fixtures/sampleFleet.js';

const MAX_WAIT_MS = 200;

describe('draining a request server', () => {
  let frontEnd: FrontEnd;
  afterEach(() => {
    frontEnd.stop();
  });

  // Guards against a stop that cuts off a request, or that waits without end for idle connections.
  it('should answer what arrives on open connections, and close the others at the end', async () => {
    frontEnd = await startFrontEnd({ respond: sendAnswer });
    const { server } = frontEnd;
    const [busy, idle] = [frontEnd.openClient(), frontEnd.openClient()];
    await waitUntil('both are accepted', () => server.budget.connections.size === 2);
    const drained = server.drain(MAX_WAIT_MS);
    busy.socket.write('GET /stock/1 HTTP/1.1\r\nHost: shop\r\ntest-id: r1\r\n\r\n');
    await waitUntil('the request is answered', busy.isClosed);
    expect([busy.readText().includes('Connection: close'), idle.isClosed()]).toEqual([true, false]);
    await drained;
    await waitUntil('the idle connection is closed', idle.isClosed);
  });
});
