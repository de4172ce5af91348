import { createServer } from 'node:net';
import type { Socket } from 'node:net';
import { scheduleRepeated } from '../core/clock.js';
import type { Clock } from '../core/clock.js';
import { openListener } from '../core/openListener.js';
import type { ListenSettings } from '../schema/settings.js';

/** What bounds the connections that peers open counts for one of them. */
export interface ConnectionAccount {
  /** Takes into account that the peer opened a stream with its name. */
  acceptHello(): void;
  /** Takes into account that a whole frame was received. */
  observeFrame(): void;
  /** Takes a change of the bytes into account that the connection holds. */
  changeHeldBytes(bytes: number): void;
  /** Removes a closed connection. */
  remove(): void;
}

/** Opens the account of a new connection; `close` is called if the connection has to be closed. */
export type OpenAccount = (connection: {
  isInUse: () => boolean;
  close: (reason: string) => void;
}) => ConnectionAccount;

/** A connection that a peer opened. */
export interface PeerConnection {
  /** Takes a new stream with the name of the peer into account. */
  addStream(): PeerStreamAccount;
}

/** The account of one stream of a connection. */
export interface PeerStreamAccount {
  observeFrame(): void;
  /** Takes a change of the bytes into account that wait for the peer to read. */
  changeHeldBytes(bytes: number): void;
  /** Removes a closed stream. */
  remove(): void;
}

export interface PeerConnections {
  /** The bound address as `host:port`. */
  readonly address: string;
  /** Returns the open connection of a remote address (`IP:PORT`). */
  find(remoteAddress: string): PeerConnection | undefined;
  /** Stops listening; open connections are not closed. */
  stop(): void;
}

export interface PeerConnectionsOptions {
  listen: ListenSettings;
  clock: Clock;
  openAccount: OpenAccount;
  /** Takes over a connection and reads from it. */
  serve: (socket: Socket) => void;
}

/** Estimated memory of a stream beyond its frames. */
const STREAM_OVERHEAD_BYTES = 4096;
/** Interval at which the bytes of frames that are not complete are counted (ms). */
const COUNT_INTERVAL_MS = 100;

interface CountedConnection extends PeerConnection {
  /** Takes into account what was received since the last whole frame. */
  countUnread(): void;
}

/**
 * Starts to listen for connections from other nodes, and counts what each of them occupies. HTTP/2 reads the sockets outside
 * JavaScript, so what a peer sent of a frame is known from their counters only.
 *
 * @throws FailureError `listenFailed` when the address cannot be bound.
 * @example
 * const connections = await startPeerConnections({ listen, clock, openAccount: budget.add, serve: injectConnection });
 */
export async function startPeerConnections(options: PeerConnectionsOptions): Promise<PeerConnections> {
  const { clock, openAccount, serve } = options;
  const connections = new Map<string, CountedConnection>();
  const server = createServer((socket) => {
    const remoteAddress = `${socket.remoteAddress ?? ''}:${socket.remotePort ?? 0}`;
    const connection = createConnection(socket, openAccount);
    connections.set(remoteAddress, connection);
    socket.once('close', () => {
      if (connections.get(remoteAddress) === connection) connections.delete(remoteAddress);
    });
    serve(socket);
  });
  const stopCounting = scheduleRepeated(clock, COUNT_INTERVAL_MS, () => {
    for (const connection of connections.values()) connection.countUnread();
  });
  const address = await openListener(server, { ...options.listen, purpose: 'peers' });
  return {
    address,
    find: (remoteAddress) => connections.get(remoteAddress),
    stop: () => {
      stopCounting();
      server.close();
    },
  };
}

function createConnection(socket: Socket, openAccount: OpenAccount): CountedConnection {
  let streamCount = 0;
  /** Bytes that were received up to the last whole frame. */
  let framedBytes = 0;
  let unreadBytes = 0;
  const account = openAccount({
    isInUse: () => streamCount > 0,
    close: () => {
      socket.destroy();
    },
  });
  socket.on('error', () => undefined);
  socket.once('close', () => {
    account.remove();
  });
  const countUnread = (): void => {
    if (streamCount === 0) framedBytes = socket.bytesRead;
    const change = socket.bytesRead - framedBytes - unreadBytes;
    unreadBytes += change;
    if (change !== 0) account.changeHeldBytes(change);
  };
  const addStream = (): PeerStreamAccount => {
    let heldBytes = 0;
    let isRemoved = false;
    const changeHeldBytes = (bytes: number): void => {
      if (isRemoved) return;
      heldBytes += bytes;
      account.changeHeldBytes(bytes);
    };
    streamCount++;
    account.acceptHello();
    changeHeldBytes(STREAM_OVERHEAD_BYTES);
    return {
      observeFrame: () => {
        framedBytes = socket.bytesRead;
        account.observeFrame();
      },
      changeHeldBytes,
      remove: () => {
        changeHeldBytes(-heldBytes);
        if (!isRemoved) streamCount--;
        isRemoved = true;
      },
    };
  };
  return { addStream, countUnread };
}
