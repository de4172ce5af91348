import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import type { TargetNotice } from '../../src/control/requests/runPort.js';
import { MAX_RATE_PER_SECOND } from '../../src/schema/nodeMember.js';
import { buildRunRequest, collectRun } from '../fixtures/requests.js';
import { waitUntil } from '../fixtures/sampleFleet.js';
import { createTargetSends, OK_HEAD } from '../fixtures/targetSends.js';

describe('target sender', () => {
  const { startTarget, createSend, createSender, stop } = createTargetSends();
  afterEach(stop);

  it('should pass on a complete answer with its end-to-end headers', async () => {
    const target = await startTarget((socket) => {
      socket.write(
        `${OK_HEAD}test-load: 1,0,4\r\nX-Kept: yes\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nbody`,
      );
    });
    const end = await createSender()(target);
    expect(end).toEqual({
      type: 'answered',
      answer: {
        status: 200,
        headers: ['test-id', 'r1', 'test-signature', 's', 'X-Kept', 'yes', 'Content-Length', '4'],
        body: expect.anything(),
        isStreamed: false,
      },
      body: 'body',
      wasStreamed: false,
    });
  });

  // Guards against header names and bodies that lie in the buffer into which later bytes are read.
  it('should pass on answers that arrive byte by byte on two connections at once', async () => {
    const target = await startTarget((socket) => {
      const bytes = `${OK_HEAD}X-Kept: yes\r\nContent-Length: 4\r\n\r\nbody`;
      const sendFrom = (index: number): void => {
        if (index === bytes.length) return;
        socket.write(bytes.charAt(index));
        setImmediate(sendFrom, index + 1);
      };
      socket.setNoDelay(true);
      sendFrom(0);
    });
    const send = createSender();
    const ends = await Promise.all([send(target), send(target)]);
    const headers = ['test-id', 'r1', 'test-signature', 's', 'X-Kept', 'yes', 'Content-Length', '4'];
    const expected = {
      type: 'answered' as const,
      answer: { status: 200, headers, body: expect.anything(), isStreamed: false },
      body: 'body',
      wasStreamed: false,
    };
    expect(ends).toEqual([expected, expected]);
  });

  const silent: TargetNotice = {
    ratePerSecond: undefined,
    isLeaving: false,
    unreadableLimit: undefined,
    pace: undefined,
  };
  const notices: [string, string, TargetNotice][] = [
    ['no limit', '', { ratePerSecond: undefined, isLeaving: false, unreadableLimit: undefined, pace: undefined }],
    [
      'a limit',
      'Test-Limit: 19.5\r\n',
      { ratePerSecond: 19.5, isLeaving: false, unreadableLimit: undefined, pace: undefined },
    ],
    [
      'a limit of 0',
      'test-limit: 0\r\n',
      { ratePerSecond: 0, isLeaving: false, unreadableLimit: undefined, pace: undefined },
    ],
    [
      'a negative limit',
      'test-limit: -3\r\n',
      { ratePerSecond: undefined, isLeaving: false, unreadableLimit: '-3', pace: undefined },
    ],
    [
      'a text',
      'test-limit: some\r\n',
      { ratePerSecond: undefined, isLeaving: false, unreadableLimit: 'some', pace: undefined },
    ],
    [
      'several limits, of which the lowest holds',
      'test-limit: 30\r\ntest-limit: 20, x\r\n',
      { ratePerSecond: 20, isLeaving: false, unreadableLimit: '30,20, x', pace: undefined },
    ],
    // Infinity cannot be published: no node would read the record of this one.
    [
      'a limit beyond all numbers',
      `test-limit: ${'9'.repeat(400)}\r\n`,
      { ratePerSecond: MAX_RATE_PER_SECOND, isLeaving: false, unreadableLimit: undefined, pace: undefined },
    ],
    ['its pace', 'test-load: 3,0,8,250\r\n', { ...silent, pace: 2.5 }],
    ['a load without a pace', 'test-load: 3,0,8\r\n', silent],
    ['a negative pace', 'test-load: 3,0,8,-100\r\n', silent],
    ['a text as its pace', 'test-load: 3,0,8,fast\r\n', silent],
    [
      'that it leaves',
      'test-leaving: 1\r\n',
      { ratePerSecond: undefined, isLeaving: true, unreadableLimit: undefined, pace: undefined },
    ],
  ];
  for (const [name, header, notice] of notices) {
    it(`should report at the head of an answer what the target says about itself: ${name}`, async () => {
      const target = await startTarget((socket) => {
        socket.write(`${OK_HEAD}${header}Content-Length: 4\r\n\r\nbo`);
      });
      const run = collectRun();
      const send = createSend();
      const handle = send({ address: target.address, targetId: 'i-1', request: buildRunRequest() }, run.events);
      await waitUntil('the notice', () => run.notices.length > 0);
      handle.cancel();
      expect(run.notices).toEqual([notice]);
    });
  }

  // Guards against a limit that is taken over from another target which has the address now.
  it('should report nothing from an answer of another target', async () => {
    const target = await startTarget((socket) => {
      socket.write('HTTP/1.1 421 No\r\ntest-id: r1\r\ntest-limit: 5\r\nContent-Length: 0\r\n\r\n');
    });
    const run = collectRun();
    createSend()({ address: target.address, targetId: 'i-1', request: buildRunRequest() }, run.events);
    expect((await run.end).type).toEqual('failed');
    expect(run.notices).toEqual([]);
  });

  it('should set the headers with the target, the caller and the time left', async () => {
    const target = await startTarget((socket) => {
      socket.write(`${OK_HEAD}Content-Length: 0\r\n\r\n`);
    });
    await createSender()(target, { timeLeftMs: 812.6 });
    expect(target.received[0] ?? '').toMatchRegex(/^GET \/stock\/1 HTTP\/1.1\r\n/);
    expect(target.received[0] ?? '').toMatchRegex(/host: shop.example\r\n/i);
    expect(target.received[0] ?? '').toMatchRegex(/test-time-left: 812\r\n/);
    expect(target.received[0] ?? '').toMatchRegex(/test-target: i-1\r\n/);
    expect(target.received[0] ?? '').toMatchRegex(/test-caller: orders\r\n/);
    expect(target.received[0] ?? '').not.toMatchRegex(/test-organisation/);
  });

  it('should name the organisation that sent the request', async () => {
    const target = await startTarget((socket) => {
      socket.write(`${OK_HEAD}Content-Length: 0\r\n\r\n`);
    });
    await createSender()(target, { organisation: 'acme' });
    expect(target.received[0] ?? '').toMatchRegex(/test-organisation: acme\r\n/);
  });

  it('should send a streamed body in chunks if its length is unknown', async () => {
    const target = await startTarget((socket, chunk) => {
      if (chunk.includes('0\r\n\r\n')) socket.write(`${OK_HEAD}Content-Length: 0\r\n\r\n`);
    });
    const send = createSend();
    const run = collectRun();
    const request = buildRunRequest({ method: 'POST', isStreamed: true });
    const handle = send({ address: target.address, targetId: 'i-1', request }, run.events);
    handle.sendBody(Buffer.from('seals'), false);
    handle.sendBody(new Uint8Array(), true);
    expect((await run.end).type).toEqual('answered');
    expect(target.received[0] ?? '').toMatchRegex(/Transfer-Encoding: chunked\r\n\r\n5\r\nseals\r\n0\r\n\r\n$/);
    expect(run.granted).toEqual([5]);
  });

  it('should report that a request has not run when the target does not listen', async () => {
    const target = await startTarget(() => undefined);
    target.stop();
    const end = await createSender()(target);
    expect(end).toLooseEqual({
      type: 'failed',
      failure: { kind: 'unreachable', ran: 'no', hasArrived: false, detail: expect.a(String) },
    });
  });

  it('should report that a request that the target rejected has not run', async () => {
    const target = await startTarget((socket) => {
      socket.write('HTTP/1.1 503 Busy\r\ntest-id: r1\r\ntest-not-run: 1\r\nContent-Length: 0\r\n\r\n');
    });
    const end = await createSender()(target);
    expect(end).toLooseEqual({
      type: 'failed',
      failure: { kind: 'rejected', ran: 'no', hasArrived: true, detail: expect.a(String) },
    });
  });

  it('should stream a long answer', async () => {
    const body = 'x'.repeat(100_000);
    const target = await startTarget((socket) => {
      socket.write(`${OK_HEAD}Content-Length: ${body.length}\r\n\r\n${body}`);
    });
    const end = await createSender()(target);
    expect(end.type === 'answered' && end.wasStreamed && end.body === body).toEqual(true);
  });
});
