import { isInOwnDataCenter } from './context.js';
import type { RequestContext } from './context.js';
import type { OutgoingLane } from './outgoingLane.js';

/** Time without received frames after which a connection with pending requests is replaced (ms). */
const ACTIVE_TIMEOUT_MS = 750;
/**
 * The same after the first request that was sent since the last frame, to which the peer responds at once (ms). The request
 * itself may have been given up since.
 */
const UNANSWERED_TIMEOUT_MS = 500;
/** The same for an idle routine connection; idle urgent connections carry no frames and are not checked. */
const IDLE_TIMEOUT_MS = 5000;
/**
 * The same within a data centre (ms): a node that does not wait for changes at the store learns of them over these
 * connections, which may go silent together with those of the nodes that wait.
 */
const LOCAL_IDLE_TIMEOUT_MS = 2500;
/** Time within which a lane must reconnect before its pending requests fail (ms). */
const RECONNECT_GRACE_MS = 500;
/** Maximum number of bytes buffered on a connection before it counts as stalled. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

/**
 * Creates the periodic check of an outgoing lane: it replaces an unresponsive or stalled connection, and fails the requests
 * of a lane that did not reconnect in time.
 *
 * @param options `reconnect` replaces the connection of a lane, `findSibling` finds the other lane to the same peer.
 * @example
 * const checkLane = createLaneCheck(context, { reconnect: dialer.reconnect, findSibling });
 * for (const lane of lanes) checkLane(lane, clock.now());
 */
export function createLaneCheck(
  { board }: RequestContext,
  options: {
    reconnect: (lane: OutgoingLane, reason: string) => void;
    findSibling: (lane: OutgoingLane) => OutgoingLane | undefined;
  },
): (lane: OutgoingLane, nowMs: number) => void {
  const { reconnect, findSibling } = options;

  /** Replaces the other connection to a peer whose connection fell silent, if no request waits on it. */
  const replaceIdleSibling = (lane: OutgoingLane): void => {
    const sibling = findSibling(lane);
    if (sibling === undefined || sibling.runs.pendingCount > 0) return;
    if (sibling.peer.lanes[sibling.lane].phase === 'up') reconnect(sibling, `the ${lane.lane} connection fell silent`);
  };
  const checkLane = (lane: OutgoingLane, nowMs: number): void => {
    const state = lane.peer.lanes[lane.lane];
    const { pendingCount } = lane.runs;
    if (state.phase !== 'up') {
      if (pendingCount > 0 && nowMs - lane.disconnectedAtMs > RECONNECT_GRACE_MS) {
        lane.runs.failAll(`${lane.peer.host} has been unreachable for ${Math.round(nowMs - lane.disconnectedAtMs)} ms`);
      }
      if (lane.connection !== undefined && nowMs - state.lastReceivedMs > ACTIVE_TIMEOUT_MS)
        reconnect(lane, 'no hello frame received');
      return;
    }
    const unansweredMs = nowMs - (state.unansweredSinceMs ?? nowMs);
    if (unansweredMs > UNANSWERED_TIMEOUT_MS) {
      reconnect(lane, `no sign of life for ${Math.round(unansweredMs)} ms after a request`);
      replaceIdleSibling(lane);
      return;
    }
    if (pendingCount === 0 && lane.lane === 'urgent') return;
    const waitStartMs = Math.max(state.lastReceivedMs, pendingCount > 0 ? lane.waitingSinceMs : 0);
    const idleTimeoutMs = isInOwnDataCenter(board, lane.peer.host) ? LOCAL_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS;
    const timeoutMs = pendingCount > 0 ? ACTIVE_TIMEOUT_MS : idleTimeoutMs;
    if (nowMs - waitStartMs > timeoutMs)
      reconnect(lane, `nothing received for ${Math.round(nowMs - state.lastReceivedMs)} ms`);
    else if ((lane.connection?.bufferedBytes ?? 0) > MAX_BUFFERED_BYTES) reconnect(lane, 'the connection is stalled');
  };
  return checkLane;
}
