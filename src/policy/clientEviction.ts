/**
 * Value of a client connection to others:
 * - `closing`: its last response is written;
 * - `unproven`: it has sent no whole request yet;
 * - `idle`: its requests were answered;
 * - `serving`: a request of it was received and is not answered.
 */
export type ClientStanding = 'closing' | 'unproven' | 'idle' | 'serving';

/** What one client connection occupies. Times are monotonic (ms). */
export interface ClientUse {
  readonly standing: ClientStanding;
  /** Memory held for what the client sent and for what it has not read yet. */
  readonly heldBytes: number;
  /** Time of the last useful progress: a whole request, a part of a body, or a response that the client read. */
  readonly movedAtMs: number;
}

/** A new connection holds what it holds for at least this long, so that its age alone does not spare it (ms). */
const MIN_HELD_MS = 50;
/** The eviction goes on to this share of the bound, so that it does not run again with the next byte. */
const TARGET_SHARE = 0.875;
/** An idle connection is closed for a new one only after this time, as its client may just send a request (ms). */
const DEFAULT_MIN_IDLE_MS = 1000;
const displacementOrder: Readonly<Record<ClientStanding, number>> = { closing: 0, unproven: 1, idle: 2, serving: 3 };

/**
 * Selects the connections to close when all clients together hold more than `maxBytes`: those that hold most and move
 * least. Addresses many clients that leave heads and bodies unfinished or responses unread, each within its own limits.
 *
 * @example
 * for (const connection of selectHeaviest(connections, { heldBytes, maxBytes, nowMs })) connection.destroy();
 */
export function selectHeaviest<C extends ClientUse>(
  connections: Iterable<C>,
  options: { heldBytes: number; maxBytes: number; nowMs: number },
): C[] {
  const { maxBytes, nowMs } = options;
  let { heldBytes } = options;
  if (heldBytes <= maxBytes) return [];
  const weigh = ({ heldBytes: held, movedAtMs }: ClientUse): number => held * Math.max(MIN_HELD_MS, nowMs - movedAtMs);
  const sorted = [...connections].sort((a, b) => weigh(b) - weigh(a));
  const selected: C[] = [];
  for (const connection of sorted) {
    if (heldBytes <= maxBytes * TARGET_SHARE) break;
    heldBytes -= connection.heldBytes;
    selected.push(connection);
  }
  return selected;
}

/**
 * Chooses the connection that gives way to a new one when there are as many as are allowed; undefined if none should.
 * Addresses clients that open connections and send no request, or stay idle while others find no room.
 *
 * @example
 * chooseDisplaced(connections, { nowMs: clock.now() })?.destroy();
 */
export function chooseDisplaced<C extends ClientUse>(
  connections: Iterable<C>,
  options: { nowMs: number; minIdleMs?: number | undefined },
): C | undefined {
  const { nowMs, minIdleMs = DEFAULT_MIN_IDLE_MS } = options;
  let chosen: C | undefined;
  for (const connection of connections) {
    const { standing, movedAtMs } = connection;
    if (standing === 'serving' || (standing === 'idle' && nowMs - movedAtMs < minIdleMs)) continue;
    if (chosen === undefined || isLessUseful(connection, chosen)) chosen = connection;
  }
  return chosen;
}

function isLessUseful(use: ClientUse, other: ClientUse): boolean {
  const difference = displacementOrder[use.standing] - displacementOrder[other.standing];
  return difference === 0 ? use.movedAtMs < other.movedAtMs : difference < 0;
}
