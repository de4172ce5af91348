import type { Board } from '../core/blackboard.js';
import { createMemberTable, putMember } from '../policy/memberMerge.js';
import type { MemberTable } from '../policy/memberMerge.js';
import { createRingBuffer } from '../core/ringBuffer.js';
import type { RingBuffer } from '../core/ringBuffer.js';
import type { TimelineEvent } from '../schema/event.js';
import type {
  ConfigurationDigestFrame,
  CrashReportFrame,
  Frame,
  HeartbeatFrame,
  LoadHint,
  MembershipFrame,
} from '../schema/frame.js';
import type { AcceptedDocument, LogState } from '../schema/logRecord.js';
import type { MemberRecord, TargetAnnouncement } from '../schema/member.js';
import type { ServiceConfiguration } from '../schema/serviceConfiguration.js';
import type {
  BudgetState,
  DownstreamFraction,
  FractionState,
  LimitState,
  RouteState,
  Sample,
  SuspectState,
  TicketOutcome,
  TicketRecord,
} from '../schema/state.js';
import type { DispatchedCall, ForwardedCall, HomeRun, IncomingCall, RemoteAttempt, RunningCall } from './calls.js';
import { createCallQueue } from './callQueue.js';
import type { CallQueue } from './callQueue.js';

/** Number of finished calls that are kept for the controllers that read them. */
const MAX_SAMPLES = 4096;
/** Number of events that are kept for the timeline. */
const MAX_EVENTS = 8192;

/** A document in force; its version is the log offset of its change. */
export interface ConfigurationEntry {
  version: number;
  changeId: string;
  operator: string;
  document: ServiceConfiguration;
}

/** Documents or a digest of versions received from a peer. */
export type ConfigurationPost =
  | { documents: readonly AcceptedDocument[]; from?: string }
  | { digest: ConfigurationDigestFrame; respond: (frame: Frame) => void };

/** One control link. Times are monotonic (ms). */
export interface LinkState {
  lastReceivedMs: number;
  /** False until the first message from the peer: until then, receiving nothing is no evidence that it is down. */
  hasReceived: boolean;
  /** True if both ends are gateways, so that heartbeats carry when each data centre was last seen. */
  isGatewayLink: boolean;
  /** True if the peer is in the data centre of this node. */
  isLocal: boolean;
}

/** All shared state of one node. The table in docs/design.md lists writer, readers and memory bound of each section. */
export interface Sections {
  configuration: {
    services: Map<string, ConfigurationEntry>;
    appliedOffset: number;
    log: LogState;
    /** Log offset at which exactly the versions of `digest` were in force, as reported by gateways. */
    complete: { digest: string; upTo: number };
  };
  members: MemberTable & {
    self: MemberRecord;
    /** Data centres that all gateways of this data centre report as unreachable; no calls are routed there. */
    unreachableDataCenters: Set<string>;
  };
  links: {
    /** By node id: the peers with a control link. Broadcasts go to these. */
    neighbours: Map<string, LinkState>;
    /** Neighbours that this node watches for failures. */
    watched: Set<string>;
    isGateway: boolean;
    /** By data centre: monotonic time (ms) at which it was last seen alive; maintained by gateways only. */
    lastSeenByDataCenter: Map<string, number>;
    /** Delay of the latest tick (ms), caused by a paused process or a lack of CPU time. */
    lateMs: number;
  };
  target: { announcement: TargetAnnouncement | undefined; leaseUntilMs: number; isDraining: boolean };
  calls: {
    dispatched: Set<DispatchedCall>;
    remote: Map<string, RemoteAttempt>;
    running: Map<string, RunningCall>;
    /** By sending host and call id: calls received from peers. */
    incoming: Map<string, IncomingCall>;
    /** Calls that this node forwarded to the home of their ticket, the node that stores the outcome of its request. */
    forwarded: Set<ForwardedCall>;
    /** By ticket counter: executions of requests whose ticket has this node as its home. */
    homeRuns: Map<number, HomeRun>;
    /** Number of replies that matched no open call and were dropped. */
    lateReplies: number;
    inFlight: number;
    /** Number of calls started at the local target since the process started. */
    started: number;
    /** Calls that the local target works on now. */
    active: number;
    /** Time integral of `active` (ms x calls). */
    activeMs: number;
    /** Monotonic time (ms) up to which `activeMs` is computed. */
    activeAtMs: number;
    isStopping: boolean;
    /** By caller and fingerprint, oldest first: when this idempotent request last entered at this node. */
    recentRequests: Map<string, number>;
  };
  queue: CallQueue;
  samples: { ring: RingBuffer<Sample> };
  limits: LimitState;
  shedding: {
    /** By priority name: admitted fractions of the local target. */
    local: Map<string, FractionState>;
    /** By service, operation and priority: admitted fractions reported in replies. */
    downstream: Map<string, DownstreamFraction>;
  };
  routes: { byHost: Map<string, RouteState> };
  budgets: { byService: Map<string, BudgetState> };
  tickets: {
    /** Random id of this process. */
    incarnation: string;
    nextCounter: number;
    /** Requests with tickets below it and without a record may have run. */
    lowWaterMark: number;
    running: Map<number, { fingerprint: string }>;
    /** In the order in which they finished. */
    finished: Map<number, TicketRecord>;
    /** Memory used by the finished records. */
    bytes: number;
  };
  quarantine: {
    byFingerprint: Map<string, SuspectState>;
    /** Ids of applied reports, so that each is forwarded once. */
    reportIds: Set<string>;
  };
  events: { ring: RingBuffer<TimelineEvent> };
}

export type EventPost = Omit<TimelineEvent, 'time' | 'host'>;

/** Requests that controllers may post to the writer of a section. */
export interface Posts extends Record<keyof Sections, unknown> {
  configuration: ConfigurationPost;
  members:
    | { type: 'receive'; host: string; frame: MembershipFrame; respond: (frame: Frame) => void }
    | { type: 'updateSelf'; change: Partial<MemberRecord> };
  /**
   * `broadcast` sends a frame to all neighbours except `from`, once per `updateId`. A controller that receives the
   * frame posts it again with the id in the frame. With `withinDataCenter` it is not sent to other data centres.
   */
  links:
    | { type: 'broadcast'; frame: Frame; updateId: string; from?: string; withinDataCenter?: boolean }
    | { type: 'received'; host: string }
    | { type: 'heartbeat'; host: string; frame: HeartbeatFrame; respond: (frame: Frame) => void };
  /** `expireLease`: after a pause of the process or a crash of the target the announcement may be out of date. */
  target: { type: 'announce'; announcement: TargetAnnouncement } | { type: 'expireLease' };
  /** `refuseQueued` refuses the calls that have not started, after a pause of the process. */
  calls: { type: 'refuseQueued' };
  queue: never;
  samples: never;
  limits: { type: 'restart'; concurrency: number };
  shedding:
    | { type: 'arrival'; priority: string; worth: number; shedKey: number }
    | { type: 'fractionReceived'; key: string; fraction: number };
  routes:
    | { type: 'started' | 'finished' | 'linkClosed' | 'leaving'; host: string }
    | { type: 'loadReceived'; host: string; load: LoadHint };
  budgets: { type: 'attempt' | 'retry'; service: string };
  tickets:
    | { type: 'issue'; count: number; take: (tickets: string[]) => void }
    | { type: 'started'; counter: number; fingerprint: string }
    | { type: 'finished'; counter: number; outcome: TicketOutcome };
  quarantine:
    | { type: 'report'; service: string; fingerprints: readonly string[]; event: CrashReportFrame['news'] }
    | { type: 'received'; report: CrashReportFrame; from: string };
  events: EventPost;
}

export type NodeBoard = Board<Sections, Posts>;

/** Creates the sections in the initial state of a node. */
export function createSections(self: MemberRecord): Sections {
  const table = createMemberTable();
  putMember(table, self);
  return {
    configuration: {
      services: new Map(),
      appliedOffset: 0,
      log: createLogState(),
      complete: { digest: '', upTo: 0 },
    },
    members: { ...table, self, unreachableDataCenters: new Set() },
    links: { neighbours: new Map(), watched: new Set(), isGateway: false, lastSeenByDataCenter: new Map(), lateMs: 0 },
    target: { announcement: undefined, leaseUntilMs: 0, isDraining: false },
    calls: {
      dispatched: new Set(),
      remote: new Map(),
      running: new Map(),
      incoming: new Map(),
      forwarded: new Set(),
      homeRuns: new Map(),
      lateReplies: 0,
      inFlight: 0,
      started: 0,
      active: 0,
      activeMs: 0,
      activeAtMs: 0,
      isStopping: false,
      recentRequests: new Map(),
    },
    queue: createCallQueue(),
    samples: { ring: createRingBuffer(MAX_SAMPLES) },
    limits: {
      concurrency: 1,
      hint: 1,
      isSlowStart: true,
      costFactor: 0,
      leastCostFactor: 0,
      meanCostMs: 1,
      sinceTrialMs: 0,
      recent: { count: 0, declaredCostMs: 0, activeMs: 0, durationMs: 0 },
      ownTimeMs: Object.create(null) as Record<string, number>,
    },
    shedding: { local: new Map(), downstream: new Map() },
    routes: { byHost: new Map() },
    budgets: { byService: new Map() },
    tickets: { incarnation: '', nextCounter: 0, lowWaterMark: 0, running: new Map(), finished: new Map(), bytes: 0 },
    quarantine: { byFingerprint: new Map(), reportIds: new Set() },
    events: { ring: createRingBuffer(MAX_EVENTS) },
  };
}

function createLogState(): LogState {
  return { state: 'unread', sinceMs: 0, message: '', isComplete: false, retentionMs: 0, lastSnapshotOffset: 0 };
}
