import { scheduleRepeated } from '../../core/clock.js';
import type { HelloFrame, LinkFrame, LinkLane, LoadReport, StatusFrame } from '../../schema/linkFrame.js';
import type { NodeMember } from '../../schema/nodeMember.js';
import type { Controller } from '../context.js';
import { chooseLane } from './context.js';
import type { LinkConnection, LinkEvents, RequestContext } from './context.js';
import { createIncomingRuns } from './incomingRuns.js';
import type { IncomingRuns } from './incomingRuns.js';
import { createOutgoingRuns } from './outgoingRuns.js';
import type { OutgoingRuns } from './outgoingRuns.js';
import { readOwnLoad } from './ownLoad.js';
import type { RunAttempt } from './runPort.js';
import { createUnknownLoad } from './sections.js';
import type { PeerState } from './sections.js';

/** Period of the checks and of status frames on connections with requests (ms). */
const TICK_MS = 125;
const ACTIVE_STATUS_MS = 250;
const IDLE_STATUS_MS = 1000;
/** Silence after which a connection with waiting requests is replaced (ms). */
const ACTIVE_SILENCE_MS = 750;
const IDLE_SILENCE_MS = 3500;
/** Time in which a broken connection may be replaced before its requests are given up (ms). */
const REPLACE_MS = 500;
const FIRST_REDIAL_MS = 10;
const LONGEST_REDIAL_MS = 1000;
/** Time that a peer may be ahead before it is asked, so that the store usually tells first (ms). */
const PULL_AFTER_MS = 200;
/** Bytes that may wait in a connection before it counts as stalled. */
const STALLED_BYTES = 8 * 1024 * 1024;

const lanes: readonly LinkLane[] = ['urgent', 'routine'];

interface OutgoingLane {
  readonly peer: PeerState;
  readonly lane: LinkLane;
  readonly runs: OutgoingRuns;
  address: string;
  connection: LinkConnection | undefined;
  incarnation: string;
  closeDial: () => void;
  redialMs: number;
  lostAtMs: number;
  /** The peer is no longer a member. */
  isRemoved: boolean;
  /** When requests began to wait without a break. */
  waitingSinceMs: number;
}

interface IncomingLane {
  readonly host: string;
  readonly runs: IncomingRuns;
  statusAtMs: number;
  usedAtMs: number;
}

export interface LinkController extends Controller {
  /** Takes a connection that another node opened. */
  acceptLink(connection: LinkConnection): Pick<LinkEvents, 'receive' | 'closed'>;
}

/** Writes what is known of other nodes by links; carries requests, status and news between nodes. */
export function createLinkController(context: RequestContext): LinkController {
  const { board, clock, random, io } = context;
  const links = board.claim('links', 'linkController');
  const { byHost } = links.section;
  const outgoing = new Map<string, OutgoingLane>();
  const incoming = new Map<string, IncomingLane>();
  const accepted = new Set<LinkConnection>();
  let sentRevision = -1;
  let lastTickMs = clock.now();
  let behindSinceMs: number | undefined;
  let isStopped = false;
  let stopTicks = (): void => undefined;

  const buildKey = (host: string, lane: LinkLane): string => `${lane} ${host}`;
  const buildStatus = (): StatusFrame => ({
    type: 'status',
    load: readOwnLoad(board, clock.now()),
    configurationVersion: board.read('routes').version,
    memberCount: board.read('members').byHost.size + 1,
  });
  const reportLink = (lane: OutgoingLane, outcome: string, detail: string): void => {
    const inputs = { peer: lane.peer.host, lane: lane.lane, pending: lane.runs.pendingCount, detail };
    board.post('decisions', { kind: 'linkChanged', outcome, inputs });
  };
  const getPeer = (host: string): PeerState => {
    let peer = byHost.get(host);
    if (peer === undefined) {
      peer = {
        host,
        lanes: { urgent: { phase: 'down', lastHeardMs: 0 }, routine: { phase: 'down', lastHeardMs: 0 } },
        load: createUnknownLoad(),
        loadAtMs: 0,
        sentSinceReport: 0,
        outstanding: 0,
        configurationVersion: -1,
        memberCount: 0,
      };
      byHost.set(host, peer);
    }
    return peer;
  };
  const putLoad = (peer: PeerState, load: LoadReport): void => {
    peer.load = load;
    peer.loadAtMs = clock.now();
    peer.sentSinceReport = 0;
  };

  const dial = (lane: OutgoingLane): void => {
    if (isStopped || lane.isRemoved || lane.connection !== undefined || lane.peer.lanes[lane.lane].phase !== 'down')
      return;
    lane.peer.lanes[lane.lane].phase = 'dialling';
    lane.closeDial = io.dialLink(lane.address, {
      opened: (connection) => {
        lane.connection = connection;
        lane.peer.lanes[lane.lane].lastHeardMs = clock.now();
        const { self } = board.read('members');
        const pending = lane.runs.listPending();
        connection.send({ type: 'hello', to: lane.peer.host, member: self, lane: lane.lane, pending });
      },
      receive: (frame) => {
        receiveOutgoing(lane, frame);
      },
      closed: (reason) => {
        loseOutgoing(lane, reason);
      },
    });
  };
  const loseOutgoing = (lane: OutgoingLane, reason: string): void => {
    const state = lane.peer.lanes[lane.lane];
    if (state.phase === 'down') return;
    if (state.phase === 'up') {
      lane.lostAtMs = clock.now();
      reportLink(lane, 'down', reason);
    }
    state.phase = 'down';
    lane.connection = undefined;
    lane.closeDial = () => undefined;
    lane.runs.detach();
    links.publishChange();
    const pauseMs = lane.redialMs * (0.5 + random());
    lane.redialMs = Math.min(LONGEST_REDIAL_MS, lane.redialMs * 2);
    clock.schedule(pauseMs, () => {
      dial(lane);
    });
  };
  const replace = (lane: OutgoingLane, reason: string): void => {
    lane.closeDial();
    loseOutgoing(lane, reason);
  };
  const receiveHello = (lane: OutgoingLane, { member }: HelloFrame): void => {
    if (lane.connection === undefined) return;
    if (member.host !== lane.peer.host) {
      replace(lane, `host ${member.host} answered at ${lane.address}`);
      board.post('members', { type: 'learn', members: [member], source: member.host, isComplete: false });
      return;
    }
    if (lane.incarnation !== '' && lane.incarnation !== member.incarnation) {
      lane.runs.failAll(`the process of ${lane.peer.host} was restarted`);
    }
    lane.incarnation = member.incarnation;
    lane.redialMs = FIRST_REDIAL_MS;
    lane.peer.lanes[lane.lane].phase = 'up';
    lane.runs.attach(lane.connection);
    reportLink(lane, 'up', '');
    board.post('members', { type: 'learn', members: [member], source: lane.peer.host, isComplete: false });
    links.publishChange();
  };
  const receiveOutgoing = (lane: OutgoingLane, frame: LinkFrame): void => {
    const { peer } = lane;
    peer.lanes[lane.lane].lastHeardMs = clock.now();
    if (frame.type === 'answer' || frame.type === 'failed') putLoad(peer, frame.load);
    if (lane.runs.receive(frame)) return;
    if (frame.type === 'hello') receiveHello(lane, frame);
    else if (frame.type === 'status') receiveStatus(peer, frame);
    else receiveNews(peer.host, frame, lane.connection);
  };
  const receiveStatus = (peer: PeerState, frame: StatusFrame): void => {
    const hasChanged = peer.load.phase !== frame.load.phase || peer.load.targetId !== frame.load.targetId;
    putLoad(peer, frame.load);
    peer.configurationVersion = frame.configurationVersion;
    peer.memberCount = frame.memberCount;
    if (hasChanged) links.publishChange();
  };
  const receiveNews = (host: string, frame: LinkFrame, connection: LinkConnection | undefined): void => {
    if (frame.type === 'members') {
      const isComplete = frame.members.length > 1;
      board.post('members', { type: 'learn', members: frame.members, source: host, isComplete });
    } else if (frame.type === 'configuration') {
      board.post('routes', { configuration: frame.configuration, source: host });
    } else if (frame.type === 'crash') {
      const { reportId, fingerprints } = frame;
      board.post('quarantine', { type: 'report', reportId, fingerprints, source: host });
    } else if (frame.type === 'pull') {
      respondToPull(frame.what, connection);
    }
  };
  const respondToPull = (what: 'members' | 'configuration', connection: LinkConnection | undefined): void => {
    const { self, byHost: known } = board.read('members');
    if (what === 'members') {
      connection?.send({ type: 'members', members: [...known.values(), self] as NodeMember[] });
      return;
    }
    const configuration = board.read('routes').table?.configuration;
    if (configuration !== undefined) connection?.send({ type: 'configuration', configuration: configuration as never });
  };
  const fetchIfBehind = (): void => {
    const { version } = board.read('routes');
    const { isComplete, storeHeardMs, byHost: known } = board.read('members');
    const isStoreLost = storeHeardMs === undefined;
    let ahead: PeerState | undefined;
    let knowsMore: PeerState | undefined;
    for (const peer of byHost.values()) {
      if (peer.lanes.routine.phase !== 'up') continue;
      if (peer.configurationVersion > Math.max(version, ahead?.configurationVersion ?? -1)) ahead = peer;
      if (peer.memberCount > known.size + 1 && (isStoreLost || !isComplete)) knowsMore = peer;
    }
    if (ahead === undefined) behindSinceMs = undefined;
    else if ((behindSinceMs ??= clock.now()) + PULL_AFTER_MS <= clock.now()) sendPull(ahead, 'configuration');
    if (knowsMore !== undefined) sendPull(knowsMore, 'members');
  };
  const sendPull = (peer: PeerState, what: 'members' | 'configuration'): void => {
    outgoing.get(buildKey(peer.host, 'routine'))?.connection?.send({ type: 'pull', what });
  };

  const openLanes = (member: NodeMember): void => {
    const peer = getPeer(member.host);
    for (const lane of lanes) {
      const key = buildKey(member.host, lane);
      let entry = outgoing.get(key);
      if (entry === undefined) {
        entry = {
          peer,
          lane,
          runs: createOutgoingRuns(member.host, () => peer.outstanding--),
          address: member.linkAddress,
          connection: undefined,
          incarnation: '',
          closeDial: () => undefined,
          redialMs: FIRST_REDIAL_MS,
          lostAtMs: 0,
          isRemoved: false,
          waitingSinceMs: 0,
        };
        outgoing.set(key, entry);
        dial(entry);
      } else if (entry.address !== member.linkAddress) {
        entry.address = member.linkAddress;
        replace(entry, 'the address changed');
      }
    }
  };
  const openAll = (): void => {
    const { byHost: known } = board.read('members');
    for (const member of known.values()) openLanes(member as NodeMember);
    for (const [key, lane] of outgoing) if (!known.has(lane.peer.host)) closeLane(key, lane);
    spreadSelf();
  };
  const closeLane = (key: string, lane: OutgoingLane): void => {
    outgoing.delete(key);
    byHost.delete(lane.peer.host);
    lane.isRemoved = true;
    lane.closeDial();
    lane.runs.failAll(`${lane.peer.host} is no longer a member`);
  };
  const spreadSelf = (): void => {
    const { self } = board.read('members');
    if (self.revision === sentRevision) return;
    sentRevision = self.revision;
    for (const { connection, lane } of outgoing.values()) {
      if (lane === 'routine') connection?.send({ type: 'members', members: [self as NodeMember] });
    }
  };
  const send = (attempt: RunAttempt): void => {
    const lane = outgoing.get(buildKey(attempt.host, chooseLane(attempt.request.priority)));
    if (lane === undefined || lane.peer.lanes[lane.lane].phase !== 'up') {
      const detail = `no connection to ${attempt.host}`;
      attempt.events.fail({ kind: 'linkLost', ran: 'no', hasArrived: false, detail });
      return;
    }
    if (lane.runs.pendingCount === 0) lane.waitingSinceMs = clock.now();
    lane.peer.outstanding++;
    lane.peer.sentSinceReport++;
    lane.runs.send(attempt);
  };

  const sendStatus = (lane: IncomingLane, status: StatusFrame): void => {
    lane.statusAtMs = clock.now();
    lane.runs.send(status);
  };
  const spreadStatus = (): void => {
    const status = buildStatus();
    for (const lane of incoming.values()) sendStatus(lane, status);
  };
  const acceptHello = (connection: LinkConnection, hello: HelloFrame): IncomingLane => {
    const { host } = hello.member;
    const key = buildKey(host, hello.lane);
    let lane = incoming.get(key);
    if (lane === undefined) {
      const runs = createIncomingRuns({
        host,
        clock,
        accept: (attempt) => {
          board.post('runs', { type: 'accept', attempt });
        },
        readLoad: () => readOwnLoad(board, clock.now()),
      });
      lane = { host, runs, statusAtMs: 0, usedAtMs: 0 };
      incoming.set(key, lane);
    }
    const { self, byHost: known } = board.read('members');
    connection.send({ type: 'hello', to: host, member: self as NodeMember, lane: hello.lane, pending: [] });
    const record = known.get(host);
    if (record !== undefined && record.incarnation !== hello.member.incarnation) {
      connection.send({ type: 'members', members: [record as NodeMember] });
    }
    lane.runs.attach(connection, hello);
    sendStatus(lane, buildStatus());
    board.post('members', { type: 'learn', members: [hello.member], source: host, isComplete: false });
    return lane;
  };
  /** Tells a peer that means an earlier host at this address which one is here. */
  const refuseHello = (connection: LinkConnection, { member, to, lane }: HelloFrame): void => {
    const { self } = board.read('members');
    board.post('decisions', { kind: 'linkChanged', outcome: 'refused', inputs: { peer: member.host, to } });
    connection.send({ type: 'hello', to: member.host, member: self as NodeMember, lane, pending: [] });
  };
  const acceptLink = (connection: LinkConnection): Pick<LinkEvents, 'receive' | 'closed'> => {
    accepted.add(connection);
    let lane: IncomingLane | undefined;
    return {
      receive: (frame) => {
        if (frame.type === 'hello') {
          if (frame.to === board.read('members').self.host) lane = acceptHello(connection, frame);
          else refuseHello(connection, frame);
        } else if (lane?.runs.isCurrent(connection) === true) {
          lane.usedAtMs = clock.now();
          lane.runs.receive(frame);
          receiveNews(lane.host, frame, connection);
        }
      },
      closed: (reason) => {
        accepted.delete(connection);
        lane?.runs.detach(connection);
        const inputs = { peer: lane?.host, open: lane?.runs.openCount, detail: reason };
        board.post('decisions', { kind: 'linkChanged', outcome: 'accepted one ended', inputs });
      },
    };
  };

  const checkOutgoing = (lane: OutgoingLane, nowMs: number): void => {
    const state = lane.peer.lanes[lane.lane];
    const { pendingCount } = lane.runs;
    if (state.phase !== 'up') {
      if (pendingCount > 0 && nowMs - lane.lostAtMs > REPLACE_MS) {
        lane.runs.failAll(`${lane.peer.host} cannot be reached for ${Math.round(nowMs - lane.lostAtMs)} ms`);
      }
      if (state.phase === 'dialling' && lane.connection !== undefined && nowMs - state.lastHeardMs > ACTIVE_SILENCE_MS)
        replace(lane, 'no hello');
      return;
    }
    const heardMs = Math.max(state.lastHeardMs, pendingCount > 0 ? lane.waitingSinceMs : 0);
    const boundMs = pendingCount > 0 ? ACTIVE_SILENCE_MS : IDLE_SILENCE_MS;
    if (nowMs - heardMs > boundMs) replace(lane, `silent for ${Math.round(nowMs - state.lastHeardMs)} ms`);
    else if ((lane.connection?.waitingBytes ?? 0) > STALLED_BYTES) replace(lane, 'stalled');
  };
  const runTick = (): void => {
    const nowMs = clock.now();
    // A process that did not run itself must not take its peers for silent.
    const lateMs = nowMs - lastTickMs - TICK_MS;
    lastTickMs = nowMs;
    for (const lane of outgoing.values()) {
      if (lateMs > TICK_MS) lane.peer.lanes[lane.lane].lastHeardMs += lateMs;
      checkOutgoing(lane, nowMs);
    }
    const status = buildStatus();
    for (const lane of incoming.values()) {
      const isActive = lane.runs.openCount > 0 || nowMs - lane.usedAtMs < IDLE_STATUS_MS;
      if (nowMs - lane.statusAtMs >= (isActive ? ACTIVE_STATUS_MS : IDLE_STATUS_MS)) sendStatus(lane, status);
    }
    fetchIfBehind();
  };
  links.handlePosts((post) => {
    if (post.type === 'send') {
      send(post.attempt);
      return;
    }
    const { reportId, fingerprints } = post;
    for (const { connection, lane } of outgoing.values()) {
      if (lane === 'routine') connection?.send({ type: 'crash', reportId, fingerprints: [...fingerprints] });
    }
  });
  return {
    acceptLink,
    start: () => {
      board.subscribe('members', openAll);
      board.subscribe('target', spreadStatus);
      board.subscribe('node', spreadStatus);
      stopTicks = scheduleRepeated(clock, TICK_MS, runTick);
    },
    stop: () => {
      isStopped = true;
      stopTicks();
      for (const lane of outgoing.values()) lane.closeDial();
      for (const connection of accepted) connection.close();
    },
  };
}
