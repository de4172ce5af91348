import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { request } from 'undici';
import type { StartedProcess } from '../../src/standins/processes.js';
import { buildSettings, sendBytes, startDaemonProcess } from '../fixtures/daemonProcess.js';

const KIBIBYTE = 1024;

describe('malformed HTTP requests', () => {
  let node: StartedProcess;
  const getAddress = (port: string): string => node.addresses[port] ?? '';

  const send = async (port: string, path: string, options: Parameters<typeof request>[1] = {}) => {
    const response = await request(`http://${getAddress(port)}${path}`, { method: 'POST', ...options });
    const { failure } = (await response.body.json()) as { failure: { kind: string; ran?: string } };
    return { status: response.statusCode, contentType: response.headers['content-type'], failure };
  };
  const parseRawAnswer = (text: string): { status: number; kind: string | undefined } => {
    const [head = '', body = ''] = text.split('\r\n\r\n');
    const { failure } = JSON.parse(body) as { failure?: { kind: string } };
    return { status: Number(head.split(' ')[1]), kind: failure?.kind };
  };

  before(async () => {
    node = await startDaemonProcess(buildSettings({ maxCallerConnections: 8 }));
  });
  after(async () => {
    await node.stop();
  });

  const cases = [
    { name: 'an unknown route', path: '/v1/nothing', status: 404, kind: 'routeUnknown' },
    { name: 'an unknown service', path: '/v1/call/none/op', status: 404, kind: 'unknownService' },
    { name: 'a path that is not UTF-8', path: '/v1/call/%zz/op', status: 400, kind: 'requestMalformed' },
    {
      name: 'a service name beyond 100 characters',
      path: `/v1/call/${'s'.repeat(200)}/op`,
      status: 400,
      kind: 'requestMalformed',
    },
    {
      name: 'a body above the limit',
      path: '/v1/call/a/b',
      body: 'x'.repeat(257 * KIBIBYTE),
      status: 413,
      kind: 'requestTooLarge',
    },
    {
      name: 'a deadline that is not a number',
      path: '/v1/call/a/b',
      headers: { 'deadline-ms': 'soon' },
      status: 400,
      kind: 'requestMalformed',
    },
    {
      name: 'a negative deadline',
      path: '/v1/call/a/b',
      headers: { 'deadline-ms': '-1' },
      status: 400,
      kind: 'requestMalformed',
    },
    {
      name: 'a long caller id',
      path: '/v1/call/a/b',
      headers: { 'caller-id': 'c'.repeat(256) },
      status: 400,
      kind: 'requestMalformed',
    },
    {
      name: 'a long ticket',
      path: '/v1/call/a/b',
      headers: { 'idempotency-key': 't'.repeat(513) },
      status: 400,
      kind: 'requestMalformed',
    },
    {
      name: 'an invalid media type',
      path: '/v1/call/a/b',
      headers: { 'content-type': 'nonsense' },
      body: 'x',
      status: 400,
      kind: 'requestMalformed',
    },
    {
      name: 'an internal token',
      path: '/v1/call/a/b',
      headers: { 'hemlock-call': 'x' },
      status: 400,
      kind: 'internalField',
    },
    {
      name: 'an internal field in capitals',
      path: '/v1/call/a/b',
      headers: { 'Hemlock-Deadline-Ms': '9' },
      status: 400,
      kind: 'internalField',
    },
    {
      name: 'any other internal field',
      path: '/v1/call/a/b',
      headers: { 'hemlock-worth': '9' },
      status: 400,
      kind: 'internalField',
    },
  ];
  for (const { name, path, status, kind, ...rest } of cases) {
    it(`should refuse ${name} with a typed failure`, async () => {
      const answer = await send('caller', path, rest);
      expect(answer).toEqual({
        status,
        contentType: expect.includes('application/json'),
        failure: expect.subset({ kind, ran: 'no' }),
      });
    });
  }

  const rawCases = [
    {
      name: 'headers above 16 KiB',
      bytes: `GET / HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(17 * KIBIBYTE)}\r\n\r\n`,
      status: 431,
      kind: 'headersTooLarge',
    },
    { name: 'bytes that are not HTTP', bytes: '\x16\x03\x01\x02\x00\x01\x00', status: 400, kind: 'requestMalformed' },
    {
      name: 'two content lengths',
      bytes: 'POST /v1/call/a/b HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nxx',
      status: 400,
      kind: 'requestMalformed',
    },
    {
      name: 'both a content length and chunked encoding',
      bytes:
        'POST /v1/call/a/b HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
      status: 400,
      kind: 'requestMalformed',
    },
    {
      name: 'a chunk without a size',
      bytes: 'POST /v1/call/a/b HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
      status: 400,
      kind: 'requestMalformed',
    },
  ];
  for (const { name, bytes, status, kind } of rawCases) {
    for (const port of ['caller', 'local', 'operator']) {
      it(`should refuse ${name} on the ${port} port with a typed failure`, async () => {
        expect(parseRawAnswer(await sendBytes(getAddress(port), bytes))).toEqual({ status, kind });
      });
    }
  }

  const announcements = [
    { name: 'malformed JSON', body: '{' },
    { name: 'an empty object', body: '{}' },
    {
      name: 'an unknown state',
      body: JSON.stringify({ service: 'a', address: 'http://127.0.0.1:1', state: 'odd', incarnation: 'i' }),
    },
    {
      name: 'an address with a path',
      body: JSON.stringify({ service: 'a', address: 'http://127.0.0.1:1/x', state: 'ready', incarnation: 'i' }),
    },
    // Guards against a call to an address that the client cannot parse, which throws where nothing catches.
    ...['127.0.0.1:65536', '127.0.0.1:-1', '1.2.3.4.5:80', 'a b:80', '127.0.0.1:1?x', '127.0.0.1:1#x', '[::1'].map(
      (text) => ({
        name: `the address ${text}`,
        body: JSON.stringify({ service: 'a', address: `http://${text}`, state: 'ready', incarnation: 'i' }),
      }),
    ),
    {
      name: 'an unknown field',
      body: JSON.stringify({ service: 'a', address: 'http://127.0.0.1:1', state: 'ready', incarnation: 'i', limit: 9 }),
    },
  ];
  for (const { name, body } of announcements) {
    it(`should refuse an announcement with ${name}`, async () => {
      const answer = await send('local', '/v1/announce', { body });
      expect(answer).toEqual({
        status: 400,
        contentType: expect.includes('application/json'),
        failure: expect.subset({ kind: 'announcementInvalid' }),
      });
    });
  }

  it('should refuse a call token on the local port that does not belong to a running call', async () => {
    const answer = await send('local', '/v1/call/a/b', { headers: { 'hemlock-call': 'guessed' } });
    expect(answer).toEqual(expect.subset({ status: 403, failure: expect.subset({ kind: 'callTokenInvalid' }) }));
  });

  it('should refuse a malformed cursor on the operator port', async () => {
    const answer = await send('operator', '/events?from=x', { method: 'GET' });
    expect(answer).toEqual(expect.subset({ status: 400, failure: expect.subset({ kind: 'requestMalformed' }) }));
  });

  it('should close excess and incomplete connections, and serve a later one', async () => {
    const halfRequest = 'POST /v1/call/a/b HTTP/1.1\r\nhost: a\r\n';
    const answers = await Promise.all(Array.from({ length: 12 }, () => sendBytes(getAddress('caller'), halfRequest)));
    expect(answers.every((answer) => answer === '')).toEqual(true);
    const answer = await send('caller', '/v1/call/none/op');
    expect(answer.status).toEqual(404);
  });

  it('should still be running after all malformed requests', async () => {
    const response = await request(`http://${getAddress('operator')}/health`);
    expect(response.statusCode).toEqual(200);
    await response.body.dump();
    expect(node.child.exitCode).toEqual(null);
  });
});
