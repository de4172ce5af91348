import type { Board } from '../core/blackboard.js';
import { createRingBuffer } from '../core/ringBuffer.js';
import type { RingBuffer } from '../core/ringBuffer.js';
import type { TimelineEvent } from '../schema/event.js';
import type { LoadHint } from '../schema/frame.js';
import type { AcceptedDocument } from '../schema/logRecord.js';
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
import { createCallQueue } from './callQueue.js';
import type { CallQueue } from './callQueue.js';
import type { CancelCall, DispatchedCall, RemoteAttempt, RunningCall } from './calls.js';

const SAMPLES_KEPT = 4096;
const EVENTS_KEPT = 8192;

/** A document in force with its version, the log offset of its change. */
export interface ConfigurationEntry {
  version: number;
  document: ServiceConfiguration;
}

/** All shared state of one node. The table in docs/design.md names writer, readers and bound of each section. */
export interface Sections {
  configuration: { services: Map<string, ConfigurationEntry>; appliedOffset: number };
  members: { self: MemberRecord; byId: Map<string, MemberRecord>; byService: Map<string, MemberRecord[]> };
  target: { announcement: TargetAnnouncement | undefined; leaseUntilMs: number; isDraining: boolean };
  calls: {
    dispatched: Set<DispatchedCall>;
    remote: Map<string, RemoteAttempt>;
    running: Map<string, RunningCall>;
    /** By sending host and call id: how to cancel a call that a peer sent. */
    incoming: Map<string, CancelCall>;
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
  events: { ring: RingBuffer<TimelineEvent> };
}

export type EventPost = Omit<TimelineEvent, 'time' | 'host'>;

/** What controllers may ask of the writer of a section. */
export interface Posts extends Record<keyof Sections, unknown> {
  configuration: { documents: readonly AcceptedDocument[] };
  members: { type: 'merge'; records: MemberRecord[] } | { type: 'setSelf'; change: Partial<MemberRecord> };
  target: { type: 'announce'; announcement: TargetAnnouncement };
  calls: never;
  queue: never;
  samples: never;
  limits: { type: 'restart'; concurrency: number };
  shedding:
    | { type: 'arrival'; priority: string; worth: number; shedKey: number }
    | { type: 'heard'; key: string; fraction: number };
  routes:
    { type: 'started' | 'finished' | 'linkClosed'; host: string } | { type: 'heard'; host: string; load: LoadHint };
  budgets: { type: 'attempt' | 'retry'; service: string };
  events: EventPost;
}

export type NodeBoard = Board<Sections, Posts>;

/** Creates the sections of a node that just started. */
export function createSections(self: MemberRecord): Sections {
  return {
    configuration: { services: new Map(), appliedOffset: 0 },
    members: { self, byId: new Map([[self.id, self]]), byService: new Map() },
    target: { announcement: undefined, leaseUntilMs: 0, isDraining: false },
    calls: {
      dispatched: new Set(),
      remote: new Map(),
      running: new Map(),
      incoming: new Map(),
      inFlight: 0,
      started: 0,
      active: 0,
      activeMs: 0,
      activeAtMs: 0,
      isStopping: false,
      recentRequests: new Map(),
    },
    queue: createCallQueue(),
    samples: { ring: createRingBuffer(SAMPLES_KEPT) },
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
    events: { ring: createRingBuffer(EVENTS_KEPT) },
  };
}
