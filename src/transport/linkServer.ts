import { createServer } from 'node:net';
import { openListener } from '../core/openListener.js';
import { parseAddress } from '../schema/address.js';
import { MAX_LINK_FRAME_BYTES } from '../schema/linkFrame.js';
import { createLinkStream } from './linkStream.js';
import type { LinkStream, LinkStreamEvents } from './linkStream.js';

export interface LinkServer {
  /** The bound address as `IP:PORT`. */
  readonly address: string;
  stop(): void;
}

export interface AcceptedStreamEvents extends LinkStreamEvents {
  /** True once the peer said who it is, and was accepted. Default: always. */
  isAccepted?(): boolean;
}

/** Maximum size of a frame from a peer that is not accepted: a hello with the ids of 50,000 open requests. */
const MAX_HELLO_FRAME_BYTES = 256 * 1024;

/**
 * Starts to listen for connections from other nodes.
 *
 * @throws FailureError `listenFailed`.
 */
export async function startLinkServer(
  listen: string,
  accept: (stream: LinkStream) => AcceptedStreamEvents,
): Promise<LinkServer> {
  const server = createServer((socket) => {
    const stream = createLinkStream(
      socket,
      {
        receive: (frame) => {
          events.receive(frame);
        },
        closed: (reason) => {
          events.closed(reason);
        },
        changeHeldBytes: (bytes) => events.changeHeldBytes?.(bytes),
      },
      { readMaxFrameBytes: () => (events.isAccepted?.() === false ? MAX_HELLO_FRAME_BYTES : MAX_LINK_FRAME_BYTES) },
    );
    const events = accept(stream);
  });
  const address = await openListener(server, { ...parseAddress(listen), purpose: 'connections from other nodes' });
  return {
    address,
    stop: () => {
      server.close();
    },
  };
}
