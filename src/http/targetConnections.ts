import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { Client } from 'undici';
import type { buildConnector } from 'undici';
import type { Clock } from '../core/clock.js';
import { scheduleRepeated } from '../core/clock.js';
import { parseAddress } from '../schema/requestSettings.js';

/** One connection to a target; it carries one request at a time. */
export interface TargetConnection {
  readonly client: Client;
  /** The connection was used before, so the target may have dropped it unnoticed. */
  isReused: boolean;
  /** The socket failed rather than ended: an answer without a length is not complete then. */
  hasFailed: boolean;
  idleSinceMs: number;
  /** How long the target keeps it open unused (ms). */
  idleLimitMs: number;
  isOpen: boolean;
}

export interface TargetConnections {
  /** Takes an idle connection that was used within `maxIdleMs`, the latest used one, or opens one. */
  take(address: string, maxIdleMs: number): TargetConnection;
  /** Keeps a connection for the next request. */
  release(address: string, connection: TargetConnection): void;
  /** Closes a connection whose state is not known. */
  discard(connection: TargetConnection): void;
  stop(): void;
}

/** Time after which a target that takes no connection counts as unreachable (ms). */
const CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_IDLE_LIMIT_MS = 4000;
const SWEEP_MS = 1000;

/** Creates the connections to the target of this host; idle ones are kept by address. */
export function createTargetConnections(clock: Clock): TargetConnections {
  const idleByAddress = new Map<string, TargetConnection[]>();

  const discard = (connection: TargetConnection): void => {
    connection.isOpen = false;
    connection.client.destroy().catch(() => undefined);
  };
  const open = (address: string): TargetConnection => {
    const connection: TargetConnection = {
      client: new Client(`http://${address}`, {
        pipelining: 1,
        keepAliveTimeout: 600_000,
        keepAliveMaxTimeout: 600_000,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: buildConnect(address, () => connection),
      }),
      isReused: false,
      hasFailed: false,
      idleSinceMs: 0,
      idleLimitMs: DEFAULT_IDLE_LIMIT_MS,
      isOpen: true,
    };
    connection.client.on('disconnect', () => {
      connection.isOpen = false;
    });
    return connection;
  };
  const isUsable = (connection: TargetConnection, maxIdleMs: number): boolean => {
    const idleMs = clock.now() - connection.idleSinceMs;
    return connection.isOpen && idleMs < Math.min(connection.idleLimitMs, maxIdleMs);
  };
  const removeStale = (): void => {
    for (const [address, idle] of idleByAddress) {
      const kept = idle.filter((connection) => {
        if (isUsable(connection, Infinity)) return true;
        discard(connection);
        return false;
      });
      if (kept.length > 0) idleByAddress.set(address, kept);
      else idleByAddress.delete(address);
    }
  };
  const stopSweeps = scheduleRepeated(clock, SWEEP_MS, removeStale);
  return {
    take: (address, maxIdleMs) => {
      const idle = idleByAddress.get(address);
      for (let latest = idle?.at(-1); idle !== undefined && latest !== undefined; latest = idle.at(-1)) {
        if (isUsable(latest, maxIdleMs)) {
          idle.pop();
          latest.isReused = true;
          return latest;
        }
        if (isUsable(latest, Infinity)) break;
        idle.pop();
        discard(latest);
      }
      return open(address);
    },
    release: (address, connection) => {
      if (!connection.isOpen) return;
      connection.idleSinceMs = clock.now();
      const idle = idleByAddress.get(address);
      if (idle === undefined) idleByAddress.set(address, [connection]);
      else idle.push(connection);
    },
    discard,
    stop: () => {
      stopSweeps();
      for (const idle of idleByAddress.values()) idle.forEach(discard);
      idleByAddress.clear();
    },
  };
}

function buildConnect(address: string, getConnection: () => TargetConnection): buildConnector.connector {
  return (_options, callback) => {
    const socket: Socket = connect(parseAddress(address));
    const timer = setTimeout(() => {
      socket.destroy(new DOMException(`no connection within ${CONNECT_TIMEOUT_MS} ms`, 'TimeoutError') as Error);
    }, CONNECT_TIMEOUT_MS);
    let isConnected = false;
    socket.setNoDelay(true);
    // A reset that arrives together with the last bytes is reported as an end; only the lost peer address shows it.
    socket.on('end', () => {
      if (socket.remoteAddress === undefined) getConnection().hasFailed = true;
    });
    socket.on('error', (error) => {
      clearTimeout(timer);
      getConnection().hasFailed = true;
      if (!isConnected) callback(error, null);
    });
    socket.once('connect', () => {
      clearTimeout(timer);
      isConnected = true;
      callback(null, socket);
    });
  };
}
