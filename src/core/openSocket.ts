import { Socket } from 'node:net';
import { parseAddress } from '../schema/address.js';

/**
 * Opens a TCP connection to `HOST:PORT`. An address to which none can be opened fails as an unreachable one does, with an
 * `error` event: `net.connect` would throw instead.
 *
 * @example
 * const socket = openSocket('127.0.0.1:8301');
 * socket.once('error', reportUnreachable);
 */
export function openSocket(address: string): Socket {
  const socket = new Socket();
  try {
    socket.connect(parseAddress(address));
  } catch (error) {
    socket.destroy(error as Error);
  }
  return socket;
}
