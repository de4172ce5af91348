import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { sendAnswer, startFrontEnd } from '../fixtures/frontEnd.js';
import type { FrontEnd, FrontEndOptions, TestClient } from '../fixtures/frontEnd.js';
import { waitUntil } from '../fixtures/sampleFleet.js';

function formatGet(path: string, headers = ''): string {
  return `GET ${path} HTTP/1.1\r\nHost: h\r\ntest-id: ${path}\r\n${headers}\r\n`;
}

function formatPost(path: string, body = 'body'): string {
  return `POST ${path} HTTP/1.1\r\nHost: h\r\ntest-id: ${path}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

describe('pipelined requests', () => {
  let frontEnd: FrontEnd | undefined;
  afterEach(() => {
    frontEnd?.stop();
  });
  /** Requests are idempotent unless their path begins with `/order`. */
  async function start(options: FrontEndOptions = {}): Promise<FrontEnd> {
    frontEnd = await startFrontEnd({ isIdempotent: ({ path }) => !path.startsWith('/order'), ...options });
    return frontEnd;
  }
  const listPaths = (): string[] => (frontEnd?.passed ?? []).map(({ request }) => request.path);
  const listCancelled = (): string[] =>
    (frontEnd?.passed ?? []).filter(({ wasCancelled }) => wasCancelled).map(({ request }) => request.path);
  const respond = (path: string): void => {
    const found = frontEnd?.passed.find(({ request }) => request.path === path);
    if (found !== undefined) sendAnswer(found);
  };
  const waitForPaths = (paths: string[]): Promise<void> =>
    waitUntil(`${paths.join(' ')} were passed on`, () => listPaths().join(' ') === paths.join(' '));
  const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
  const listBodies = (client: TestClient): string[] =>
    [...client.readText().matchAll(/\r\n\r\n(\/[a-z0-9]+)/g)].map(([, body]) => body ?? '');

  it('should run idempotent requests side by side, and send the responses in the order of the requests', async () => {
    const { openClient } = await start();
    const client = openClient();
    client.socket.write(formatGet('/a') + formatGet('/b') + formatGet('/c'));
    await waitForPaths(['/a', '/b', '/c']);
    respond('/c');
    respond('/b');
    await wait(30);
    expect(client.readText()).toEqual('');
    respond('/a');
    await waitUntil('all responses arrived', () => listBodies(client).length === 3);
    expect(listBodies(client)).toEqual(['/a', '/b', '/c']);
  });

  it('should run at most 8 requests of a connection at the same time', async () => {
    const { openClient, passed } = await start();
    const client = openClient();
    const paths = Array.from({ length: 20 }, (_, index) => `/r${index}`);
    client.socket.write(paths.map((path) => formatGet(path)).join(''));
    await waitForPaths(paths.slice(0, 8));
    await wait(30);
    expect(passed.length).toEqual(8);
    respond('/r0');
    await waitForPaths(paths.slice(0, 9));
    for (const path of paths) {
      await waitUntil(`${path} was passed on`, () => listPaths().includes(path));
      respond(path);
    }
    await waitUntil('all responses arrived', () => listBodies(client).length === 20);
    expect(listBodies(client)).toEqual(paths);
  });

  // Guards against a target working longer than the client waits.
  it('should pass on a request that was held back with the time that its client has left', async () => {
    const { openClient, passed } = await start();
    const client = openClient();
    client.socket.write(formatGet('/a') + formatPost('/order1').replace('Host: h', 'Host: h\r\ntest-time-left: 5000'));
    await waitForPaths(['/a']);
    await wait(60);
    respond('/a');
    await waitForPaths(['/a', '/order1']);
    const timeLeftMs = passed[1]?.request.timeLeftMs ?? 0;
    expect(timeLeftMs <= 4950 && timeLeftMs > 0).toEqual(true);
  });

  // Guards against clients that pipeline many requests taking the place of others.
  it('should run few requests ahead when many connections pipeline, and still answer all of them', async () => {
    const { openClient, passed } = await start();
    const clients = Array.from({ length: 40 }, openClient);
    const paths = Array.from({ length: 8 }, (_, index) => `/r${index}`);
    for (const { socket } of clients) socket.write(paths.map((path) => formatGet(path)).join(''));
    await waitUntil('the limit was reached', () => passed.length === 128 + clients.length);
    await wait(30);
    expect(passed.length).toEqual(128 + clients.length);
    for (let answered = 0; answered < clients.length * paths.length; answered++) {
      await waitUntil('another request was passed on', () => passed.length > answered);
      const found = passed[answered];
      if (found !== undefined) sendAnswer(found);
    }
    await waitUntil('all responses arrived', () => clients.every((client) => listBodies(client).length === 8));
    for (const client of clients) expect(listBodies(client)).toEqual(paths);
  });

  // Guards against a request that runs although its client has to send it again, as a response before it closes.
  it('should pass on a request that is not idempotent only once all requests before it are answered', async () => {
    const { openClient, passed } = await start();
    const client = openClient();
    client.socket.write(formatGet('/a') + formatGet('/b') + formatPost('/order1') + formatGet('/c'));
    await waitForPaths(['/a', '/b']);
    respond('/b');
    await wait(30);
    expect(listPaths()).toEqual(['/a', '/b']);
    respond('/a');
    await waitForPaths(['/a', '/b', '/order1', '/c']);
    expect(Buffer.from(passed[2]?.request.body ?? []).toString()).toEqual('body');
    respond('/c');
    respond('/order1');
    await waitUntil('all responses arrived', () => listBodies(client).length === 4);
    expect(listBodies(client)).toEqual(['/a', '/b', '/order1', '/c']);
  });

  it('should hold back a large body that is not idempotent, and stream it when its turn comes', async () => {
    const { openClient, passed } = await start();
    const client = openClient();
    client.socket.write(formatGet('/a') + formatPost('/order1', 'x'.repeat(200_000)));
    await waitForPaths(['/a']);
    await wait(30);
    expect(listPaths()).toEqual(['/a']);
    respond('/a');
    await waitForPaths(['/a', '/order1']);
    passed[1]?.reply.grantBody(1_000_000);
    const measureReceived = (): number => passed[1]?.parts.reduce((sum, part) => sum + part.length, 0) ?? 0;
    await waitUntil('the whole body was passed on', () => measureReceived() === 200_000);
    respond('/order1');
    await waitUntil('all responses arrived', () => listBodies(client).length === 2);
  });

  // Guards against requests that run although their client counts them as not read and sends them again.
  it('should pass on nothing behind a request whose response closes the connection', async () => {
    const { openClient } = await start();
    const client = openClient();
    client.socket.write(formatGet('/a') + formatGet('/b', 'Connection: close\r\n') + formatGet('/c'));
    await waitForPaths(['/a', '/b']);
    respond('/a');
    respond('/b');
    await waitUntil('the connection was closed', client.isClosed);
    expect([listPaths(), listBodies(client)]).toEqual([
      ['/a', '/b'],
      ['/a', '/b'],
    ]);
  });

  it('should cancel what runs ahead of a response that closes the connection', async () => {
    const { openClient, passed } = await start();
    const client = openClient();
    client.socket.write(formatGet('/a') + formatGet('/b') + formatPost('/order1'));
    await waitForPaths(['/a', '/b']);
    const headers = ['test-id', '/a', 'Content-Length', '100'];
    passed[0]?.reply.answer({ status: 200, headers, body: Buffer.from('part'), isStreamed: true });
    passed[0]?.reply.abort();
    await waitUntil('the connection was closed', client.isClosed);
    await waitUntil('the request behind was cancelled', () => listCancelled().includes('/b'));
    expect(listPaths()).toEqual(['/a', '/b']);
  });

  // A response without a length to a client of HTTP/1.0 ends with its connection.
  it('should close the connection after a response that only its end delimits', async () => {
    const { openClient } = await start({
      respond: ({ reply }) => {
        reply.answer({ status: 200, headers: ['test-id', 'r'], body: Buffer.from('part'), isStreamed: true });
        reply.part(new Uint8Array(), true);
      },
    });
    const client = openClient();
    client.socket.write('GET /a HTTP/1.0\r\nHost: h\r\ntest-id: r\r\nConnection: keep-alive\r\n\r\n');
    await waitUntil('the connection was closed', client.isClosed);
    expect(client.readText()).toMatchRegex(/Connection: close\r\n\r\npart$/);
  });

  it('should answer what was sent before an invalid request, then refuse it and close the connection', async () => {
    const { openClient } = await start();
    const client = openClient();
    client.socket.write(`${formatGet('/a')}${formatGet('/b')}GET /c HTTP/1.1\r\nHost: h\r\n\r\n${formatGet('/d')}`);
    await waitForPaths(['/a', '/b']);
    respond('/b');
    respond('/a');
    await waitUntil('the connection was closed', client.isClosed);
    expect([listBodies(client), listPaths()]).toEqual([
      ['/a', '/b'],
      ['/a', '/b'],
    ]);
    expect(client.readText()).toMatchRegex(/HTTP\/1.1 400 [^]*Connection: close/);
  });

  // Guards against responses that are lost because the connection is closed with an earlier one.
  it('should close the connection with the response of the last request passed on once a stop was announced', async () => {
    const { openClient, server } = await start();
    const client = openClient();
    client.socket.write(formatGet('/a') + formatGet('/b') + formatPost('/order1'));
    await waitForPaths(['/a', '/b']);
    server.announceStop();
    respond('/a');
    respond('/b');
    await waitUntil('the connection was closed', client.isClosed);
    expect([listBodies(client), listPaths()]).toEqual([
      ['/a', '/b'],
      ['/a', '/b'],
    ]);
    expect(client.readText().match(/Connection: [\w-]+/g)).toEqual(['Connection: keep-alive', 'Connection: close']);
  });

  it('should cancel all requests of a client that leaves', async () => {
    const { openClient } = await start();
    const client = openClient();
    client.socket.write(formatGet('/a') + formatGet('/b') + formatPost('/order1'));
    await waitForPaths(['/a', '/b']);
    client.socket.destroy();
    await waitUntil('all were cancelled', () => listCancelled().length === 2);
    expect(listPaths()).toEqual(['/a', '/b']);
  });

  // Guards against an interim response that the client takes for one to an earlier request.
  it('should send 100 Continue only once all requests before are answered', async () => {
    const { openClient } = await start();
    const client = openClient();
    const head = formatPost('/b', '').replace('Length: 0', 'Length: 4\r\nExpect: 100-continue');
    client.socket.write(formatGet('/a') + head);
    await waitForPaths(['/a']);
    await wait(30);
    expect(client.readText()).toEqual('');
    respond('/a');
    await waitUntil('100 Continue arrived', () => client.readText().endsWith('/aHTTP/1.1 100 Continue\r\n\r\n'));
    client.socket.write('body');
    await waitForPaths(['/a', '/b']);
  });

  // Guards against responses that wait in order and are counted by no bound.
  it('should count responses that wait for an earlier one, and take no more requests when they are many', async () => {
    const { openClient, passed, server } = await start();
    const client = openClient();
    client.socket.write(formatGet('/a') + formatGet('/b') + formatGet('/c'));
    await waitForPaths(['/a', '/b', '/c']);
    for (const { request, reply } of passed.slice(1)) {
      const headers = ['test-id', request.requestId];
      reply.answer({ status: 200, headers, body: Buffer.alloc(60_000), isStreamed: false });
    }
    client.socket.write(formatGet('/d'));
    await wait(50);
    expect(server.budget.heldBytes > 120_000).toEqual(true);
    expect(listPaths()).toEqual(['/a', '/b', '/c']);
    respond('/a');
    await waitForPaths(['/a', '/b', '/c', '/d']);
  });
});
