import { openSocket } from '../core/openSocket.js';
import { createLinkStream } from './linkStream.js';
import type { LinkStream, LinkStreamEvents } from './linkStream.js';

/** Time limit for a connection attempt. */
const DIAL_TIMEOUT_MS = 700;

/**
 * Connects to another node. Calls `closed` once, when the connection attempt fails or the connection ends later. The
 * returned function cancels the attempt or closes the connection, without calling `closed`.
 */
export function dialLink(address: string, events: LinkStreamEvents & { opened(stream: LinkStream): void }): () => void {
  const socket = openSocket(address);
  let isFinished = false;
  const timer = setTimeout(() => {
    finish('connection attempt timed out');
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
