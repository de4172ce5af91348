import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import type { ClientRequest } from '../../src/control/requests/entry.js';
import { createFakeClock } from '../../src/core/fakeClock.js';
import type { RequestServer } from '../../src/http/requestServer.js';
import { openTestClient, sendAnswer, startFrontEnd } from '../fixtures/frontEnd.js';
import type { FrontEnd, FrontEndOptions, PassedRequest, TestClient } from '../fixtures/frontEnd.js';
import { waitUntil } from '../fixtures/sampleFleet.js';

const limits = { maxHeaderBytes: 2000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 };

function sendOk(passed: PassedRequest): void {
  sendAnswer(passed, 'ok');
}

describe('request server', () => {
  const cleanups: (() => void)[] = [];
  afterEach(() => {
    for (const run of cleanups.splice(0)) run();
  });

  async function start(options: FrontEndOptions): Promise<FrontEnd> {
    const frontEnd = await startFrontEnd({ limits, ...options });
    cleanups.push(frontEnd.stop);
    return frontEnd;
  }
  async function startServer(
    respond: (accepted: PassedRequest) => void = () => undefined,
  ): Promise<{ server: RequestServer; accepted: PassedRequest[] }> {
    const { server, passed } = await start({ respond });
    return { server, accepted: passed };
  }
  function openClient(server: RequestServer): TestClient {
    const client = openTestClient(server.address);
    cleanups.push(() => client.socket.destroy());
    return client;
  }

  // Guards against the key of an organisation, or the name that a client claims, reaching a target.
  it('should separate the key and the sender headers from the forwarded ones', async () => {
    const { server, accepted } = await startServer(sendOk);
    const { socket } = openClient(server);
    socket.write(
      'GET /stock/1 HTTP/1.1\r\nHost: shop\r\ntest-id: r1\r\nAuthorization: bearer k-1\r\n' +
        'Test-Organisation: forged\r\nX-Kept: 1\r\n\r\n',
    );
    await waitUntil('the request was accepted', () => accepted.length === 1);
    const { key, headers, identityHeaders } = accepted[0]?.request ?? {};
    expect([key, headers, identityHeaders]).toEqual([
      'k-1',
      ['Host', 'shop', 'X-Kept', '1'],
      ['Authorization', 'bearer k-1', 'Test-Organisation', 'forged'],
    ]);
  });

  it('should pass on method, path, host, time left and end-to-end headers, without the headers that only nodes set', async () => {
    const { server, accepted } = await startServer(sendOk);
    const client = openClient(server);
    client.socket.write(
      'GET /stock/1?full=1 HTTP/1.1\r\nHost: shop.example\r\ntest-id: r1\r\ntest-time-left: 750\r\n' +
        'test-caller: forged\r\ntest-target: forged\r\nConnection: keep-alive, x-hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n\r\n',
    );
    await waitUntil('the answer arrived', () => client.readText().includes('ok'));
    const { method, path, host, timeLeftMs, headers, requestId } = accepted[0]?.request ?? ({} as ClientRequest);
    expect({ method, path, host, timeLeftMs, headers, requestId }).toEqual({
      method: 'GET',
      path: '/stock/1?full=1',
      host: 'shop.example',
      timeLeftMs: 750,
      headers: ['Host', 'shop.example', 'X-Kept', '2'],
      requestId: 'r1',
    });
  });

  it('should serve several requests on one connection, including pipelined ones', async () => {
    const { server, accepted } = await startServer(sendOk);
    const client = openClient(server);
    client.socket.write(
      'GET /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\ntest-id: r2\r\n\r\n',
    );
    await waitUntil('both answers arrived', () => client.readText().match(/200 OK/g)?.length === 2);
    expect(accepted.map(({ request }) => request.path)).toEqual(['/a', '/b']);
  });

  // Guards against a body after a response to HEAD, which the client reads as its next response.
  it('should refuse a HEAD request without a body, and serve the next request on the connection', async () => {
    const { server, accepted } = await startServer((entry) => {
      if (entry.request.method === 'HEAD') entry.reply.refuse({ kind: 'noTarget', detail: 'none' });
      else sendOk(entry);
    });
    const client = openClient(server);
    client.socket.write('HEAD /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\n\r\n');
    await waitUntil('the refusal arrived', () => client.readText().endsWith('\r\n\r\n'));
    client.socket.write('GET /b HTTP/1.1\r\nHost: h\r\ntest-id: r2\r\n\r\n');
    await waitUntil('the answer arrived', () => client.readText().endsWith('ok'));
    expect(accepted.map(({ request }) => request.method)).toEqual(['HEAD', 'GET']);
    expect(/^HTTP\/1.1 503[^{}]*\r\n\r\nHTTP\/1.1 200/.test(client.readText())).toEqual(true);
  });

  it('should pass on a short body as a whole, whether sent with a length or in chunks', async () => {
    const { server, accepted } = await startServer(sendOk);
    const client = openClient(server);
    client.socket.write('POST /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\nContent-Length: 4\r\n\r\nbody');
    await waitUntil('the first request was accepted', () => accepted.length === 1);
    client.socket.write(
      'POST /b HTTP/1.1\r\nHost: h\r\ntest-id: r2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n',
    );
    await waitUntil('the second request was accepted', () => accepted.length === 2);
    expect(accepted.map(({ request }) => Buffer.from(request.body ?? []).toString())).toEqual(['body', 'body']);
  });

  it('should stream a long body and read no more than the granted bytes', async () => {
    const { server, accepted } = await startServer();
    const client = openClient(server);
    const body = Buffer.alloc(400_000, 'x');
    client.socket.write(`POST /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\nContent-Length: ${body.length}\r\n\r\n`);
    client.socket.write(body);
    await waitUntil('the request was accepted', () => accepted.length === 1);
    await new Promise((resolve) => setTimeout(resolve, 100));
    const measureReceived = (): number => accepted[0]?.parts.reduce((sum, part) => sum + part.length, 0) ?? 0;
    expect(measureReceived() < 300_000).toEqual(true);
    for (let granted = 0; granted < 400_000; granted += 100_000) accepted[0]?.reply.grantBody(100_000);
    await waitUntil('the body ended', () => accepted[0]?.hasEnded === true);
    expect(measureReceived()).toEqual(body.length);
  });

  it('should cancel a request when its client disconnects', async () => {
    const { server, accepted } = await startServer();
    const client = openClient(server);
    client.socket.write('GET /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\n\r\n');
    await waitUntil('the request was accepted', () => accepted.length === 1);
    client.socket.destroy();
    await waitUntil('the request was cancelled', () => accepted[0]?.wasCancelled === true);
  });

  it('should close the connection after an aborted answer, so that it does not look complete', async () => {
    const { server } = await startServer(({ reply, request }) => {
      const headers = ['test-id', request.requestId, 'Content-Length', '100'];
      reply.answer({ status: 200, headers, body: Buffer.from('part'), isStreamed: true });
      setTimeout(() => {
        reply.abort();
      }, 20);
    });
    const client = openClient(server);
    client.socket.write('GET /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\n\r\n');
    await waitUntil('the connection was closed', client.isClosed);
    expect(client.readText().endsWith('part')).toEqual(true);
  });

  it('should send a streamed answer without a length in chunks', async () => {
    const { server } = await startServer(({ reply, request }) => {
      reply.answer({
        status: 200,
        headers: ['test-id', request.requestId],
        body: Buffer.from('one'),
        isStreamed: true,
      });
      reply.part(Buffer.from('two'), false);
      reply.part(new Uint8Array(), true);
    });
    const client = openClient(server);
    client.socket.write('GET /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\n\r\n');
    await waitUntil('the answer ended', () => client.readText().endsWith('0\r\n\r\n'));
    expect(client.readText()).toMatchRegex(/transfer-encoding: chunked/i);
  });

  it('should send Retry-After only with refusals of requests that have not run', async () => {
    const { server } = await startServer(({ reply, request }) => {
      if (request.path === '/busy') reply.refuse({ kind: 'overloaded', detail: 'test', retryAfterMs: 250 });
      else reply.refuse({ kind: 'failed', detail: 'test' });
    });
    const client = openClient(server);
    client.socket.write(
      'GET /busy HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\n\r\nGET /lost HTTP/1.1\r\nHost: h\r\ntest-id: r2\r\n\r\n',
    );
    await waitUntil('both answers arrived', () => client.readText().match(/HTTP\/1.1/g)?.length === 2);
    const [busy = '', lost = ''] = client.readText().split(/(?=HTTP\/1.1 502)/);
    expect([/^HTTP\/1.1 503/.test(busy), /Retry-After: 0.250/.test(busy), /Retry-After/.test(lost)]).toEqual([
      true,
      true,
      false,
    ]);
  });

  const malformed: [string, string, number][] = [
    ['without an id', 'GET /a HTTP/1.1\r\nHost: h\r\n\r\n', 400],
    ['with an absolute URL', 'GET http://x/ HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\n\r\n', 400],
    ['that is not HTTP', 'NOT HTTP\r\n\r\n', 400],
    [
      'with two lengths',
      'POST /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
      400,
    ],
    [
      'with a length and chunks',
      'POST /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
      400,
    ],
    ['with large headers', `GET /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\nX: ${'y'.repeat(3000)}\r\n\r\n`, 431],
    [
      'with a body above the limit',
      'POST /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\nContent-Length: 600000\r\n\r\n',
      413,
    ],
  ];
  for (const [what, text, status] of malformed) {
    it(`should answer a request ${what} with ${status} and close the connection`, async () => {
      const { server, accepted } = await startServer(sendOk);
      const client = openClient(server);
      client.socket.write(text);
      await waitUntil('the connection was closed', client.isClosed);
      expect(client.readText()).toMatchRegex(new RegExp(`^HTTP/1.1 ${status} `));
      expect(accepted.length).toEqual(0);
    });
  }

  // A reset would discard the response before the client has read it.
  it('should let a client read the refusal while it still sends its body', async () => {
    const { server } = await startServer();
    const client = openClient(server);
    client.socket.write('POST /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\nContent-Length: 600000\r\n\r\n');
    client.socket.write(Buffer.alloc(600_000));
    await waitUntil('the connection was closed', client.isClosed);
    expect(client.readText()).toMatchRegex(/^HTTP\/1.1 413 /);
  });

  it('should answer pipelined requests in their order', async () => {
    const { server, accepted } = await startServer();
    const client = openClient(server);
    client.socket.write(
      'GET /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\ntest-id: r2\r\n' +
        'Content-Length: 2\r\n\r\nokGET /c HTTP/1.1\r\nHost: h\r\ntest-id: r3\r\n\r\n',
    );
    for (const index of [0, 1, 2]) {
      await waitUntil('the next request was accepted', () => accepted.length === index + 1);
      await new Promise((resolve) => setTimeout(resolve, 10));
      expect(accepted.length).toEqual(index + 1);
      const entry = accepted[index];
      if (entry !== undefined) sendAnswer(entry);
    }
    await waitUntil('all answers arrived', () => client.readText().endsWith('/c'));
    expect(client.readText().match(/\/[abc]$|\/[abc](?=HTTP)/g)).toEqual(['/a', '/b', '/c']);
  });

  it('should close idle connections and refuse requests whose head does not arrive in time', async () => {
    const clock = createFakeClock();
    const { server } = await start({ clock });
    const idle = openClient(server);
    const slow = openClient(server);
    slow.socket.write('GET /a HTTP/1.1\r\nHost: h\r\n');
    await new Promise((resolve) => setTimeout(resolve, 50));
    clock.advance(limits.headerTimeoutMs + 1000);
    await waitUntil('the slow request was refused', () => slow.readText().startsWith('HTTP/1.1 408 '));
    expect(idle.isClosed()).toEqual(false);
    clock.advance(limits.idleTimeoutMs);
    await waitUntil('the idle connection was closed', idle.isClosed);
    expect(idle.readText()).toEqual('');
  });

  it('should send 100 Continue to a client that expects it', async () => {
    const { server, accepted } = await startServer(sendOk);
    const client = openClient(server);
    const head = 'POST /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n';
    client.socket.write(head);
    await waitUntil('100 Continue arrived', () => client.readText().startsWith('HTTP/1.1 100 Continue\r\n\r\n'));
    client.socket.write('body');
    await waitUntil('the answer arrived', () => client.readText().endsWith('ok'));
    expect(Buffer.from(accepted[0]?.request.body ?? []).toString()).toEqual('body');
  });

  it('should accept any method and more headers than one parser event carries', async () => {
    const { server, accepted } = await startServer(sendOk);
    const client = openClient(server);
    const methods = ['GET', 'PUT', 'PATCH', 'DELETE', 'OPTIONS', 'PURGE', 'REPORT', 'LINK'];
    const many = Array.from({ length: 60 }, (_, index) => `X-${index}: ${index}\r\n`).join('');
    for (const method of methods) client.socket.write(`${method} /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\n${many}\r\n`);
    await waitUntil('all requests were accepted', () => accepted.length === methods.length);
    expect(accepted.map(({ request }) => request.method)).toEqual(methods);
    expect(accepted.map(({ request }) => request.headers.length)).toEqual(methods.map(() => 122));
  });

  it('should close each connection after its response once a stop was announced', async () => {
    const { server } = await startServer(sendOk);
    server.announceStop();
    const client = openClient(server);
    client.socket.write('GET /a HTTP/1.1\r\nHost: h\r\ntest-id: r1\r\n\r\n');
    await waitUntil('the connection was closed', client.isClosed);
    expect(client.readText()).toMatchRegex(/Connection: close/);
  });
});
