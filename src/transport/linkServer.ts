import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { FailureError } from '../schema/failure.js';
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
/** Length of the accept queue; it must hold the connections of all peers when they connect at the same time. */
const BACKLOG = 1024;

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
  const { host, port } = parseAddress(listen);
  await openListener(server, host, port);
  const bound = server.address();
  return {
    address: `${host}:${typeof bound === 'object' && bound !== null ? bound.port : port}`,
    stop: () => {
      server.close();
    },
  };
}

function openListener(server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', (error) => {
      const message = `cannot listen for connections from other nodes: ${error.message}`;
      reject(new FailureError({ kind: 'listenFailed', message, address: `${host}:${port}` }));
    });
    server.listen({ host, port, backlog: BACKLOG }, resolve);
  });
}
