import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createFakeClock } from '../../src/core/fakeClock.js';
import { sendAnswer, startFrontEnd } from '../fixtures/frontEnd.js';
import type { FrontEnd, FrontEndOptions } from '../fixtures/frontEnd.js';
import { waitUntil } from '../fixtures/sampleFleet.js';

const MAX_HEADER_BYTES = 16_384;
const START = 'GET /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\n';
const CHUNKED = `${START.replace('GET', 'POST')}Transfer-Encoding: chunked\r\n\r\n`;

describe('limits of what clients send', () => {
  let frontEnd: FrontEnd | undefined;
  afterEach(() => {
    frontEnd?.stop();
  });
  async function start(options: FrontEndOptions = {}): Promise<FrontEnd> {
    frontEnd = await startFrontEnd(options);
    return frontEnd;
  }
  const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

  // Guards against heads within the limit that are refused because they are counted as larger than they are.
  it('should serve a head of just the limit, however many headers it has, also behind another request', async () => {
    const { openClient, passed } = await start({ respond: sendAnswer });
    const tiny = 'a:\r\n'.repeat(Math.floor((MAX_HEADER_BYTES - START.length - 2) / 4));
    const long = `X: ${'y'.repeat(MAX_HEADER_BYTES - START.length - 7)}\r\n`;
    for (const headers of [tiny, long]) openClient().socket.write(`${START}${headers}\r\n`);
    openClient().socket.write(`${START}\r\n${START}${long}\r\n`);
    await waitUntil('all requests were passed on', () => passed.length === 4);
  });

  const endless: [string, string, string, number][] = [
    ['headers', START, 'ab:cd\r\n', 431],
    ['a header', `${START}X: `, 'x', 431],
    ['spaces in front of a header value', `${START}X:`, ' ', 431],
    ['empty lines', '', '\r\n', 431],
    ['a path', 'GET /', 'x', 431],
    ['a chunk extension', `${CHUNKED}1;`, 'x', 400],
    ['digits of a chunk size', CHUNKED, '0', 400],
    ['trailers', `${CHUNKED}0\r\n`, 'ab:cd\r\n', 400],
  ];
  for (const [what, head, part, status] of endless) {
    // Guards against a connection that is read for as long as its client sends, at the expense of all others.
    it(`should refuse ${what} without end once they are too large, before they end`, async () => {
      const { openClient, passed } = await start();
      const client = openClient();
      client.socket.write(head + part.repeat(80_000 / part.length));
      await waitUntil('the connection was closed', client.isClosed);
      expect(client.readText()).toMatchRegex(new RegExp(`^HTTP/1.1 ${status} .*Connection: close`, 's'));
      expect(passed.length).toEqual(0);
    });
  }

  it('should refuse empty lines that do not end within the time for a head', async () => {
    const clock = createFakeClock();
    const { openClient } = await start({ clock });
    const client = openClient();
    client.socket.write('\r\n\r\n');
    await wait(50);
    clock.advance(4000);
    await waitUntil('the connection was closed', client.isClosed);
    expect(client.readText()).toMatchRegex(/^HTTP\/1.1 408 /);
  });

  // Guards against one message to the target's node for each byte that a client sends as a chunk.
  it('should join tiny chunks of a streamed body', async () => {
    const { openClient, passed } = await start();
    openClient().socket.write(`${CHUNKED}${'1\r\nx\r\n'.repeat(100_000)}0\r\n\r\n`);
    const measureReceived = (): number => passed[0]?.parts.reduce((sum, part) => sum + part.length, 0) ?? 0;
    await waitUntil('the first window was passed on', () => measureReceived() >= 64 * 1024);
    passed[0]?.reply.grantBody(100_000);
    await waitUntil('the whole body was passed on', () => measureReceived() === 100_000);
    expect((passed[0]?.parts.length ?? 0) < 1000).toEqual(true);
  });

  // Guards against responses that pile up in memory because their client never reads.
  it('should take no more requests while responses are unread, and go on once they are read', async () => {
    const body = Buffer.alloc(60_000, 'b');
    const { openClient, passed, server } = await start({
      respond: ({ request, reply }) => {
        reply.answer({ status: 200, headers: ['test-id', request.requestId], body, isStreamed: false });
      },
    });
    const client = openClient();
    client.socket.pause();
    client.socket.write(`${START}\r\n`.repeat(500));
    let lastCount = -1;
    await waitUntil('no more requests are taken', () => {
      const isStill = passed.length > 0 && passed.length === lastCount;
      lastCount = passed.length;
      return isStill;
    });
    expect(passed.length < 500).toEqual(true);
    expect(server.budget.heldBytes < 500_000).toEqual(true);
    client.socket.resume();
    await waitUntil('all requests were served', () => passed.length === 500);
  });

  // Guards against many clients that each stay within the limits and together hold all memory.
  it('should close the connections that hold most once all hold more than the bound, and serve the others', async () => {
    const clock = createFakeClock();
    const { openClient, passed, evictions, server } = await start({
      clock,
      maxHeldBytes: 500_000,
      respond: sendAnswer,
    });
    const clients = Array.from({ length: 20 }, () => openClient());
    for (const { socket } of clients)
      socket.write(`${START.replace('GET', 'POST')}Content-Length: 60000\r\n\r\n${'x'.repeat(50_000)}`);
    await waitUntil('some connections were closed', () => clients.filter(({ isClosed }) => isClosed()).length >= 10);
    expect(server.budget.heldBytes <= 500_000).toEqual(true);
    openClient().socket.write(`${START}\r\n`);
    await waitUntil('another request was served', () => passed.length === 1);
    clock.advance(1000);
    expect([evictions[0]?.reason, (evictions[0]?.count ?? 0) >= 10]).toEqual(['heldBytes', true]);
  });

  // Guards against ordinary clients that find no connection left because others hold them without a request.
  it('should close a connection without a request for a new one when there are as many as allowed', async () => {
    const { openClient, passed, server } = await start({ maxConnections: 10 });
    const busy = openClient();
    busy.socket.write(`${START}\r\n`);
    await waitUntil('the first request was passed on', () => passed.length === 1);
    const silent = Array.from({ length: 30 }, () => openClient());
    await waitUntil('silent connections were closed', () => silent.filter(({ isClosed }) => isClosed()).length >= 20);
    openClient().socket.write(`${START}\r\n`);
    await waitUntil('another request was passed on', () => passed.length === 2);
    expect([busy.isClosed(), server.budget.connections.size <= 10]).toEqual([false, true]);
  });

  // Guards against received bytes that no bound counts until the connection has its turn to be read.
  it('should count what connections that wait for their turn have received', async () => {
    let openAtFirst: number | undefined;
    const { openClient, server } = await start({
      maxHeldBytes: 500_000,
      respond: (passed) => {
        openAtFirst ??= server.budget.connections.size;
        sendAnswer(passed);
      },
    });
    const clients = Array.from({ length: 40 }, () => openClient());
    await waitUntil('all are connected', () => server.budget.connections.size === clients.length);
    for (const { socket } of clients) socket.write(`${START}\r\n`.repeat(2000));
    await waitUntil('a request was passed on', () => openAtFirst !== undefined);
    expect((openAtFirst ?? 0) <= 20).toEqual(true);
  });
});
