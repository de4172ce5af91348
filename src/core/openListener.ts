import type { Server } from 'node:net';
import { FailureError } from '../schema/failure.js';

export interface ListenerOptions {
  host: string;
  /** 0 lets the system choose one. */
  port: number;
  /** What arrives at the listener, as in "cannot listen for requests". */
  purpose: string;
}

/** Length of the accept queue; it must hold the connections of all clients or peers that connect at the same time. */
const BACKLOG = 1024;

/**
 * Binds a server to an address; resolves with the bound address as `host:port`.
 *
 * @throws FailureError `listenFailed` when the address cannot be bound.
 * @example
 * const address = await openListener(createServer(acceptSocket), { host: '127.0.0.1', port: 0, purpose: 'requests' });
 */
export function openListener(server: Server, { host, port, purpose }: ListenerOptions): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', (error) => {
      const message = `cannot listen for ${purpose}: ${error.message}`;
      reject(new FailureError({ kind: 'listenFailed', message, address: `${host}:${port}` }));
    });
    server.listen({ host, port, backlog: BACKLOG }, () => {
      const bound = server.address();
      resolve(`${host}:${typeof bound === 'object' && bound !== null ? bound.port : port}`);
    });
  });
}
