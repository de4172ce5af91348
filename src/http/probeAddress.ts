import { connect } from 'node:net';

/** Time after which an address that neither accepts nor refuses a connection is left open (ms). */
const PROBE_TIMEOUT_MS = 200;

/** A refused connection means that no process listens; other errors and silence leave it open. */
export function probeAddress(address: string, done: (isUp: boolean) => void): void {
  const { hostname, port, protocol } = new URL(address);
  const socket = connect({ host: hostname, port: Number(port) || (protocol === 'https:' ? 443 : 80) });
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
