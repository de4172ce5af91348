import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { STREAM_WINDOW_BYTES } from '../../src/schema/linkFrame.js';
import { buildRunRequest, collectRun } from '../fixtures/requests.js';
import { waitUntil } from '../fixtures/sampleFleet.js';
import { createTargetSends, OK_HEAD } from '../fixtures/targetSends.js';

describe('the connections of a target sender', () => {
  const { startTarget, createSend, createSender, stop } = createTargetSends();
  afterEach(stop);

  // Guards against truncated responses of a target that look complete to clients.
  const broken: [string, (socket: Socket) => void][] = [
    ['a length', (socket) => socket.end(`${OK_HEAD}Content-Length: 9\r\n\r\npart`)],
    [
      'a length and a closing connection',
      (socket) => socket.end(`${OK_HEAD}Connection: close\r\nContent-Length: 9\r\n\r\npart`),
    ],
    ['chunks', (socket) => socket.end(`${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`)],
    [
      'chunks and a closing connection',
      (socket) => socket.end(`${OK_HEAD}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`),
    ],
    ['half a chunk', (socket) => socket.end(`${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n9\r\npart`)],
    [
      'neither a length nor chunks, reset',
      (socket) => {
        socket.write(`${OK_HEAD}\r\npart`);
        setTimeout(() => socket.resetAndDestroy(), 20);
      },
    ],
    [
      'neither a length nor chunks, reset at once',
      (socket) => {
        socket.write(`${OK_HEAD}\r\npart`, () => socket.resetAndDestroy());
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
    const target = await startTarget((socket) => socket.end(`${OK_HEAD}\r\nwhole`));
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
      socket.write(`${OK_HEAD}Content-Length: 0\r\n\r\nHTTP/1.1 2`);
    });
    const send = createSender();
    await send(target);
    const second = await send(target);
    expect([second.type, target.connections.length]).toEqual(['answered', 2]);
  });

  // The target would read the next request on the connection as the rest of the body.
  it('should not reuse a connection whose target responded before it received the whole body', async () => {
    const target = await startTarget((socket, _chunk, index) => {
      if (index === 0) socket.write(`${OK_HEAD}Content-Length: 0\r\n\r\n`);
    });
    const send = createSend();
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

  // Guards against a request that gets no answer until its time limit, on a connection that the last answer left paused.
  it('should read the next response after an answer whose last part used up its flow control', async () => {
    const body = 'x'.repeat(300_000);
    const target = await startTarget((socket, _chunk, index) => {
      if (index === 0) socket.write(`${OK_HEAD}Content-Length: ${body.length}\r\n\r\n${body}`);
      else socket.write(`${OK_HEAD.replace('r1', 'r2')}Content-Length: 0\r\n\r\n`);
    });
    const send = createSend();
    const sent = { address: target.address, targetId: 'i-1' };
    const first = collectRun();
    let receivedBytes = 0;
    let creditBytes = STREAM_WINDOW_BYTES;
    const handle = send(
      { ...sent, request: buildRunRequest() },
      {
        ...first.events,
        answer: (answer) => {
          receivedBytes += answer.body.length;
          first.events.answer(answer);
        },
        part: (data, isLast) => {
          receivedBytes += data.length;
          first.events.part(data, isLast);
          creditBytes -= data.length;
          // A credit of one byte lets each part use it up; after the last one nobody grants any more.
          if (creditBytes > 0 || receivedBytes === body.length) return;
          setImmediate(handle.grantAnswer, 1 - creditBytes);
          creditBytes = 1;
        },
      },
    );
    expect((await first.end).type).toEqual('answered');
    const second = collectRun();
    send({ ...sent, request: buildRunRequest({ requestId: 'r2' }) }, second.events);
    let hasEnded = false;
    void second.end.then(() => (hasEnded = true));
    await waitUntil('the second response was read', () => hasEnded);
    expect([(await second.end).type, target.connections.length]).toEqual(['answered', 1]);
  });

  // Guards against a second send that no retry policy decides on: to a leaving target, or with a request that crashed it.
  for (const lateMs of [0, 200]) {
    it(`should not send an idempotent request again when its reused connection is reset after ${lateMs} ms`, async () => {
      const target = await startTarget((socket, _chunk, index) => {
        if (index === 1) setTimeout(() => socket.resetAndDestroy(), lateMs);
        else socket.write(`${OK_HEAD}Content-Length: 0\r\n\r\n`);
      });
      const send = createSender();
      await send(target);
      const end = await send(target);
      const stale = lateMs === 0 ? { isStale: true } : {};
      expect(end).toLooseEqual({
        type: 'failed',
        failure: { kind: 'connectionLost', ran: 'unknown', hasArrived: true, ...stale, detail: expect.a(String) },
      });
      expect([target.connections.length, target.received.join('').match(/GET/g)?.length]).toEqual([1, 2]);
    });
  }

  // Guards against requests that fail one after another on connections which the target has closed.
  it('should close the connections that were idle for longer than a stale one', async () => {
    const target = await startTarget((socket, _chunk, index) => {
      if (index === 3) socket.resetAndDestroy();
      else setTimeout(() => socket.write(`${OK_HEAD}Content-Length: 0\r\n\r\n`), 20);
    });
    const send = createSender();
    await Promise.all([send(target), send(target), send(target)]);
    expect((await send(target)).type).toEqual('failed');
    const ends = await Promise.all([send(target), send(target)]);
    expect([ends.map(({ type }) => type), target.connections.length]).toEqual([['answered', 'answered'], 5]);
  });

  it('should not resend a non-idempotent request after a reset', async () => {
    const target = await startTarget((socket, _chunk, index) => {
      if (index === 1) socket.resetAndDestroy();
      else socket.write(`${OK_HEAD}Content-Length: 0\r\n\r\n`);
    });
    const send = createSender();
    await send(target, { isIdempotent: false });
    const end = await send(target, { isIdempotent: false });
    expect(end).toLooseEqual({
      type: 'failed',
      failure: { kind: 'connectionLost', ran: 'unknown', hasArrived: true, isStale: true, detail: expect.a(String) },
    });
    expect(target.received.join('').match(/GET/g)?.length).toEqual(2);
  });
});
