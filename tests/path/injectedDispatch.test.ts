import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { fastify } from 'fastify';
import type { FastifyInstance } from 'fastify';
import { createSystemClock } from '../../src/core/clock.js';
import { createInjectedDispatch } from '../../src/http/injectedDispatch.js';
import { startRequestServer } from '../../src/http/requestServer.js';
import type { RequestServer } from '../../src/http/requestServer.js';
import { openTestClient } from '../fixtures/frontEnd.js';
import type { TestClient } from '../fixtures/frontEnd.js';
import { waitUntil } from '../fixtures/sampleFleet.js';

const HEAD_END = 'HTTP/1.1\r\nHost: h\r\n';

describe('requests that are injected into fastify', () => {
  const cleanups: (() => void)[] = [];
  afterEach(() => {
    for (const run of cleanups.splice(0)) run();
  });

  async function start(
    app: FastifyInstance,
  ): Promise<{ server: RequestServer; faults: unknown[]; client: TestClient }> {
    const faults: unknown[] = [];
    await app.ready();
    const server = await startRequestServer({
      listen: '127.0.0.1:0',
      clock: createSystemClock(),
      maxConnections: 10,
      maxHeldBytes: 1_000_000,
      reportEvictions: () => undefined,
      readLimits: () => undefined,
      isIdempotent: () => false,
      accept: createInjectedDispatch(app, (error) => faults.push(error)),
    });
    const client = openTestClient(server.address);
    cleanups.push(server.closeAll, () => client.socket.destroy());
    return { server, faults, client };
  }

  // Guards against calls that go on for callers who have closed their connections.
  it('should close the response of a request whose client has gone', async () => {
    let isReceived = false;
    const closed: boolean[] = [];
    const app = fastify();
    app.get('/slow', (_request, reply) => {
      isReceived = true;
      reply.raw.once('close', () => closed.push(reply.raw.writableFinished));
    });
    const { client } = await start(app);
    client.socket.write(`GET /slow ${HEAD_END}\r\n`);
    await waitUntil('the request was received', () => isReceived);
    client.socket.destroy();
    await waitUntil('the response was closed', () => closed.length > 0);
    expect(closed).toEqual([false]);
  });

  // Guards against a request without an answer, or with one that claims that it has not run.
  it('should report an injection that fails and end its connection without a response', async () => {
    const app = fastify();
    await app.ready();
    const failing = Object.create(app, {
      ready: { value: () => Promise.resolve() },
      inject: { value: () => Promise.reject(new TypeError('odd')) },
    }) as FastifyInstance;
    const { client, faults } = await start(failing);
    client.socket.write(`GET /any ${HEAD_END}\r\n`);
    await waitUntil('the connection was closed', client.isClosed);
    expect([client.readText(), faults.map(String)]).toEqual(['', ['TypeError: odd']]);
  });

  // Guards against the values of a repeated header, or of one named as a property of all objects, getting lost.
  it('should pass on headers and body as received, and paths that begin with two slashes', async () => {
    const app = fastify();
    app.removeAllContentTypeParsers();
    app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
      done(null, body);
    });
    app.post('//other/path', ({ headers, body, ip }) => {
      const own = ['host', 'x', 'constructor'].map((name) => Object.getOwnPropertyDescriptor(headers, name));
      return [...own.map((property) => property?.value as unknown), String(body), ip];
    });
    const { client } = await start(app);
    client.socket.write(
      `POST //other/path ${HEAD_END}X: 1\r\nx: 2\r\nconstructor: c\r\n` +
        'Content-Type: a/b\r\nContent-Length: 2\r\nAuthorization: k\r\n\r\nab',
    );
    await waitUntil('the response was sent', () => client.readText().endsWith(']'));
    expect(JSON.parse(client.readText().split('\r\n\r\n')[1] ?? '')).toEqual(['h', '1, 2', 'c', 'ab', '127.0.0.1']);
  });
});
