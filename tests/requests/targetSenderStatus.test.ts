import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import type { RunEnd } from '../fixtures/requests.js';
import { createTargetSends, OK_HEAD } from '../fixtures/targetSends.js';

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

describe('the status of a response of a target', () => {
  const { startTarget, createSender, stop } = createTargetSends();
  afterEach(stop);

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
          index === 0 ? `${OK_HEAD}Content-Length: 0\r\n\r\n` : `HTTP/1.1 ${status} Odd\r\nContent-Length: 0\r\n\r\n`,
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
      socket.write(index === 0 ? 'HTTP/1.1 199 Odd\r\n\r\n' : `${OK_HEAD}Content-Length: 0\r\n\r\n`);
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
          `HTTP/1.1 ${status}\r\n\r\nHTTP/1.1 ${status}\r\nLink: x\r\n\r\n${OK_HEAD}Content-Length: 4\r\n\r\nbody`,
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
});
