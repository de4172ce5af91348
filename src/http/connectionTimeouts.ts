import type { RequestLimits } from '../schema/routeConfiguration.js';

/**
 * - `idle`: no request has begun;
 * - `head`: the head of a request, or empty lines in front of one, are being read;
 * - `request`: a request is being read or answered;
 * - `closing`: the connection is half-closed, and what the client still sends is discarded.
 */
export type ConnectionPhase = 'idle' | 'head' | 'request' | 'closing';

/** What decides whether a connection is closed; times are monotonic (ms). */
export interface TimedConnection {
  readonly phase: ConnectionPhase;
  readonly phaseStartedAtMs: number;
  /** Refuses the request whose head did not arrive in time, then closes the connection. */
  expire(): void;
  /** Closes the connection without a response. */
  destroy(): void;
}

const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS = 5000;
/**
 * Added to the idle timeout that clients receive in the `Keep-Alive` header, so that no request arrives on a connection
 * that is being closed (ms).
 */
const IDLE_GRACE_MS = 1500;
/** Time for a client to read the last response and close its side of the connection (ms). */
const CLOSE_TIMEOUT_MS = 2000;

/**
 * Closes a connection that exceeded the timeout of its phase: idle, receiving a head or closing.
 *
 * @example
 * for (const connection of connections) checkTimeouts(connection, clock.now(), readLimits());
 */
export function checkTimeouts(connection: TimedConnection, nowMs: number, limits: RequestLimits | undefined): void {
  const { phase, phaseStartedAtMs } = connection;
  const elapsedMs = nowMs - phaseStartedAtMs;
  if (phase === 'idle' && elapsedMs > (limits?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS) + IDLE_GRACE_MS)
    connection.destroy();
  else if (phase === 'head' && elapsedMs > (limits?.headerTimeoutMs ?? DEFAULT_HEADER_TIMEOUT_MS)) connection.expire();
  else if (phase === 'closing' && elapsedMs > CLOSE_TIMEOUT_MS) connection.destroy();
}
