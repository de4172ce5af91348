import { openSocket } from '../core/openSocket.js';

/** Time to wait for a connection to be accepted or refused (ms). */
const PROBE_TIMEOUT_MS = 200;

/**
 * Probes the host and port of a URL with a TCP connection. Reports them as down only if the connection is refused,
 * which means that no process listens; after other errors and timeouts a process may still listen.
 */
export function probeAddress(address: string, done: (isUp: boolean) => void): void {
  const { hostname, port, protocol } = new URL(address);
  const socket = openSocket(`${hostname}:${Number(port) || (protocol === 'https:' ? 443 : 80)}`);
  const finish = (isUp: boolean): void => {
    socket.destroy();
    done(isUp);
  };
  socket.setTimeout(PROBE_TIMEOUT_MS);
  socket.once('timeout', () => {
    finish(true);
  });
  socket.once('connect', () => {
    finish(true);
  });
  socket.once('error', (error: NodeJS.ErrnoException) => {
    finish(error.code !== 'ECONNREFUSED');
  });
}
