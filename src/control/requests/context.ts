import type { ReadView } from '../../core/blackboard.js';
import type { Clock } from '../../core/clock.js';
import type { DeadlineTimer } from '../../core/deadlineTimer.js';
import type { Random } from '../../core/random.js';
import type { LinkFrame, LinkLane } from '../../schema/linkFrame.js';
import type { StoreRead, StoreWrite } from '../../schema/keyedStore.js';
import type { NodeMember } from '../../schema/nodeMember.js';
import type { LinkState, RequestBoard, PeerState } from './sections.js';
import type { SendToTarget } from './runPort.js';

/** One open connection to another node. */
export interface LinkConnection {
  send(frame: LinkFrame): void;
  /** Bytes buffered for writing. */
  readonly bufferedBytes: number;
  close(): void;
}

/** Callbacks of a connection to another node; `closed` is called at most once. */
export interface LinkEvents {
  opened(connection: LinkConnection): void;
  receive(frame: LinkFrame): void;
  closed(reason: string): void;
}

/** Events of a connection that another node opened. */
export interface AcceptedLinkEvents extends Pick<LinkEvents, 'receive' | 'closed'> {
  /** Called when the bytes change that the connection holds. */
  changeHeldBytes(bytes: number): void;
  /** True once the other node said who it is, and was accepted. */
  isAccepted(): boolean;
}

/** Connects to another node; the returned function cancels the attempt or closes the connection. */
export type DialLink = (address: string, events: LinkEvents) => () => void;

/** A log of keyed records in the platform's store that this node watches. */
export interface KeyedTopic {
  /** Reads the latest record of each key. */
  readNewest(done: (outcome: StoreRead) => void): void;
  /**
   * Reads records from an offset on; waits up to `waitMs` for the first one. Ends as `unanswered` when there is no
   * response soon after that; later reads then use new connections. The returned function cancels the read.
   */
  readFrom(offset: number, waitMs: number, done: (outcome: StoreRead) => void): () => void;
}

/** Duration of an answered request, measured at its entry node or at its target. */
export interface DurationSample {
  place: 'entry' | 'target';
  route: string;
  durationMs: number;
}

/** A write of the record of this host. */
export interface MemberWrite {
  readonly member: NodeMember;
  readonly fencingToken: number;
}

/** The side effects of a request node, passed in as functions. */
export interface RequestIo {
  sendToTarget: SendToTarget;
  /** Tries to connect to the local target (`IP:PORT`); reports false when nothing listens there. */
  probeTarget: (address: string, done: (isUp: boolean) => void) => void;
  dialLink: DialLink;
  /** Records of type `RouteConfiguration` under one key. */
  configurationTopic: KeyedTopic;
  /** Records of type `NodeMember`, keyed by host. */
  memberTopic: KeyedTopic;
  /** Writes the record of this host, unless the store has accepted one with a higher fencing token. */
  writeMember: (write: MemberWrite, done: (outcome: StoreWrite) => void) => void;
  /** Deletes the record of a host that no longer exists. */
  dropMember: (host: string, done: (outcome: StoreWrite) => void) => void;
  recordDuration: (sample: DurationSample) => void;
  /** Writes log lines; calls `done` when it can accept more. */
  writeLines: (lines: readonly string[], done: () => void) => void;
}

/** The dependencies passed to each controller of a request node. */
export interface RequestContext {
  board: RequestBoard;
  clock: Clock;
  deadlines: DeadlineTimer;
  random: Random;
  io: RequestIo;
}

/** Time without any frame after a request was sent, after which its lane is suspected to be silent (ms). */
const SUSPECT_AFTER_MS = 300;

/** True when a lane owes a sign of life: peers respond to a request at once, or 100 ms and a tick after the last frame. */
export function isSuspectLane({ unansweredSinceMs }: ReadView<LinkState>, nowMs: number): boolean {
  return unansweredSinceMs !== undefined && nowMs - unansweredSinceMs > SUSPECT_AFTER_MS;
}

/** Returns the lane for a request: `urgent` if it may take that one, unless only the routine one has shown life since. */
export function chooseLane(
  { lanes }: ReadView<Pick<PeerState, 'lanes'>>,
  { isUrgent, nowMs }: { isUrgent: boolean; nowMs: number },
): LinkLane {
  const { urgent, routine } = lanes;
  if (!isUrgent || urgent.phase !== 'up') return 'routine';
  const isRoutineAlive = routine.phase === 'up' && routine.lastReceivedMs > (urgent.unansweredSinceMs ?? Infinity);
  return isSuspectLane(urgent, nowMs) && isRoutineAlive ? 'routine' : 'urgent';
}

/** True when a member is in the data centre of this node. */
export function isInOwnDataCenter(board: RequestBoard, host: string): boolean {
  const { self, byHost } = board.read('members');
  return byHost.get(host)?.dataCenter === self.dataCenter;
}
