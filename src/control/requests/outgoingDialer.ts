import type { HelloFrame, LinkFrame } from '../../schema/linkFrame.js';
import type { NodeMember } from '../../schema/nodeMember.js';
import type { RequestContext } from './context.js';
import { sendHistory } from './hostHistory.js';
import { MIN_REDIAL_MS } from './outgoingLane.js';
import type { OutgoingLane } from './outgoingLane.js';

/** Maximum mean pause before the next attempt to connect (ms); it doubles from `MIN_REDIAL_MS`. */
const MAX_REDIAL_MS = 1000;

/** Opens, replaces and closes the connections of the outgoing lanes. */
export interface OutgoingDialer {
  /** Opens the connection of a lane; does nothing while there is one. */
  dial(lane: OutgoingLane): void;
  /** Replaces the connection of a lane. */
  reconnect(lane: OutgoingLane, reason: string): void;
  /** Takes the lane into use if the expected host answered. */
  receiveHello(lane: OutgoingLane, frame: HelloFrame): void;
  /** Opens no connections any more; those that are open stay. */
  stop(): void;
}

/**
 * Creates the dialler of the outgoing lanes.
 *
 * @param options `receive` handles all received frames, `publishChange` is called when the phase of a lane changed.
 * @example
 * const dialer = createOutgoingDialer(context, { receive, publishChange: links.publishChange });
 * dialer.dial(createLane({ peer, lane: 'routine', address: member.linkAddress, nowMs: clock.now(), takeRunId }));
 */
export function createOutgoingDialer(
  { board, clock, random, io }: RequestContext,
  options: { receive: (lane: OutgoingLane, frame: LinkFrame) => void; publishChange: () => void },
): OutgoingDialer {
  let isStopped = false;

  const reportLink = (lane: OutgoingLane, outcome: string, detail: string): void => {
    const inputs = { peer: lane.peer.host, lane: lane.lane, pending: lane.runs.pendingCount, detail };
    board.post('decisions', { kind: 'linkChanged', outcome, inputs });
  };
  const dial = (lane: OutgoingLane): void => {
    const state = lane.peer.lanes[lane.lane];
    if (isStopped || lane.isRemoved || state.phase !== 'down') return;
    state.phase = 'dialling';
    lane.disconnect = io.dialLink(lane.address, {
      opened: (connection) => {
        lane.connection = connection;
        state.lastReceivedMs = clock.now();
        state.unansweredSinceMs = undefined;
        const { self } = board.read('members');
        const pending = lane.runs.listPending();
        connection.send({ type: 'hello', to: lane.peer.host, member: self as NodeMember, lane: lane.lane, pending });
      },
      receive: (frame) => {
        options.receive(lane, frame);
      },
      closed: (reason) => {
        handleDisconnect(lane, reason);
      },
    });
  };
  const handleDisconnect = (lane: OutgoingLane, reason: string): void => {
    const state = lane.peer.lanes[lane.lane];
    if (state.phase === 'down') return;
    if (state.phase === 'up') {
      lane.disconnectedAtMs = clock.now();
      reportLink(lane, 'down', reason);
    }
    state.phase = 'down';
    lane.connection = undefined;
    lane.disconnect = () => undefined;
    lane.runs.detach();
    options.publishChange();
    const pauseMs = lane.redialPauseMs * (0.5 + random());
    lane.redialPauseMs = Math.min(MAX_REDIAL_MS, lane.redialPauseMs * 2);
    clock.schedule(pauseMs, () => {
      dial(lane);
    });
  };
  const reconnect = (lane: OutgoingLane, reason: string): void => {
    lane.disconnect();
    handleDisconnect(lane, reason);
  };
  const receiveHello = (lane: OutgoingLane, { member }: HelloFrame): void => {
    if (lane.connection === undefined) return;
    if (member.host !== lane.peer.host) {
      reconnect(lane, `host ${member.host} answered at ${lane.address}`);
      board.post('members', { type: 'apply', members: [member], source: member.host, isComplete: false });
      return;
    }
    if (lane.incarnation !== '' && lane.incarnation !== member.incarnation) {
      lane.runs.failAll(`the process of ${lane.peer.host} was restarted`);
    }
    sendHistory(board, lane.connection, member);
    lane.incarnation = member.incarnation;
    lane.redialPauseMs = MIN_REDIAL_MS;
    lane.peer.lanes[lane.lane].phase = 'up';
    lane.runs.attach(lane.connection);
    reportLink(lane, 'up', '');
    board.post('members', { type: 'apply', members: [member], source: lane.peer.host, isComplete: false });
    options.publishChange();
  };
  return {
    dial,
    reconnect,
    receiveHello,
    stop: () => {
      isStopped = true;
    },
  };
}
