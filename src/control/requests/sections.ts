import type { Board } from '../../core/blackboard.js';
import type { ServiceCorrection } from '../../policy/admission.js';
import type { CallLearner } from '../../policy/callGraph.js';
import { createCallLearner } from '../../policy/callGraph.js';
import { createDurationEstimate } from '../../policy/durationEstimate.js';
import type { DurationEstimate } from '../../policy/durationEstimate.js';
import { createFailureShare } from '../../policy/failureShare.js';
import type { FailureShare } from '../../policy/failureShare.js';
import type { FleetBudget } from '../../policy/fleetBudget.js';
import type { PartCredits } from '../../policy/partChoice.js';
import type { RouteTable } from '../../policy/routeTable.js';
import { createRunQueue } from '../../policy/runQueue.js';
import type { RunQueue } from '../../policy/runQueue.js';
import type { Decision } from '../../schema/decision.js';
import type { LinkLane, LoadReport, Profile, RunRequest } from '../../schema/linkFrame.js';
import type { Heartbeat, NodeMember, PublishedTarget, TargetPhase } from '../../schema/nodeMember.js';
import type { RequestSettings } from '../../schema/requestSettings.js';
import type { RouteConfiguration } from '../../schema/routeConfiguration.js';
import type { SuspectState } from '../../schema/state.js';
import type { RunAttempt, RunEvents, RunHandle } from './runPort.js';

/** One connection to a peer on one lane. */
export interface LinkState {
  phase: 'down' | 'dialling' | 'up';
  /** Monotonic time (ms) of the last frame. */
  lastReceivedMs: number;
}

/** What this node knows of another one by their links. Times are monotonic (ms). */
export interface PeerState {
  readonly host: string;
  readonly lanes: Record<LinkLane, LinkState>;
  load: LoadReport;
  loadAtMs: number;
  /** Requests sent since the load was reported. */
  sentSinceReport: number;
  /** Requests sent and not answered. */
  outstanding: number;
  configurationVersion: number;
  memberCount: number;
  profile: Profile;
  /** The target to which a request was sent last. */
  lastTargetId: string;
}

/** One request at the node beside its target. Times are monotonic (ms). */
export interface Run {
  readonly request: RunRequest;
  readonly priority: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly worthUntilMs: number;
  /** Whom the outcome is told. */
  readonly events: RunEvents;
  phase: 'queued' | 'running' | 'ended';
  startedAtMs: number;
  isDropped: boolean;
  /** The send to the target while the request runs. */
  target: RunHandle | undefined;
  cancelDeadline: () => void;
}

/** The target beside this node. Times are monotonic (ms) unless said otherwise. */
export interface TargetState {
  phase: TargetPhase;
  id: string;
  /** Unix time of its start (ms). */
  startedAtMs: number;
  sequence: number;
  service: string;
  address: string;
  slots: number;
  coldUntilMs: number;
  lastHeartbeatMs: number;
  /** It refused connections or gave no answers lately; requests go elsewhere until then. */
  ejectedUntilMs: number;
}

/** All shared state of a node that serves routed requests. docs/design.md names writer, readers and bound of each. */
export interface RequestSections {
  settings: { current: RequestSettings };
  node: {
    phase: 'starting' | 'ready' | 'stopping';
    startedAtMs: number;
    /** The end of the grace time is near: new requests are refused, since their answers might be cut. */
    isClosing: boolean;
  };
  routes: { table: RouteTable | undefined; version: number; appliedAtMs: number };
  members: {
    self: NodeMember;
    byHost: Map<string, NodeMember>;
    /** True once the whole list was read from the store or a peer. */
    isComplete: boolean;
    /** What this host's earlier process published of the target, once known. */
    previousTarget: PublishedTarget | undefined;
    /** Unix time (ms) of the start of the process that published it. */
    previousStartedAtMs: number;
    /** Monotonic time (ms) at which the store was last heard; undefined while it is lost. */
    storeReadAtMs: number | undefined;
  };
  target: TargetState;
  links: { byHost: Map<string, PeerState> };
  runs: {
    queue: RunQueue<Run>;
    running: Set<Run>;
    duration: DurationEstimate;
    durationByRoute: Map<string, DurationEstimate>;
    /** By route: runs that began so far. */
    startedByRoute: Map<string, number>;
    /** Runs that the target rejected, lost or failed. */
    failures: FailureShare;
    /** Monotonic time (ms) of the target's last answer. */
    answeredAtMs: number;
    /** Requests that ended, by result. */
    counts: Map<string, number>;
  };
  entries: {
    open: number;
    partCredits: Map<string, PartCredits>;
    /** By route: from the send of an attempt to its answer. */
    latencyByRoute: Map<string, DurationEstimate>;
    /** By route: requests that entered here so far. */
    arrivedByRoute: Map<string, number>;
    counts: Map<string, number>;
  };
  /** What this node sees of the demand, as it tells its peers. */
  demand: { profile: Profile; callEstimator: CallLearner };
  admission: {
    /** By route: the share of its requests that is admitted, where it is below 1. */
    fractions: Map<string, number>;
    corrections: Map<string, ServiceCorrection>;
  };
  budgets: { byService: Map<string, FleetBudget> };
  quarantine: {
    byFingerprint: Map<number, SuspectState>;
    reportIds: Set<string>;
    /** Requests that lately ended with their connection to the local target, and when (monotonic ms). */
    lostRequests: { fingerprint: number; atMs: number }[];
  };
  decisions: {
    /** Formatted lines that wait to be written. */
    lines: string[];
    /** Number of the next line. */
    nextLine: number;
    /** Lines that were not written since there were too many. */
    dropped: number;
  };
}

/** What other controllers and the edges may ask of a section's writer. */
export interface RequestPosts {
  settings: RequestSettings;
  node: { type: 'stop' } | { type: 'close' };
  routes: { configuration: RouteConfiguration; source: string };
  members:
    | { type: 'apply'; members: readonly NodeMember[]; source: string; isComplete: boolean }
    | { type: 'publishTarget'; target: PublishedTarget; durable?: () => void };
  target:
    | { type: 'heartbeat'; id: string; heartbeat: Heartbeat; acknowledge: () => void }
    | { type: 'leave'; id: string; acknowledge: () => void }
    | { type: 'eject'; reason: string; isDown: boolean }
    | { type: 'suspect' }
    | { type: 'answered' };
  links: { type: 'send'; attempt: RunAttempt } | { type: 'crash'; reportId: string; fingerprints: readonly number[] };
  runs: { type: 'accept'; attempt: RunAttempt };
  entries: never;
  demand: never;
  admission: never;
  budgets: { type: 'request'; service: string } | { type: 'retry'; service: string };
  quarantine:
    | { type: 'report'; reportId: string; fingerprints: readonly number[]; source: string }
    | { type: 'requestLost'; fingerprint: number }
    | { type: 'targetCrashed'; targetId: string };
  decisions: Decision;
}

export type RequestBoard = Board<RequestSections, RequestPosts>;

/** The load of a node that was not heard yet. */
export function createUnknownLoad(): LoadReport {
  return { phase: 'none', service: '', targetId: '', running: 0, queued: 0, limit: 1, durationMs: 0, failureShare: 0 };
}

/** The profile of a node that was not heard yet. */
export function createEmptyProfile(): Profile {
  return { demand: [], calls: [], durations: [] };
}

/** Creates the sections of a node that has just started. */
export function createRequestSections(options: {
  settings: RequestSettings;
  self: NodeMember;
  nowMs: number;
}): RequestSections {
  return {
    settings: { current: options.settings },
    node: { phase: 'starting', startedAtMs: options.nowMs, isClosing: false },
    routes: { table: undefined, version: -1, appliedAtMs: options.nowMs },
    members: {
      self: options.self,
      byHost: new Map(),
      isComplete: false,
      previousTarget: undefined,
      previousStartedAtMs: 0,
      storeReadAtMs: undefined,
    },
    target: {
      phase: 'none',
      id: '',
      startedAtMs: 0,
      sequence: -1,
      service: '',
      address: '',
      slots: 1,
      coldUntilMs: 0,
      lastHeartbeatMs: 0,
      ejectedUntilMs: 0,
    },
    links: { byHost: new Map() },
    runs: {
      queue: createRunQueue<Run>(),
      running: new Set(),
      duration: createDurationEstimate(),
      durationByRoute: new Map(),
      startedByRoute: new Map(),
      failures: createFailureShare(),
      answeredAtMs: options.nowMs,
      counts: new Map(),
    },
    entries: {
      open: 0,
      partCredits: new Map(),
      latencyByRoute: new Map(),
      arrivedByRoute: new Map(),
      counts: new Map(),
    },
    demand: { profile: createEmptyProfile(), callEstimator: createCallLearner() },
    admission: { fractions: new Map(), corrections: new Map() },
    budgets: { byService: new Map() },
    quarantine: { byFingerprint: new Map(), reportIds: new Set(), lostRequests: [] },
    decisions: { lines: [], nextLine: 0, dropped: 0 },
  };
}
