import { chooseDisplaced, selectHeaviest } from '../../policy/clientEviction.js';
import type { ClientUse } from '../../policy/clientEviction.js';

/** Reason why a connection was closed for the sake of others. */
export type EvictionReason = 'heldBytes' | 'connections';

/** A connection as the budget sees it. */
export interface BudgetedClient extends ClientUse {
  /** Closes the connection without a response. */
  destroy(): void;
}

/** Options of `createClientBudget`. */
export interface ClientBudgetOptions {
  now: () => number;
  /** Maximum number of bytes that all connections hold together. */
  maxHeldBytes: number;
  /** Number of connections from which on a new one takes the place of another. */
  maxConnections: number;
  /** An idle connection gives way to a new one only after this time (ms). Default: that of `chooseDisplaced`. */
  minIdleMs?: number;
}

/** What the connections of a listener occupy, and how many were closed to bound it. */
export interface EvictionCounts {
  readonly heldBytes: number;
  readonly maxHeldBytes: number;
  readonly connections: ReadonlySet<BudgetedClient>;
  /** Number of closed connections by reason. */
  readonly closedCounts: ReadonlyMap<EvictionReason, number>;
}

/** Connections that were closed for the sake of others since the last report, and what the others occupy. */
export interface Evictions {
  reason: EvictionReason;
  count: number;
  connections: number;
  heldBytes: number;
  maxHeldBytes: number;
}

/** Bounds what the connections of a listener occupy. */
export interface ClientBudget extends EvictionCounts {
  /** Adds a new connection; if there are too many, closes the least useful one. */
  add(client: BudgetedClient): void;
  /** Takes a change of a connection's `heldBytes` into account; if all hold too many, closes the heaviest ones. */
  change(client: BudgetedClient, bytes: number): void;
  /** Removes a closed connection. */
  remove(client: BudgetedClient): void;
}

/** Creates the common budget of all connections of a listener. */
export function createClientBudget(options: ClientBudgetOptions): ClientBudget {
  const { now, maxHeldBytes, maxConnections, minIdleMs } = options;
  const connections = new Set<BudgetedClient>();
  const closedCounts = new Map<EvictionReason, number>();
  let heldBytes = 0;

  const remove = (client: BudgetedClient): void => {
    if (connections.delete(client)) heldBytes -= client.heldBytes;
  };
  const evict = (client: BudgetedClient, reason: EvictionReason): void => {
    closedCounts.set(reason, (closedCounts.get(reason) ?? 0) + 1);
    // The socket closes in a later turn of the event loop; until then the connection must not be chosen again.
    remove(client);
    client.destroy();
  };
  return {
    get heldBytes() {
      return heldBytes;
    },
    maxHeldBytes,
    connections,
    closedCounts,
    add: (client) => {
      const isFull = connections.size >= maxConnections;
      const displaced = isFull ? chooseDisplaced(connections, { nowMs: now(), minIdleMs }) : undefined;
      if (displaced !== undefined) evict(displaced, 'connections');
      connections.add(client);
      heldBytes += client.heldBytes;
    },
    change: (client, bytes) => {
      if (!connections.has(client)) return;
      heldBytes += bytes;
      if (bytes <= 0 || heldBytes <= maxHeldBytes) return;
      const heaviest = selectHeaviest(connections, { heldBytes, maxBytes: maxHeldBytes, nowMs: now() });
      for (const heavy of heaviest) evict(heavy, 'heldBytes');
    },
    remove,
  };
}

/** Returns a function that reports what the budget closed since the last call. */
export function createEvictionReporter(budget: EvictionCounts, report: (evictions: Evictions) => void): () => void {
  const reportedCounts = new Map<EvictionReason, number>();
  return () => {
    for (const [reason, closedCount] of budget.closedCounts) {
      const count = closedCount - (reportedCounts.get(reason) ?? 0);
      reportedCounts.set(reason, closedCount);
      const { connections, heldBytes, maxHeldBytes } = budget;
      if (count > 0) report({ reason, count, connections: connections.size, heldBytes, maxHeldBytes });
    }
  };
}
