import type { LinkLane } from '../../schema/linkFrame.js';
import type { LinkConnection } from './context.js';
import { createOutgoingRuns } from './outgoingRuns.js';
import type { OutgoingRuns } from './outgoingRuns.js';
import type { PeerState } from './peerState.js';

/** Mean pause before the first attempt to connect again (ms). */
export const MIN_REDIAL_MS = 10;

/** One lane of a link that this node opened. Times are monotonic (ms). */
export interface OutgoingLane {
  readonly peer: PeerState;
  readonly lane: LinkLane;
  readonly runs: OutgoingRuns;
  address: string;
  connection: LinkConnection | undefined;
  incarnation: string;
  disconnect: () => void;
  redialPauseMs: number;
  disconnectedAtMs: number;
  /** Start of the current period with pending requests. */
  waitingSinceMs: number;
  /** True once the peer is no longer a member or no longer chosen as a peer. */
  isRemoved: boolean;
}

/** Creates a lane without a connection; `takeRunId` numbers its requests. */
export function createLane(options: {
  peer: PeerState;
  lane: LinkLane;
  address: string;
  nowMs: number;
  takeRunId: () => number;
}): OutgoingLane {
  const { peer, lane, address, nowMs, takeRunId } = options;
  return {
    peer,
    lane,
    runs: createOutgoingRuns({
      host: peer.host,
      takeRunId,
      onSettled: () => peer.outstanding--,
    }),
    address,
    connection: undefined,
    incarnation: '',
    disconnect: () => undefined,
    redialPauseMs: MIN_REDIAL_MS,
    disconnectedAtMs: nowMs,
    waitingSinceMs: 0,
    isRemoved: false,
  };
}
