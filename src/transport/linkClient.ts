import { connect } from 'node:net';
import { parseAddress } from '../schema/requestSettings.js';
import { createLinkStream } from './linkStream.js';
import type { LinkStream, LinkStreamEvents } from './linkStream.js';

/** Time after which an address that does not answer is given up (ms). */
const DIAL_TIMEOUT_MS = 700;

/**
 * Connects to another node. `closed` is told once, whether the connection failed or ended later; not after the returned
 * function, which gives up or closes.
 */
export function dialLink(address: string, events: LinkStreamEvents & { opened(stream: LinkStream): void }): () => void {
  const socket = connect(parseAddress(address));
  let isFinished = false;
  const timer = setTimeout(() => {
    finish('no answer to the connection request');
  }, DIAL_TIMEOUT_MS);
  const finish = (reason: string): void => {
    if (isFinished) return;
    isFinished = true;
    clearTimeout(timer);
    socket.destroy();
    events.closed(reason);
  };
  const stream = createLinkStream(socket, { receive: events.receive, closed: finish });
  socket.once('connect', () => {
    clearTimeout(timer);
    if (!isFinished) events.opened(stream);
  });
  return () => {
    isFinished = true;
    clearTimeout(timer);
    stream.close();
  };
}
