import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { parseAddress } from '../schema/requestSettings.js';

const READ_BUFFER_BYTES = 64 * 1024;
/** All connections read into this buffer, since a receiver is done with the bytes when it returns. */
const readBuffer = Buffer.allocUnsafeSlow(READ_BUFFER_BYTES);

/**
 * Connects to an address (`IP:PORT`). A socket with `data` events allocates 64 KiB for each read, which costs more than
 * parsing a short message.
 *
 * @param receive Gets the received bytes, which are overwritten after it returns.
 * @example
 * const socket = connectSocket('10.0.0.1:7000', (bytes) => parser.parse(bytes));
 */
export function connectSocket(address: string, receive: (bytes: Buffer) => void): Socket {
  return connect({
    ...parseAddress(address),
    onread: {
      buffer: readBuffer,
      callback: (length) => {
        receive(readBuffer.subarray(0, length));
        return true;
      },
    },
  });
}
