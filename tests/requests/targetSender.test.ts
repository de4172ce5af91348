import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createSystemClock } from '../../src/core/clock.js';
import { createTargetConnectionPool } from '../../src/http/targetConnectionPool.js';
import { createTargetSender } from '../../src/http/targetSender.js';
import type { TargetNotice } from '../../src/control/requests/runPort.js';
import type { RunRequest } from '../../src/schema/linkFrame.js';
import { MAX_RATE_PER_SECOND } from '../../src/schema/nodeMember.js';
import { startRawTarget } from '../fixtures/rawTarget.js';
import type { RawTarget } from '../fixtures/rawTarget.js';
import { buildRunRequest, collectRun, testHeaderNames } from '../fixtures/requests.js';
import { waitUntil } from '../fixtures/sampleFleet.js';
import type { RunEnd } from '../fixtures/requests.js';

const OK = 'HTTP/1.1 200 OK\r\ntest-id: r1\r\ntest-signature: s\r\n';

const invalidAnswer: RunEnd = {
  type: 'failed',
  failure: { kind: 'answerInvalid', ran: 'unknown', hasArrived: true, detail: expect.a(String) },
};
/** Time within which the outcome of a request is known once the target responded (ms). */
const SOON_MS = 2000;

/** Returns undefined if there is no outcome in time. */
async function endSoon(end: Promise<RunEnd>): Promise<RunEnd | undefined> {
  return Promise.race([
    end,
    new Promise<undefined>((resolve) => {
      setTimeout(resolve, SOON_MS, undefined).unref();
    }),
  ]);
}

describe('target sender', () => {
  const cleanups: (() => void)[] = [];
  afterEach(() => {
    for (const run of cleanups.splice(0)) run();
  });

  async function startTarget(answer: (socket: Socket, chunk: string, index: number) => void): Promise<RawTarget> {
    let index = 0;
    const target = await startRawTarget((socket, chunk) => {
      answer(socket, chunk, index++);
    });
    cleanups.push(target.stop);
    return target;
  }
  function createSender(): (target: RawTarget, change?: Partial<RunRequest>) => Promise<RunEnd> {
    const pool = createTargetConnectionPool(createSystemClock());
    cleanups.push(pool.stop);
    const send = createTargetSender({ pool, names: testHeaderNames });
    return (target, change) => {
      const run = collectRun();
      send({ address: target.address, targetId: 'i-1', request: buildRunRequest(change) }, run.events);
      return run.end;
    };
  }

  it('should pass on a complete answer with its end-to-end headers', async () => {
    const target = await startTarget((socket) => {
      socket.write(`${OK}test-load: 1,0,4\r\nX-Kept: yes\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nbody`);
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
      const bytes = `${OK}X-Kept: yes\r\nContent-Length: 4\r\n\r\nbody`;
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
        socket.write(`${OK}${header}Content-Length: 4\r\n\r\nbo`);
      });
      const pool = createTargetConnectionPool(createSystemClock());
      cleanups.push(pool.stop);
      const run = collectRun();
      const send = createTargetSender({ pool, names: testHeaderNames });
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
    const pool = createTargetConnectionPool(createSystemClock());
    cleanups.push(pool.stop);
    const run = collectRun();
    createTargetSender({ pool, names: testHeaderNames })(
      { address: target.address, targetId: 'i-1', request: buildRunRequest() },
      run.events,
    );
    expect((await run.end).type).toEqual('failed');
    expect(run.notices).toEqual([]);
  });

  it('should set the headers with the target, the caller and the time left', async () => {
    const target = await startTarget((socket) => {
      socket.write(`${OK}Content-Length: 0\r\n\r\n`);
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
      socket.write(`${OK}Content-Length: 0\r\n\r\n`);
    });
    await createSender()(target, { organisation: 'acme' });
    expect(target.received[0] ?? '').toMatchRegex(/test-organisation: acme\r\n/);
  });

  // Guards against truncated responses of a target that look complete to clients.
  const broken: [string, (socket: Socket) => void][] = [
    ['a length', (socket) => socket.end(`${OK}Content-Length: 9\r\n\r\npart`)],
    [
      'a length and a closing connection',
      (socket) => socket.end(`${OK}Connection: close\r\nContent-Length: 9\r\n\r\npart`),
    ],
    ['chunks', (socket) => socket.end(`${OK}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`)],
    [
      'chunks and a closing connection',
      (socket) => socket.end(`${OK}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`),
    ],
    ['half a chunk', (socket) => socket.end(`${OK}Transfer-Encoding: chunked\r\n\r\n9\r\npart`)],
    [
      'neither a length nor chunks, reset',
      (socket) => {
        socket.write(`${OK}\r\npart`);
        setTimeout(() => socket.resetAndDestroy(), 20);
      },
    ],
    [
      'neither a length nor chunks, reset at once',
      (socket) => {
        socket.write(`${OK}\r\npart`, () => socket.resetAndDestroy());
      },
    ],
  ];
  for (const [what, answer] of broken) {
    it(`should report an incomplete response with ${what} as truncated`, async () => {
      const target = await startTarget(answer);
      const end = await createSender()(target);
      expect(end).toEqual({
        type: 'failed',
        failure: { kind: 'answerTruncated', ran: 'unknown', hasArrived: true, detail: expect.a(String) },
      });
    });
  }

  it('should accept a response without a length as complete when the target closes the connection', async () => {
    const target = await startTarget((socket) => socket.end(`${OK}\r\nwhole`));
    const end = await createSender()(target);
    expect(end).toLooseEqual({ type: 'answered', answer: expect.anything(), body: 'whole', wasStreamed: false });
  });

  it('should report a response to another request as invalid', async () => {
    const target = await startTarget((socket) => {
      socket.write('HTTP/1.1 200 OK\r\ntest-id: other\r\ntest-signature: s\r\nContent-Length: 0\r\n\r\n');
    });
    const end = await createSender()(target);
    expect(end).toLooseEqual({
      type: 'failed',
      failure: { kind: 'answerInvalid', ran: 'unknown', hasArrived: true, detail: expect.a(String) },
    });
  });

  // Guards against waiting out the time limit for a final response, and against clients that get an unknown status.
  for (const status of ['000', '099', '101', '199', '600', '700', '999']) {
    it(`should report a response with the status ${status} as invalid at once`, async () => {
      const target = await startTarget((socket) => {
        socket.write(`HTTP/1.1 ${status} Odd\r\ntest-id: r1\r\ntest-signature: s\r\nContent-Length: 0\r\n\r\n`);
      });
      expect(await endSoon(createSender()(target))).toEqual(invalidAnswer);
    });

    it(`should report an invalid status ${status} without headers at once`, async () => {
      const target = await startTarget((socket) => {
        socket.write(`HTTP/1.1 ${status} \r\n\r\n`);
      });
      expect(await endSoon(createSender()(target, { isIdempotent: false }))).toEqual(invalidAnswer);
    });
  }

  // Guards against a repeat of a request that may have run, outside the retry budget, on a second connection.
  for (const status of ['099', '20', '2000', '2x0', '-10']) {
    it(`should not send a request again itself after the status ${status} on a reused connection`, async () => {
      const target = await startTarget((socket, _chunk, index) => {
        socket.write(
          index === 0 ? `${OK}Content-Length: 0\r\n\r\n` : `HTTP/1.1 ${status} Odd\r\nContent-Length: 0\r\n\r\n`,
        );
      });
      const send = createSender();
      await send(target);
      expect(await endSoon(send(target))).toEqual(invalidAnswer);
      expect([target.connections.length, target.received.join('').match(/GET/g)?.length]).toEqual([1, 2]);
    });
  }

  // Guards against a connection on which the rest of an invalid response is taken for that to the next request.
  it('should not reuse a connection after an invalid status', async () => {
    const target = await startTarget((socket, _chunk, index) => {
      socket.write(index === 0 ? 'HTTP/1.1 199 Odd\r\n\r\n' : `${OK}Content-Length: 0\r\n\r\n`);
    });
    const send = createSender();
    await endSoon(send(target));
    expect([(await send(target)).type, target.connections.length]).toEqual(['answered', 2]);
  });

  it('should report an invalid status after an interim response', async () => {
    const target = await startTarget((socket) => {
      socket.write('HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 700 Odd\r\ntest-id: r1\r\nContent-Length: 0\r\n\r\n');
    });
    expect(await endSoon(createSender()(target))).toEqual(invalidAnswer);
  });

  for (const status of ['100 Continue', '102 Processing', '103 Early Hints']) {
    it(`should skip the interim response ${status}`, async () => {
      const target = await startTarget((socket) => {
        socket.write(
          `HTTP/1.1 ${status}\r\n\r\nHTTP/1.1 ${status}\r\nLink: x\r\n\r\n${OK}Content-Length: 4\r\n\r\nbody`,
        );
      });
      const end = await createSender()(target);
      expect(end.type === 'answered' ? [end.answer.status, end.body] : end.failure).toEqual([200, 'body']);
    });
  }

  for (const status of ['200 OK', '599 Odd']) {
    it(`should pass on a response with the status ${status}`, async () => {
      const target = await startTarget((socket) => {
        socket.write(`HTTP/1.1 ${status}\r\ntest-id: r1\r\ntest-signature: s\r\nContent-Length: 0\r\n\r\n`);
      });
      const end = await createSender()(target);
      expect(end.type === 'answered' && end.answer.status).toEqual(Number(status.slice(0, 3)));
    });
  }

  it('should not pass on a repeated response as the response to the next request', async () => {
    const target = await startTarget((socket, chunk) => {
      const id = /test-id: (\w+)/.exec(chunk)?.[1] ?? '';
      const answer = `HTTP/1.1 200 OK\r\ntest-id: ${id}\r\ntest-signature: s\r\nContent-Length: 2\r\n\r\n${id}`;
      socket.write(answer);
      setTimeout(() => socket.write(answer), 5);
    });
    const send = createSender();
    const first = await send(target, { requestId: 'a1' });
    await new Promise((resolve) => setTimeout(resolve, 30));
    const second = await send(target, { requestId: 'a2' });
    expect([first, second].map((end) => (end.type === 'answered' ? end.body : end.failure.kind))).toEqual(['a1', 'a2']);
  });

  // A response that a target sends twice may arrive immediately before the response to the next request.
  it('should skip a repeated response to the previous request and accept the one that follows', async () => {
    let first = '';
    const target = await startTarget((socket, chunk, index) => {
      const id = /test-id: (\w+)/.exec(chunk)?.[1] ?? '';
      const answer = `HTTP/1.1 200 OK\r\ntest-id: ${id}\r\ntest-signature: s\r\nContent-Length: 2\r\n\r\n${id}`;
      if (index === 0) first = answer;
      socket.write(index === 0 ? answer : first + answer);
    });
    const send = createSender();
    await send(target, { requestId: 'a1' });
    const second = await send(target, { requestId: 'a2', isIdempotent: false });
    expect(second).toLooseEqual({ type: 'answered', answer: expect.anything(), body: 'a2', wasStreamed: false });
    expect(target.connections.length).toEqual(1);
  });

  it('should not reuse a connection on which bytes follow a response', async () => {
    const target = await startTarget((socket) => {
      socket.write(`${OK}Content-Length: 0\r\n\r\nHTTP/1.1 2`);
    });
    const send = createSender();
    await send(target);
    const second = await send(target);
    expect([second.type, target.connections.length]).toEqual(['answered', 2]);
  });

  // The target would read the next request on the connection as the rest of the body.
  it('should not reuse a connection whose target responded before it received the whole body', async () => {
    const target = await startTarget((socket, _chunk, index) => {
      if (index === 0) socket.write(`${OK}Content-Length: 0\r\n\r\n`);
    });
    const pool = createTargetConnectionPool(createSystemClock());
    cleanups.push(pool.stop);
    const send = createTargetSender({ pool, names: testHeaderNames });
    const change = { method: 'POST', isStreamed: true, headers: ['Host', 'h', 'Content-Length', '200000'] };
    const run = collectRun();
    const sent = { address: target.address, targetId: 'i-1', request: buildRunRequest(change) };
    send(sent, run.events).sendBody(Buffer.alloc(50_000), false);
    expect((await run.end).type).toEqual('answered');
    send({ ...sent, request: buildRunRequest() }, collectRun().events);
    await waitUntil('another connection was opened', () => target.connections.length === 2);
    await waitUntil('the request was written there', () => target.received[1]?.startsWith('GET') === true);
    expect(target.received[0]?.includes('GET')).toEqual(false);
  });

  it('should send a streamed body in chunks if its length is unknown', async () => {
    const target = await startTarget((socket, chunk) => {
      if (chunk.includes('0\r\n\r\n')) socket.write(`${OK}Content-Length: 0\r\n\r\n`);
    });
    const pool = createTargetConnectionPool(createSystemClock());
    cleanups.push(pool.stop);
    const send = createTargetSender({ pool, names: testHeaderNames });
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

  it('should resend an idempotent request when its reused connection is reset', async () => {
    const target = await startTarget((socket, _chunk, index) => {
      if (index === 1) socket.resetAndDestroy();
      else socket.write(`${OK}Content-Length: 0\r\n\r\n`);
    });
    const send = createSender();
    await send(target);
    const end = await send(target);
    expect([end.type, target.connections.length]).toEqual(['answered', 2]);
  });

  it('should not resend a non-idempotent request after a reset', async () => {
    const target = await startTarget((socket, _chunk, index) => {
      if (index === 1) socket.resetAndDestroy();
      else socket.write(`${OK}Content-Length: 0\r\n\r\n`);
    });
    const send = createSender();
    await send(target, { isIdempotent: false });
    const end = await send(target, { isIdempotent: false });
    expect(end).toLooseEqual({
      type: 'failed',
      failure: { kind: 'connectionLost', ran: 'unknown', hasArrived: true, detail: expect.a(String) },
    });
    expect(target.received.join('').match(/GET/g)?.length).toEqual(2);
  });

  it('should stream a long answer', async () => {
    const body = 'x'.repeat(100_000);
    const target = await startTarget((socket) => {
      socket.write(`${OK}Content-Length: ${body.length}\r\n\r\n${body}`);
    });
    const end = await createSender()(target);
    expect(end.type === 'answered' && end.wasStreamed && end.body === body).toEqual(true);
  });
});
