import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createSystemClock } from '../../src/core/clock.js';
import { createTargetConnectionPool } from '../../src/http/targetConnectionPool.js';
import { createTargetSender } from '../../src/http/targetSender.js';
import { startRawTarget } from '../fixtures/rawTarget.js';
import { buildRunRequest, collectRun, testHeaderNames } from '../fixtures/requests.js';
import { waitUntil } from '../fixtures/sampleFleet.js';
import type { RunEnd } from '../fixtures/requests.js';
import type { RunFailureKind } from '../../src/schema/linkFrame.js';

const HEAD = 'HTTP/1.1 200 OK\r\ntest-id: r1\r\ntest-signature: s\r\n';
const NOT_RUN = 'HTTP/1.1 503 Unavailable\r\ntest-id: r1\r\ntest-not-run: yes\r\n';
/** Bytes that a target sends unless the connection is closed before. */
const MAX_SENT_BYTES = 256 * 1024 * 1024;
/** Bytes that may be on their way, in socket buffers and in the parser, when the sender closes the connection. */
const MAX_ACCEPTED_BYTES = 16 * 1024 * 1024;

/** Time after which the sender must have closed the connection (ms). */
const MAX_OPEN_MS = 4000;

interface EndlessRun {
  /** Undefined if the request has no outcome after `MAX_OPEN_MS`. */
  end: RunEnd | undefined;
  sentBytes: number;
  closedAfterMs: number;
}

async function waitForOpenLimit(): Promise<undefined> {
  await new Promise((resolve) => setTimeout(resolve, MAX_OPEN_MS).unref());
  return undefined;
}

describe('a target that sends bytes without end', () => {
  const cleanups: (() => void)[] = [];
  afterEach(() => {
    for (const run of cleanups.splice(0)) run();
  });

  /** Runs one request at a target that writes `start` and then repeats `part`, every `pauseMs` or at full speed. */
  async function runEndless(start: string, part: string, pauseMs = 0): Promise<EndlessRun> {
    let sentBytes = 0;
    let closedAtMs = 0;
    const block = Buffer.from(pauseMs > 0 ? part : part.repeat(Math.ceil((64 * 1024) / part.length)));
    const writeMore = (socket: Socket): void => {
      if (socket.destroyed || sentBytes > MAX_SENT_BYTES) return;
      sentBytes += block.length;
      if (pauseMs > 0) setTimeout(() => socket.write(block, () => writeMore(socket)), pauseMs);
      else socket.write(block, () => writeMore(socket));
    };
    const target = await startRawTarget((socket) => {
      socket.once('close', () => (closedAtMs = performance.now()));
      socket.write(start);
      writeMore(socket);
    });
    cleanups.push(target.stop);
    const pool = createTargetConnectionPool(createSystemClock());
    cleanups.push(pool.stop);
    const run = collectRun();
    const startedAtMs = performance.now();
    const send = createTargetSender({ pool, names: testHeaderNames });
    send({ address: target.address, targetId: 'i-1', request: buildRunRequest() }, run.events);
    const end = await Promise.race([run.end, waitForOpenLimit()]);
    await waitUntil(
      'the sender closes the connection or leaves it open for long',
      () => closedAtMs > 0 || performance.now() - startedAtMs > MAX_OPEN_MS,
    );
    return { end, sentBytes, closedAfterMs: closedAtMs > 0 ? closedAtMs - startedAtMs : Infinity };
  }

  const modes: [string, string, string, RunFailureKind][] = [
    ['header lines', HEAD, 'x-more: some more text\r\n', 'connectionLost'],
    ['a header without an end', `${HEAD}x-long: `, 'abcdefgh', 'connectionLost'],
    ['interim responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n', 'connectionLost'],
    ['digits of a chunk size', `${HEAD}Transfer-Encoding: chunked\r\n\r\n`, '0', 'answerTruncated'],
    ['a chunk extension', `${HEAD}Transfer-Encoding: chunked\r\n\r\n4;`, 'name=value;', 'answerTruncated'],
    ['trailers', `${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n`, 'x-more: some more text\r\n', 'answerTruncated'],
    ['the body of a rejection', `${NOT_RUN}\r\n`, 'some more text', 'rejected'],
    ['chunks of a rejection', `${NOT_RUN}Transfer-Encoding: chunked\r\n\r\n`, '4\r\npart\r\n', 'rejected'],
    ['bytes that are no response', '', 'garbage ', 'connectionLost'],
  ];
  for (const [what, start, part, kind] of modes) {
    // Guards against a connection that a faulty target keeps open and busy for good.
    it(`should be cut off after a bounded number of bytes: ${what}`, async () => {
      const { end, sentBytes, closedAfterMs } = await runEndless(start, part);
      expect(end?.type === 'failed' ? end.failure.kind : 'none').toEqual(kind);
      expect(sentBytes < MAX_ACCEPTED_BYTES).toEqual(true);
      expect(closedAfterMs < MAX_OPEN_MS).toEqual(true);
    });
  }

  // A rejected request has no deadline any more that would end its connection.
  it('should be cut off within seconds if it sends the body of a rejection slowly', async () => {
    const { end, closedAfterMs } = await runEndless(`${NOT_RUN}\r\n`, 'some more text', 50);
    expect(end?.type === 'failed' ? end.failure.kind : 'none').toEqual('rejected');
    expect(closedAfterMs < MAX_OPEN_MS).toEqual(true);
  });
});
