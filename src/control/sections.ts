import type { Board } from '../core/blackboard.js';
import { createRingBuffer } from '../core/ringBuffer.js';
import type { RingBuffer } from '../core/ringBuffer.js';
import type { TimelineEvent } from '../schema/event.js';
import type { ConfigurationDigestFrame, Frame, LoadHint } from '../schema/frame.js';
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
} from '../schema/state.js';
import type { CancelCall, DispatchedCall, RemoteAttempt, RunningCall } from './calls.js';

const SAMPLES_KEPT = 4096;
const EVENTS_KEPT = 8192;

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

/** All shared state of one node. The table in docs/design.md names writer, readers and bound of each section. */
export interface Sections {
  configuration: {
    services: Map<string, ConfigurationEntry>;
    appliedOffset: number;
    log: LogState;
    /** The log offset at which exactly the versions of `digest` were in force, as gateways tell. */
    complete: { digest: string; upTo: number };
  };
  members: { self: MemberRecord; byId: Map<string, MemberRecord>; byService: Map<string, MemberRecord[]> };
  target: { announcement: TargetAnnouncement | undefined; leaseUntilMs: number; isDraining: boolean };
  calls: {
    dispatched: Set<DispatchedCall>;
    remote: Map<string, RemoteAttempt>;
    running: Map<string, RunningCall>;
    /** By sending host and call id: how to cancel a call that a peer sent. */
    incoming: Map<string, CancelCall>;
    inFlight: number;
    isStopping: boolean;
  };
  queue: { waiting: RunningCall[] };
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
  events: { ring: RingBuffer<TimelineEvent> };
}

export type EventPost = Omit<TimelineEvent, 'time' | 'host'>;

/** What controllers may ask of the writer of a section. */
export interface Posts extends Record<keyof Sections, unknown> {
  configuration: ConfigurationPost;
  members: { type: 'merge'; records: MemberRecord[] } | { type: 'setSelf'; change: Partial<MemberRecord> };
  target: { type: 'announce'; announcement: TargetAnnouncement };
  calls: never;
  queue: never;
  samples: never;
  limits: { type: 'restart'; concurrency: number };
  shedding: { type: 'arrival'; priority: string; worth: number } | { type: 'heard'; key: string; fraction: number };
  routes:
    { type: 'started' | 'finished' | 'linkClosed'; host: string } | { type: 'heard'; host: string; load: LoadHint };
  budgets: { type: 'attempt' | 'retry'; service: string };
  events: EventPost;
}

export type NodeBoard = Board<Sections, Posts>;

/** Creates the sections of a node that just started. */
export function createSections(self: MemberRecord): Sections {
  return {
    configuration: {
      services: new Map(),
      appliedOffset: 0,
      log: createLogState(),
      complete: { digest: '', upTo: 0 },
    },
    members: { self, byId: new Map([[self.id, self]]), byService: new Map() },
    target: { announcement: undefined, leaseUntilMs: 0, isDraining: false },
    calls: {
      dispatched: new Set(),
      remote: new Map(),
      running: new Map(),
      incoming: new Map(),
      inFlight: 0,
      isStopping: false,
    },
    queue: { waiting: [] },
    samples: { ring: createRingBuffer(SAMPLES_KEPT) },
    limits: { concurrency: 1, isSlowStart: true, leastOwnTimeMs: 0, ownTimeMs: 0 },
    shedding: { local: new Map(), downstream: new Map() },
    routes: { byHost: new Map() },
    budgets: { byService: new Map() },
    events: { ring: createRingBuffer(EVENTS_KEPT) },
  };
}

function createLogState(): LogState {
  return { state: 'unread', sinceMs: 0, message: '', isComplete: false, retentionMs: 0, lastSnapshotOffset: 0 };
}
