import type { ReadView } from '../../core/blackboard.js';
import type { Clock } from '../../core/clock.js';
import type { DeadlineTimer } from '../../core/deadlineTimer.js';
import type { Random } from '../../core/random.js';
import type { LinkFrame, LinkLane } from '../../schema/linkFrame.js';
import type { StoreRead, StoreWrite } from '../../schema/keyedStore.js';
import type { NodeMember } from '../../schema/nodeMember.js';
import type { RequestBoard, PeerState } from './sections.js';
import type { SendToTarget } from './runPort.js';

/** One open connection to another node. */
export interface LinkConnection {
  send(frame: LinkFrame): void;
  /** Bytes that wait to be written. */
  readonly waitingBytes: number;
  close(): void;
}

export interface LinkEvents {
  opened(connection: LinkConnection): void;
  receive(frame: LinkFrame): void;
  closed(reason: string): void;
}

/** Connects to another node; the returned function gives up or closes. */
export type DialLink = (address: string, events: LinkEvents) => () => void;

/** A list of keyed records at the platform that this node follows. */
export interface KeyedTopic {
  /** Reads the newest record of every key. */
  readNewest(done: (outcome: StoreRead) => void): void;
  /** Reads records from an offset on; may wait for `waitMs` until there is one. The returned function gives up. */
  readFrom(offset: number, waitMs: number, done: (outcome: StoreRead) => void): () => void;
}

/** How long an answered request took at the node where it entered, or at its target. */
export interface DurationSample {
  place: 'entry' | 'target';
  route: string;
  durationMs: number;
}

/** What a node needs from outside: all effects are functions passed in. */
export interface RequestIo {
  sendToTarget: SendToTarget;
  /** Tries to connect to the local target (`IP:PORT`); false when nothing listens there. */
  probeTarget: (address: string, done: (isUp: boolean) => void) => void;
  dialLink: DialLink;
  /** Values of type `RouteConfiguration` under one key. */
  configurationTopic: KeyedTopic;
  /** Values of type `NodeMember`, by host. */
  memberTopic: KeyedTopic;
  writeMember: (member: NodeMember, done: (outcome: StoreWrite) => void) => void;
  /** Drops the record of a host that is gone. */
  dropMember: (host: string, done: (outcome: StoreWrite) => void) => void;
  recordDuration: (sample: DurationSample) => void;
  /** Writes lines of the log; `done` when more may follow. */
  writeLines: (lines: readonly string[], done: () => void) => void;
}

/** What every controller of a request node gets when it is created. */
export interface RequestContext {
  board: RequestBoard;
  clock: Clock;
  deadlines: DeadlineTimer;
  random: Random;
  io: RequestIo;
}

/** The lane of a request: only the most urgent ones take the urgent one, once it is up. */
export function chooseLane({ lanes }: ReadView<Pick<PeerState, 'lanes'>>, priority: number): LinkLane {
  return priority === 0 && lanes.urgent.phase === 'up' ? 'urgent' : 'routine';
}
