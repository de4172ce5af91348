import type { HelloFrame, LinkFrame, LinkLane, Profile, StatusFrame } from '../../schema/linkFrame.js';
import type { NodeMember } from '../../schema/nodeMember.js';
import type { AcceptedLinkEvents, LinkConnection, RequestContext } from './context.js';
import { sendHistory } from './hostHistory.js';
import { createIncomingRuns } from './incomingRuns.js';
import type { IncomingRuns } from './incomingRuns.js';
import type { LinkBudget } from './linkBudget.js';
import type { PeerUpdates } from './peerUpdates.js';
import type { RunAttempt } from './runPort.js';
import { hasDemandChanged } from '../../policy/fleetDemand.js';
import { readLocalLoad } from './localLoad.js';
import { createEmptyProfile } from './sections.js';

/** Interval between status frames on active connections (ms). */
const ACTIVE_STATUS_INTERVAL_MS = 250;
/**
 * Minimum time between a frame and the life sign that responds to a request (ms); senders suspect a silent connection after
 * 300 ms.
 */
const MIN_LIFE_SIGN_INTERVAL_MS = 100;
/** Interval between status frames on idle routine connections (ms); idle urgent connections carry none. */
const IDLE_STATUS_INTERVAL_MS = 2000;
/** The same within a data centre, whose nodes learn from each other of changes at the store (ms). */
const LOCAL_IDLE_STATUS_INTERVAL_MS = 1000;
/**
 * Interval between profiles on active routine connections (ms): the minimum after the demand changed, else the maximum.
 */
const MIN_PROFILE_INTERVAL_MS = 250;
const MAX_PROFILE_INTERVAL_MS = 1000;
/** Minimum interval between profiles on idle routine connections (ms). */
const IDLE_PROFILE_INTERVAL_MS = 4000;
/** Time after the last received frame for which a connection counts as active (ms). */
const ACTIVE_WINDOW_MS = 1000;

interface IncomingLane {
  readonly host: string;
  readonly lane: LinkLane;
  readonly runs: IncomingRuns;
  /** Interval between status frames while the connection is idle (ms). */
  readonly idleIntervalMs: number;
  statusAtMs: number;
  /** Time at which an answer last carried the load. */
  loadAtMs: number;
  /** The last received request, if nothing was sent since. */
  owedRunId: number | undefined;
  lifeSignAtMs: number;
  profileAtMs: number;
  /** The profile that was sent last. */
  profile: Profile;
  usedAtMs: number;
}

/** The connections opened by other nodes, over which they send requests. */
export interface IncomingLinks {
  accept(connection: LinkConnection): AcceptedLinkEvents;
  /** Sends the status of this node to all peers, or only to those for which it is due. */
  broadcastStatus(options?: { onlyIfDue: boolean }): void;
  /** Reports closed connections that belong to no peer, and those that were closed for the sake of others. */
  reportClosed(): void;
  stop(): void;
}

/** Creates the accepting side of all links. */
export function createIncomingLinks(
  context: RequestContext,
  options: {
    updates: PeerUpdates;
    budget: LinkBudget;
    /** Returns how long this process has just been paused (ms), or 0. */
    readPause: () => number;
  },
): IncomingLinks {
  const { board, clock } = context;
  const incoming = new Map<string, IncomingLane>();
  const connections = new Set<LinkConnection>();
  /** Closed connections without a lane since the last report, which may be many, and why the last one was closed. */
  let unnamed = { count: 0, detail: '' };

  const buildStatus = (): StatusFrame => {
    const { era } = board.read('store');
    return {
      type: 'status',
      load: readLocalLoad(board, clock.now()),
      configurationVersion: board.read('routes').version,
      memberCount: board.read('members').byHost.size + 1,
      membersDigest: board.read('members').digest,
      ...(era === undefined ? {} : { storeEra: era }),
      ...(board.read('routes').isStoreLost ? { isStoreLost: true } : {}),
    };
  };
  const isStatusDue = (lane: IncomingLane, nowMs: number, isActive: boolean): boolean => {
    const { statusAtMs, loadAtMs, idleIntervalMs } = lane;
    if (nowMs - statusAtMs >= idleIntervalMs) return true;
    return isActive && nowMs - Math.max(statusAtMs, loadAtMs) >= ACTIVE_STATUS_INTERVAL_MS;
  };
  const sendStatus = (lane: IncomingLane, status: StatusFrame): void => {
    lane.statusAtMs = clock.now();
    lane.owedRunId = undefined;
    lane.runs.send(status);
  };
  /**
   * Shows the sender of a request that the connection works in both directions: now, or at a tick if it was shown just
   * before. It carries no load: senders count what they sent since the last report.
   */
  const sendLifeSign = (lane: IncomingLane): void => {
    const { owedRunId, statusAtMs, loadAtMs, lifeSignAtMs } = lane;
    const nowMs = clock.now();
    if (owedRunId === undefined) return;
    if (nowMs - Math.max(statusAtMs, loadAtMs, lifeSignAtMs) < MIN_LIFE_SIGN_INTERVAL_MS) return;
    lane.owedRunId = undefined;
    lane.lifeSignAtMs = nowMs;
    lane.runs.send({ type: 'grant', id: owedRunId, bytes: 0 });
  };
  /**
   * Tells a peer that this node holds the record which it sent of itself; its acknowledgements may depend on such copies.
   */
  const acknowledgeRecord = (lane: IncomingLane, frame: LinkFrame): void => {
    if (frame.type === 'members' && frame.members.some(({ host }) => host === lane.host))
      sendStatus(lane, buildStatus());
  };
  const sendProfile = (lane: IncomingLane, nowMs: number, isActive: boolean): void => {
    const sinceMs = nowMs - lane.profileAtMs;
    if (sinceMs < (isActive ? MIN_PROFILE_INTERVAL_MS : IDLE_PROFILE_INTERVAL_MS)) return;
    const profile = board.read('demand').profile as Profile;
    if (sinceMs < MAX_PROFILE_INTERVAL_MS && !hasDemandChanged(profile, lane.profile)) return;
    lane.profileAtMs = nowMs;
    lane.profile = profile;
    lane.runs.send({ type: 'profile', profile });
  };
  /** Refuses a request that may have waited while this process was paused: its time left is no longer true. */
  const acceptRun = (attempt: RunAttempt): void => {
    const pauseMs = options.readPause();
    if (pauseMs === 0) {
      board.post('runs', { type: 'accept', attempt });
      return;
    }
    const { requestId: id, route } = attempt.request;
    const inputs = { route, pauseMs: Math.round(pauseMs) };
    board.post('decisions', { kind: 'runFailed', id, outcome: 'received after a pause', inputs });
    const detail = `the process was paused for ${Math.round(pauseMs)} ms`;
    attempt.events.fail({ kind: 'tooLate', ran: 'no', hasArrived: false, detail });
  };
  const getLane = ({ member: { host, dataCenter }, lane }: HelloFrame): IncomingLane => {
    const key = `${lane} ${host}`;
    let entry = incoming.get(key);
    if (entry === undefined) {
      const runs = createIncomingRuns({
        host,
        clock,
        accept: acceptRun,
        readLoad: () => {
          // Answers carry the load too, which postpones the next status frame.
          const nowMs = clock.now();
          if (entry !== undefined) {
            entry.loadAtMs = nowMs;
            entry.owedRunId = undefined;
          }
          return readLocalLoad(board, nowMs);
        },
        reportDiscarded: (requestId, outcome) => {
          const inputs = { host, lane, outcome };
          board.post('decisions', { kind: 'runEnded', id: requestId, outcome: 'outcome discarded', inputs });
        },
      });
      entry = {
        host,
        lane,
        runs,
        idleIntervalMs:
          dataCenter === board.read('members').self.dataCenter
            ? LOCAL_IDLE_STATUS_INTERVAL_MS
            : IDLE_STATUS_INTERVAL_MS,
        statusAtMs: 0,
        loadAtMs: 0,
        owedRunId: undefined,
        lifeSignAtMs: 0,
        profileAtMs: 0,
        profile: createEmptyProfile(),
        usedAtMs: 0,
      };
      incoming.set(key, entry);
    }
    return entry;
  };
  const sendHello = (connection: LinkConnection, hello: HelloFrame): void => {
    const { self } = board.read('members');
    const { member, lane } = hello;
    connection.send({ type: 'hello', to: member.host, member: self as NodeMember, lane, pending: [] });
  };
  const acceptHello = (connection: LinkConnection, hello: HelloFrame): IncomingLane => {
    const { host } = hello.member;
    const lane = getLane(hello);
    // Before the hello, with which the peer counts this link as up.
    sendHistory(board, connection, hello.member);
    sendHello(connection, hello);
    lane.runs.attach(connection, hello);
    sendStatus(lane, buildStatus());
    board.post('members', { type: 'apply', members: [hello.member], source: host, isComplete: false });
    return lane;
  };
  /** Answers a peer that expects an earlier host at this address with the identity of this one. */
  const refuseHello = (connection: LinkConnection, hello: HelloFrame): void => {
    const inputs = { peer: hello.member.host, to: hello.to };
    board.post('decisions', { kind: 'linkChanged', outcome: 'refused', inputs });
    sendHello(connection, hello);
  };
  return {
    accept: (opened) => {
      let lane: IncomingLane | undefined;
      let hasHello = false;
      const release = (): void => {
        link.remove();
        connections.delete(connection);
      };
      // A link also ends by `close` when its peer opens another one.
      const connection: LinkConnection = {
        send: opened.send,
        get bufferedBytes() {
          return opened.bufferedBytes;
        },
        close: () => {
          opened.close();
          release();
        },
      };
      const close = (reason: string): void => {
        opened.close();
        handleClosed(reason);
      };
      const handleClosed = (reason: string): void => {
        release();
        lane?.runs.detach(connection);
        if (lane === undefined) {
          unnamed = { count: unnamed.count + 1, detail: reason };
          return;
        }
        const inputs = { peer: lane.host, open: lane.runs.openCount, detail: reason };
        board.post('decisions', { kind: 'linkChanged', outcome: 'accepted connection closed', inputs });
      };
      const link = options.budget.add({ isInUse: () => lane?.runs.isCurrent(connection) === true, close });
      connections.add(connection);
      return {
        changeHeldBytes: link.changeHeldBytes,
        isAccepted: () => lane !== undefined,
        receive: (frame) => {
          link.observeFrame();
          if (frame.type === 'hello') {
            hasHello = true;
            if (frame.to === board.read('members').self.host) {
              link.acceptHello();
              lane = acceptHello(connection, frame);
            } else refuseHello(connection, frame);
          } else if (!hasHello) close(`received a ${frame.type} frame before the hello`);
          else if (lane?.runs.isCurrent(connection) === true) {
            // All nodes ask the allocator some times a second, which needs no status and profile of it at that rate.
            if (frame.type !== 'quotaAsk') lane.usedAtMs = clock.now();
            lane.runs.receive(frame);
            if (frame.type === 'run') {
              lane.owedRunId = frame.id;
              sendLifeSign(lane);
            }
            options.updates.receive(lane.host, frame, connection);
            acknowledgeRecord(lane, frame);
          }
        },
        closed: handleClosed,
      };
    },
    broadcastStatus: ({ onlyIfDue } = { onlyIfDue: false }) => {
      const nowMs = clock.now();
      const status = buildStatus();
      for (const lane of incoming.values()) {
        sendLifeSign(lane);
        const isActive = lane.runs.openCount > 0 || nowMs - lane.usedAtMs < ACTIVE_WINDOW_MS;
        if (!isActive && lane.lane === 'urgent') continue;
        if (!onlyIfDue || isStatusDue(lane, nowMs, isActive)) sendStatus(lane, status);
        if (lane.lane === 'routine') sendProfile(lane, nowMs, isActive);
      }
    },
    reportClosed: () => {
      options.budget.reportEvictions();
      if (unnamed.count === 0) return;
      board.post('decisions', {
        kind: 'linkChanged',
        outcome: 'accepted connections without a peer closed',
        inputs: unnamed,
      });
      unnamed = { count: 0, detail: '' };
    },
    stop: () => {
      for (const connection of connections) connection.close();
    },
  };
}
