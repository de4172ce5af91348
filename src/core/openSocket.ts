import { connect } from 'node:net';
import type { Socket } from 'node:net';

const READ_BUFFER_BYTES = 64 * 1024;
/** All connections read into this buffer, since a receiver is done with the bytes when it returns. */
const readBuffer = Buffer.allocUnsafeSlow(READ_BUFFER_BYTES);

/**
 * Opens a connection. A socket with `data` events allocates 64 KiB for each read, which costs more than parsing a short
 * message.
 *
 * @param receive Gets the received bytes, which are overwritten after it returns.
 * @example
 * const socket = openSocket({ host: '10.0.0.1', port: 7000 }, (bytes) => parser.parse(bytes));
 */
export function openSocket(address: { host: string; port: number }, receive: (bytes: Buffer) => void): Socket {
  const receiveLength = (length: number): boolean => {
    receive(readBuffer.subarray(0, length));
    return true;
  };
  return connect({ ...address, onread: { buffer: readBuffer, callback: receiveLength } });
}
