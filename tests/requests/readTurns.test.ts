import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { sendAnswer, startFrontEnd } from '../fixtures/frontEnd.js';
import type { FrontEnd } from '../fixtures/frontEnd.js';
import { waitUntil } from '../fixtures/sampleFleet.js';

const CROWD_SIZE = 150;
const REQUESTS_PER_CLIENT = 200;

function formatGet(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: h\r\ntest-id: ${path}\r\n\r\n`;
}

describe('the turns of reading', () => {
  let frontEnd: FrontEnd | undefined;
  afterEach(() => {
    frontEnd?.stop();
  });

  // Guards against a client with one request that waits until each of many others was read for as long as one may be.
  it('should read a single request before most of what many clients sent at the same time', async () => {
    frontEnd = await startFrontEnd({ respond: sendAnswer, isIdempotent: () => true, maxConnections: 2 * CROWD_SIZE });
    const { passed, server, openClient } = frontEnd;
    const crowd = Array.from({ length: CROWD_SIZE }, () => openClient());
    const ordinary = openClient();
    await waitUntil('all are connected', () => server.budget.connections.size === CROWD_SIZE + 1);
    for (const { socket } of crowd) socket.write(formatGet('/crowd').repeat(REQUESTS_PER_CLIENT));
    ordinary.socket.write(formatGet('/ordinary'));
    await waitUntil('the single request was answered', () => ordinary.readText().endsWith('/ordinary'));
    const before = passed.findIndex(({ request }) => request.path === '/ordinary');
    expect(before < (CROWD_SIZE * REQUESTS_PER_CLIENT) / 20).toEqual(true);
  });

  // Guards against connections that wait to be accepted while others are read: one is accepted per turn of the event loop.
  it('should accept a connection before most of what the connections before it sent is read', async () => {
    frontEnd = await startFrontEnd({ respond: sendAnswer, isIdempotent: () => true, maxConnections: 4 * CROWD_SIZE });
    const { passed, openClient } = frontEnd;
    const crowd = Array.from({ length: 2 * CROWD_SIZE }, () => openClient());
    for (const { socket } of crowd) socket.write(formatGet('/crowd').repeat(REQUESTS_PER_CLIENT));
    const ordinary = openClient();
    ordinary.socket.write(formatGet('/ordinary'));
    await waitUntil('the last request was answered', () => ordinary.readText().endsWith('/ordinary'));
    const before = passed.findIndex(({ request }) => request.path === '/ordinary');
    expect(before < (2 * CROWD_SIZE * REQUESTS_PER_CLIENT) / 4).toEqual(true);
  });
});
