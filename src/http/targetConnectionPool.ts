import type { Clock } from '../core/clock.js';
import { scheduleRepeated } from '../core/clock.js';
import { openTargetConnection } from './targetConnection.js';
import type { TargetConnection } from './targetConnection.js';

export interface TargetConnectionPool {
  /** Returns the most recently used connection if it was idle for less than `maxIdleMs`, otherwise opens a new one. */
  take(address: string, maxIdleMs: number): TargetConnection;
  /** Returns a connection to the pool for reuse. */
  release(address: string, connection: TargetConnection): void;
  /**
   * Handles the failure of a connection before any answer. Returns true if it was stale, since the target closed it while it was
   * idle; then closes the connections that have been idle for longer.
   */
  discardStale(address: string, failed: TargetConnection): boolean;
  /** Closes all idle connections. */
  stop(): void;
}

const SWEEP_INTERVAL_MS = 1000;
/** Time after its reuse in which the failure of a connection shows that it was closed before (ms). */
const MAX_STALE_FAILURE_MS = 100;

/** Creates the pool of connections to the target on this host, which keeps idle connections by address. */
export function createTargetConnectionPool(clock: Clock): TargetConnectionPool {
  const idleByAddress = new Map<string, TargetConnection[]>();

  const isUsable = (connection: TargetConnection, maxIdleMs: number): boolean => {
    const idleMs = clock.now() - connection.idleSinceMs;
    return connection.isReusable && idleMs < Math.min(connection.idleTimeoutMs, maxIdleMs);
  };
  const removeStale = (): void => {
    for (const [address, idle] of idleByAddress) {
      const kept = idle.filter((connection) => {
        if (isUsable(connection, Infinity)) return true;
        connection.destroy();
        return false;
      });
      if (kept.length > 0) idleByAddress.set(address, kept);
      else idleByAddress.delete(address);
    }
  };
  const stopSweeps = scheduleRepeated(clock, SWEEP_INTERVAL_MS, removeStale);
  return {
    take: (address, maxIdleMs) => {
      const idle = idleByAddress.get(address);
      for (let latest = idle?.at(-1); idle !== undefined && latest !== undefined; latest = idle.at(-1)) {
        if (isUsable(latest, maxIdleMs)) {
          idle.pop();
          latest.takenAtMs = clock.now();
          return latest;
        }
        if (isUsable(latest, Infinity)) break;
        idle.pop();
        latest.destroy();
      }
      const opened = openTargetConnection(address);
      opened.takenAtMs = clock.now();
      return opened;
    },
    release: (address, connection) => {
      connection.idleSinceMs = clock.now();
      const idle = idleByAddress.get(address);
      if (idle === undefined) idleByAddress.set(address, [connection]);
      else idle.push(connection);
    },
    discardStale: (address, { isReused, takenAtMs, idleSinceMs }) => {
      if (!isReused || clock.now() - takenAtMs > MAX_STALE_FAILURE_MS) return false;
      const idle = idleByAddress.get(address) ?? [];
      for (const connection of idle) if (connection.idleSinceMs <= idleSinceMs) connection.destroy();
      return true;
    },
    stop: () => {
      stopSweeps();
      for (const idle of idleByAddress.values()) for (const connection of idle) connection.destroy();
      idleByAddress.clear();
    },
  };
}
