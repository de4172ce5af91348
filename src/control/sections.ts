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

const MAX_SAMPLES = 4096;
const MAX_EVENTS = 8192;

/** A document in force with its version, the log offset of its change. */
export interface ConfigurationEntry {
  version: number;
  changeId: string;
  operator: string;
  document: ServiceConfiguration;
}

/** What a peer sends about the configuration. */
export type ConfigurationPost =
  | { documents: readonly AcceptedDocument[]; from?: string }
  | { digest: ConfigurationDigestFrame; respond: (frame: Frame) => void };

/** One control link. Times are monotonic (ms). */
export interface LinkState {
  lastReceivedMs: number;
  /** False until the peer was heard: its silence says nothing about what others hear. */
  hasReceived: boolean;
  /** Both ends are gateways, so heartbeats carry what was heard of other data centres. */
  isGatewayLink: boolean;
  isLocal: boolean;
}

/** All shared state of one node. The table in docs/design.md names writer, readers and bound of each section. */
export interface Sections {
  configuration: {
    services: Map<string, ConfigurationEntry>;
    appliedOffset: number;
    log: LogState;
    /** The log offset at which exactly the versions of `digest` were in force, as gateways tell. */
    complete: { digest: string; upTo: number };
  };
  members: MemberTable & {
    self: MemberRecord;
    /** Data centres that no gateway of the own data centre hears of: not routed to. */
    unreachableDataCenters: Set<string>;
  };
  links: {
    /** By node id: the peers with a control link, to which news is sent. */
    neighbours: Map<string, LinkState>;
    /** Neighbours whose silence this node reports. */
    watched: Set<string>;
    isGateway: boolean;
    /** By data centre: monotonic time (ms) of the latest sign of life; kept by gateways only. */
    lastSeenByDataCenter: Map<string, number>;
    /** How late the latest tick came (ms): the process was paused or had no processor. */
    lateMs: number;
  };
  target: { announcement: TargetAnnouncement | undefined; leaseUntilMs: number; isDraining: boolean };
  calls: {
    dispatched: Set<DispatchedCall>;
    remote: Map<string, RemoteAttempt>;
    running: Map<string, RunningCall>;
    /** By sending host and call id: calls that peers sent. */
    incoming: Map<string, IncomingCall>;
    /** Calls that this node sent to the home of their ticket. */
    forwarded: Set<ForwardedCall>;
    /** By ticket counter: executions that this node, as the home of their ticket, answers for. */
    homeRuns: Map<number, HomeRun>;
    /** Replies that matched no open call and were dropped. */
    lateReplies: number;
    inFlight: number;
    /** Calls that the local target took so far. */
    started: number;
    /** Calls that the local target works on now, its time integral (ms x calls), and up to when that was taken. */
    active: number;
    activeMs: number;
    activeAtMs: number;
    isStopping: boolean;
    /** By caller and fingerprint: when an idempotent request entered here last, oldest first. */
    recentRequests: Map<string, number>;
  };
  queue: CallQueue;
  samples: { ring: RingBuffer<Sample> };
  limits: LimitState;
  shedding: {
    /** By priority name: fractions of the local target. */
    local: Map<string, FractionState>;
    /** By service, operation and priority: fractions that replies brought. */
    downstream: Map<string, DownstreamFraction>;
  };
  routes: { byHost: Map<string, RouteState> };
  budgets: { byService: Map<string, BudgetState> };
  tickets: {
    /** Random text of this process start. */
    incarnation: string;
    nextCounter: number;
    /** Tickets below it that are not remembered may have run. */
    lowWaterMark: number;
    running: Map<number, { fingerprint: string }>;
    /** In the order in which they finished. */
    finished: Map<number, TicketRecord>;
    /** Memory that the finished records take. */
    bytes: number;
  };
  quarantine: {
    byFingerprint: Map<string, SuspectState>;
    /** Reports that were applied, so that each is sent on once. */
    reportIds: Set<string>;
  };
  events: { ring: RingBuffer<TimelineEvent> };
}

export type EventPost = Omit<TimelineEvent, 'time' | 'host'>;

/** What controllers may ask of the writer of a section. */
export interface Posts extends Record<keyof Sections, unknown> {
  configuration: ConfigurationPost;
  members:
    | { type: 'receive'; host: string; frame: MembershipFrame; respond: (frame: Frame) => void }
    | { type: 'updateSelf'; change: Partial<MemberRecord> };
  /**
   * `spread` sends a frame to all neighbours but `from`, once per `newsId`: a controller that receives news posts it
   * again with the id that the frame carries. With `withinDataCenter` it stays in the own data centre.
   */
  links:
    | { type: 'broadcast'; frame: Frame; newsId: string; from?: string; withinDataCenter?: boolean }
    | { type: 'received'; host: string }
    | { type: 'heartbeat'; host: string; frame: HeartbeatFrame; respond: (frame: Frame) => void };
  /** `lapse` ends the lease: the process was paused, and the target may have changed meanwhile. */
  target: { type: 'announce'; announcement: TargetAnnouncement } | { type: 'expireLease' };
  /** `refuseWaiting` refuses the calls that have not started: the process was paused. */
  calls: { type: 'refuseWaiting' };
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
    | { type: 'report'; service: string; fingerprints: readonly string[]; news: CrashReportFrame['news'] }
    | { type: 'received'; report: CrashReportFrame; from: string };
  events: EventPost;
}

export type NodeBoard = Board<Sections, Posts>;

/** Creates the sections of a node that just started. */
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
      ownTimeMs: {},
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
