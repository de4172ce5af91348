import type { LinkFrame, LinkLane, StatusFrame } from '../../schema/linkFrame.js';
import type { ReadView } from '../../core/blackboard.js';
import { choosePeers } from '../../policy/peerChoice.js';
import { listUrgentServices } from '../../policy/organisations.js';
import type { NodeMember } from '../../schema/nodeMember.js';
import { chooseLane, isInOwnDataCenter } from './context.js';
import type { RequestContext } from './context.js';
import { createLaneCheck } from './outgoingCheck.js';
import { createOutgoingDialer } from './outgoingDialer.js';
import { createLane } from './outgoingLane.js';
import type { OutgoingLane } from './outgoingLane.js';
import { createPeer } from './peerState.js';
import type { PeerState } from './peerState.js';
import type { PeerUpdates } from './peerUpdates.js';
import type { RunAttempt } from './runPort.js';
import type { RequestSections } from './sections.js';
import { observeStoreEra } from './storeReading.js';

/** Time without a connection to a peer after which another one is chosen in its place (ms). */
const UNUSABLE_AFTER_MS = 1500;
/** Interval between updates of the chosen peers (ms). */
const PEER_CHOICE_INTERVAL_MS = 1000;

/** The connections opened by this node, over which it sends requests. */
export interface OutgoingLinks {
  /** Opens connections to the chosen peers, and closes those to hosts that are no longer chosen or members. */
  updatePeers(): void;
  /** `isUrgent`: the request may take the lane of urgent requests. */
  sendRun(attempt: RunAttempt, isUrgent: boolean): void;
  /** Sends a frame on the routine lane to one peer, or to all peers. */
  send(frame: LinkFrame, host?: string): void;
  /** Sends a frame on the routine lane to all peers in the own data centre. */
  sendToDataCenter(frame: LinkFrame): void;
  /**
   * Replaces unresponsive and stalled connections, and fails requests whose lane did not reconnect in time. `lateMs` is
   * how late the check itself runs.
   */
  check(nowMs: number, lateMs: number): void;
  stop(): void;
}

/** Creates the dialling side of all links; writes the peers of the links section. */
export function createOutgoingLinks(
  context: RequestContext,
  section: RequestSections['links'],
  options: { updates: PeerUpdates; publishChange: () => void },
): OutgoingLinks {
  const { board, clock } = context;
  const { byHost } = section;
  const outgoing = new Map<string, OutgoingLane>();
  let chosenAtMs = -Infinity;
  // Peers know a request by this number and the incarnation of its sender, also after the lane was closed and opened again.
  let nextRunId = 0;

  const buildKey = (host: string, lane: LinkLane): string => `${lane} ${host}`;
  const receiveStatus = (peer: PeerState, frame: StatusFrame): void => {
    const hasChanged = peer.load.phase !== frame.load.phase || peer.load.targetId !== frame.load.targetId;
    updateLoad(peer, frame.load);
    peer.configurationVersion = frame.configurationVersion;
    peer.isStoreLost = frame.isStoreLost ?? false;
    peer.memberCount = frame.memberCount;
    peer.membersDigest = frame.membersDigest;
    observeStoreEra(board, frame.storeEra, peer.host);
    if (hasChanged) options.publishChange();
  };
  const updateLoad = (peer: PeerState, load: PeerState['load']): void => {
    peer.load = load;
    peer.loadAtMs = clock.now();
    peer.sentSinceReport = 0;
  };
  const receive = (lane: OutgoingLane, frame: LinkFrame): void => {
    const { peer } = lane;
    const state = peer.lanes[lane.lane];
    state.lastReceivedMs = clock.now();
    state.unansweredSinceMs = undefined;
    if (frame.type === 'answer' || frame.type === 'failed') updateLoad(peer, frame.load);
    if (lane.runs.receive(frame)) return;
    if (frame.type === 'hello') dialer.receiveHello(lane, frame);
    else if (frame.type === 'status') receiveStatus(peer, frame);
    else if (frame.type === 'profile') peer.profile = frame.profile;
    else options.updates.receive(peer.host, frame, lane.connection);
  };
  const dialer = createOutgoingDialer(context, { receive, publishChange: options.publishChange });
  const checkLane = createLaneCheck(context, {
    reconnect: dialer.reconnect,
    findSibling: ({ peer, lane }) => outgoing.get(buildKey(peer.host, lane === 'urgent' ? 'routine' : 'urgent')),
  });
  const getPeer = (host: string): PeerState => {
    let peer = byHost.get(host);
    if (peer === undefined) byHost.set(host, (peer = createPeer(host)));
    return peer;
  };
  const openLane = (member: ReadView<NodeMember>, lane: LinkLane): void => {
    const key = buildKey(member.host, lane);
    const known = outgoing.get(key);
    if (known === undefined) {
      const peer = getPeer(member.host);
      const opened = createLane({
        peer,
        lane,
        address: member.linkAddress,
        nowMs: clock.now(),
        takeRunId: () => nextRunId++,
      });
      outgoing.set(key, opened);
      dialer.dial(opened);
    } else if (known.address !== member.linkAddress) {
      known.address = member.linkAddress;
      dialer.reconnect(known, 'the peer address changed');
    }
  };
  const isUsable = (host: string): boolean => {
    const phase = board.read('members').byHost.get(host)?.target?.phase;
    if (phase === 'draining' || phase === 'left') return false;
    const lane = outgoing.get(buildKey(host, 'routine'));
    if (lane === undefined || lane.peer.lanes.routine.phase === 'up') return true;
    return clock.now() - lane.disconnectedAtMs < UNUSABLE_AFTER_MS;
  };
  const updatePeers = (): void => {
    const { self, byHost: members } = board.read('members');
    const { byService } = board.read('budgets');
    const isUsed = (service: string): boolean => byService.has(service);
    chosenAtMs = clock.now();
    const chosen = choosePeers({ self, members: members.values(), isUsable, isUsed });
    const { table } = board.read('routes');
    const urgentServices = table === undefined ? new Set<string>() : listUrgentServices(table);
    for (const host of chosen) {
      const member = members.get(host);
      if (member === undefined) continue;
      openLane(member, 'routine');
      if (urgentServices.has(member.service)) openLane(member, 'urgent');
    }
    const kept = openQuotaLinks(chosen);
    for (const [key, lane] of outgoing) {
      const isMember = members.has(lane.peer.host);
      if (!isMember || (!kept.has(lane.peer.host) && lane.peer.outstanding === 0)) closeLane(key, lane);
    }
  };
  /** Opens links to the hosts that quotas need in addition; returns all hosts with a link. */
  const openQuotaLinks = (chosen: ReadonlySet<string>): ReadonlySet<string> => {
    const { candidates } = board.read('quotas');
    for (const host of candidates) {
      const member = board.read('members').byHost.get(host);
      if (member !== undefined && !chosen.has(host)) openLane(member, 'routine');
    }
    // Else most nodes would place requests at the targets of the same few hosts.
    for (const peer of byHost.values()) peer.takesRuns = chosen.has(peer.host) || !candidates.includes(peer.host);
    return candidates.length === 0 ? chosen : new Set([...chosen, ...candidates]);
  };
  const closeLane = (key: string, lane: OutgoingLane): void => {
    outgoing.delete(key);
    byHost.delete(lane.peer.host);
    lane.isRemoved = true;
    lane.disconnect();
    lane.runs.failAll(`${lane.peer.host} is no longer a member or peer`);
  };
  return {
    updatePeers,
    sendRun: (attempt, isUrgent) => {
      const peer = byHost.get(attempt.host);
      const name = peer === undefined ? 'routine' : chooseLane(peer, { isUrgent, nowMs: clock.now() });
      const lane = outgoing.get(buildKey(attempt.host, name));
      if (lane?.peer.lanes[lane.lane].phase !== 'up') {
        const detail = `no connection to ${attempt.host}`;
        attempt.events.fail({ kind: 'linkLost', ran: 'no', hasArrived: false, detail });
        return;
      }
      lane.peer.lanes[lane.lane].unansweredSinceMs ??= clock.now();
      if (lane.runs.pendingCount === 0) lane.waitingSinceMs = clock.now();
      lane.peer.outstanding++;
      lane.peer.sentSinceReport++;
      lane.peer.lastTargetId = lane.peer.load.targetId;
      lane.runs.send(attempt);
    },
    send: (frame, host) => {
      if (host !== undefined) {
        outgoing.get(buildKey(host, 'routine'))?.connection?.send(frame);
        return;
      }
      for (const { connection, lane } of outgoing.values()) if (lane === 'routine') connection?.send(frame);
    },
    sendToDataCenter: (frame) => {
      for (const { connection, lane, peer } of outgoing.values())
        if (lane === 'routine' && isInOwnDataCenter(board, peer.host)) connection?.send(frame);
    },
    check: (nowMs, lateMs) => {
      if (nowMs - chosenAtMs >= PEER_CHOICE_INTERVAL_MS) updatePeers();
      for (const lane of outgoing.values()) {
        // Compensates for pauses of this process, which must not make its peers look unresponsive.
        const state = lane.peer.lanes[lane.lane];
        state.lastReceivedMs += lateMs;
        if (state.unansweredSinceMs !== undefined) state.unansweredSinceMs += lateMs;
        checkLane(lane, nowMs);
      }
    },
    stop: () => {
      dialer.stop();
      for (const lane of outgoing.values()) lane.disconnect();
    },
  };
}
