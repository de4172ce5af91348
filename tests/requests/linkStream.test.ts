import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import type { LinkFrame } from '../../src/schema/linkFrame.js';
import { dialLink } from '../../src/transport/linkClient.js';
import { startLinkServer } from '../../src/transport/linkServer.js';
import type { LinkStream } from '../../src/transport/linkStream.js';
import { waitUntil } from '../fixtures/sampleFleet.js';

/** Larger than what one read returns. */
const LARGE_BODY_BYTES = 300_000;

function buildPart(id: number, bytes: number): LinkFrame {
  return { type: 'part', id, data: new Uint8Array(bytes).fill(id), isLast: false };
}

/** Names the id of each part, its length and the values of its bytes. */
function describeParts(frames: readonly LinkFrame[]): string[] {
  return frames.map((frame) =>
    frame.type === 'part' ? `${frame.id}: ${frame.data.length} of ${[...new Set(frame.data)].join(' ')}` : frame.type,
  );
}

describe('link stream', () => {
  const cleanups: (() => void)[] = [];
  afterEach(() => {
    for (const run of cleanups.splice(0)) run();
  });

  /** Opens a link; returns both ends and the frames that the dialling one receives. */
  async function openLink(): Promise<{ accepted: LinkStream; dialled: LinkStream; received: LinkFrame[] }> {
    const received: LinkFrame[] = [];
    let accepted: LinkStream | undefined;
    let dialled: LinkStream | undefined;
    const server = await startLinkServer('127.0.0.1:0', (stream) => {
      accepted = stream;
      return { receive: () => undefined, closed: () => undefined };
    });
    const close = dialLink(server.address, {
      opened: (stream) => {
        dialled = stream;
      },
      receive: (frame) => {
        received.push(frame);
      },
      closed: () => undefined,
    });
    cleanups.push(close, server.stop);
    await waitUntil('the link', () => accepted !== undefined && dialled !== undefined);
    return { accepted: accepted as unknown as LinkStream, dialled: dialled as unknown as LinkStream, received };
  }

  it('should pass on frames that were sent in one turn in their order', async () => {
    const { accepted, received } = await openLink();
    for (const id of [1, 2, 3]) accepted.send(buildPart(id, 10));
    await waitUntil('the frames', () => received.length === 3);
    expect(describeParts(received)).toEqual(['1: 10 of 1', '2: 10 of 2', '3: 10 of 3']);
  });

  // Guards against bodies that lie in the buffer into which later bytes are read.
  it('should leave a received body unchanged when more frames arrive', async () => {
    const { accepted, received } = await openLink();
    for (const id of [1, 2, 3]) {
      accepted.send(buildPart(id, 400));
      await waitUntil('the frame', () => received.length === id);
    }
    expect(describeParts(received)).toEqual(['1: 400 of 1', '2: 400 of 2', '3: 400 of 3']);
  });

  // Guards against the loss of the start of a frame whose rest arrives with later reads, on this or other connections.
  it('should pass on frames that arrive in several reads, on two connections at once', async () => {
    const links = [await openLink(), await openLink()];
    for (const id of [1, 2]) for (const { accepted } of links) accepted.send(buildPart(id, LARGE_BODY_BYTES));
    await waitUntil('the frames', () => links.every(({ received }) => received.length === 2));
    const expected = [`1: ${LARGE_BODY_BYTES} of 1`, `2: ${LARGE_BODY_BYTES} of 2`];
    expect(links.map(({ received }) => describeParts(received))).toEqual([expected, expected]);
  });

  it('should still send what was sent just before it is closed', async () => {
    const { accepted, received } = await openLink();
    accepted.send(buildPart(1, 10));
    accepted.close();
    await waitUntil('the frame', () => received.length === 1);
    expect(describeParts(received)).toEqual(['1: 10 of 1']);
  });
});
