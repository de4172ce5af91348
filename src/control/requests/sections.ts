import type { Board } from '../../core/blackboard.js';
import type { ServiceCorrection } from '../../policy/admission.js';
import type { CallGraphEstimator } from '../../policy/callGraph.js';
import { createCallGraphEstimator } from '../../policy/callGraph.js';
import { createCallMatchEstimator } from '../../policy/callMatches.js';
import type { CallMatchEstimator, MatchCounts } from '../../policy/callMatches.js';
import { createDurationEstimate } from '../../policy/durationEstimate.js';
import type { DurationEstimate } from '../../policy/durationEstimate.js';
import { createFailureShare } from '../../policy/failureShare.js';
import type { FailureShare } from '../../policy/failureShare.js';
import type { FleetBudget } from '../../policy/fleetBudget.js';
import { updateDigest } from '../../policy/membersDigest.js';
import type { RouteCallers } from '../../policy/parentRun.js';
import type { PartCredits } from '../../policy/partChoice.js';
import type { RateGate } from '../../policy/rateGate.js';
import type { RouteTable } from '../../policy/routeTable.js';
import type { RecordOrder } from '../../policy/memberOrder.js';
import { createPaceHint } from '../../policy/paceHint.js';
import type { PaceHint } from '../../policy/paceHint.js';
import type { RecoveryPace } from '../../policy/recoveryPace.js';
import { createRunQueue } from '../../policy/runQueue.js';
import type { ServiceChance } from '../../policy/servedShare.js';
import type { StopPlan } from '../../policy/stopPlan.js';
import type { StoreEra } from '../../policy/storeEra.js';
import type { ServiceSpeeds } from '../../policy/targetSpeed.js';
import type { RunQueue } from '../../policy/runQueue.js';
import type { Decision } from '../../schema/decision.js';
import type { LinkLane, LoadReport, Profile, QuotaAskFrame, RecordVersion } from '../../schema/linkFrame.js';
import type { Heartbeat, NodeMember, PublishedTarget } from '../../schema/nodeMember.js';
import type { RequestSettings } from '../../schema/requestSettings.js';
import type { RouteConfiguration } from '../../schema/routeConfiguration.js';
import type { SuspectState } from '../../schema/state.js';
import { createQuotaSection } from './quotaSection.js';
import type { QuotaPost, QuotaSection } from './quotaSection.js';
import type { Run } from './run.js';
import type { RunAttempt, TargetNotice } from './runPort.js';
import type { TargetState } from './targetState.js';

/** One connection to a peer on one lane. */
export interface LinkState {
  phase: 'down' | 'dialling' | 'up';
  /** Monotonic time (ms) of the last received frame. */
  lastReceivedMs: number;
  /** Monotonic time (ms) of the first request that was sent since then; undefined if there is none. */
  unansweredSinceMs: number | undefined;
}

/** State of another node as received over the links. Times are monotonic (ms). */
export interface PeerState {
  readonly host: string;
  readonly lanes: Record<LinkLane, LinkState>;
  load: LoadReport;
  loadAtMs: number;
  /** Number of requests sent since the last load report. */
  sentSinceReport: number;
  /** Number of requests sent and not settled yet. */
  outstanding: number;
  configurationVersion: number;
  /** True while it cannot read the configuration from the store. */
  isStoreLost: boolean;
  memberCount: number;
  /** Undefined until a status with a digest was received. */
  membersDigest: number | undefined;
  /** The version of this node's own record that the peer holds; undefined until it was received. */
  held: RecordVersion | undefined;
  profile: Profile;
  /** False if the link only serves the quotas: this node then sends no requests over it. */
  takesRuns: boolean;
  /** Id of the target to which the last request was sent; empty before the first one. */
  lastTargetId: string;
}

/** All shared state of a request node. docs/design.md lists writer, readers and size bound of each section. */
export interface RequestSections {
  settings: { current: RequestSettings };
  node: {
    phase: 'starting' | 'ready' | 'stopping';
    startedAtMs: number;
    /** Which requests this node still takes; undefined until it stops. */
    stop: StopPlan | undefined;
  };
  routes: {
    table: RouteTable | undefined;
    version: number;
    appliedAtMs: number;
    /** True while this node cannot read the configuration from the store. */
    isStoreLost: boolean;
  };
  members: {
    self: NodeMember;
    byHost: Map<string, NodeMember>;
    /** Digest of the versions of all records in `byHost` and of `self`. */
    digest: number;
    /** True once the complete list was received from the store or a peer. */
    isComplete: boolean;
    /** Monotonic time (ms) at which the list became complete. */
    completeAtMs: number | undefined;
    /** The target as published by earlier processes of this host; undefined until received. */
    previousTarget: PublishedTarget | undefined;
    /** Order of the newest record of an earlier process: when the process started (Unix ms), and its revision. */
    previousOrder: RecordOrder | undefined;
    /** Monotonic time (ms) of the last successful read from the store; undefined while it is unreachable. */
    storeReadAtMs: number | undefined;
  };
  /** The highest era of the store that this node heard of; undefined for a store without eras. */
  store: { era: StoreEra };
  target: TargetState;
  links: { byHost: Map<string, PeerState> };
  runs: {
    queue: RunQueue<Run>;
    running: Set<Run>;
    duration: DurationEstimate;
    durationByRoute: Map<string, DurationEstimate>;
    /** Number of runs started so far, by route. */
    startedByRoute: Map<string, number>;
    /** Recent share of runs that the target rejected, lost or failed. */
    failures: FailureShare;
    /** Recent share of requests that the target rejected, and of calls that left the queue without their turn. */
    unserved: FailureShare;
    /** Holds back requests to a target that named a limit. */
    gate: RateGate | undefined;
    /** Limits the concurrent requests while the target starts or recovers. */
    recovery: RecoveryPace | undefined;
    /** What the target says of how long work takes there now. */
    paceHint: PaceHint;
    /** Bytes of streamed bodies that are kept for queued requests. */
    waitingBodyBytes: number;
    /** Monotonic time (ms) of the target's last answer. */
    answeredAtMs: number;
    /** Number of ended requests, by result. */
    counts: Map<string, number>;
  };
  entries: {
    open: number;
    partCredits: Map<string, PartCredits>;
    /** Time from the start of an attempt to its answer, by route. */
    latencyByRoute: Map<string, DurationEstimate>;
    /** Number of requests that entered at this node so far, by route. */
    arrivedByRoute: Map<string, number>;
    /** The part of it whose effective priority is not that of the route, by route and effective priority. */
    arrivedByPriority: Map<string, Map<number, number>>;
    /** Number of requests so far, by kind and organisation; empty where there are no organisations. */
    arrivedByOrganisation: Map<string, Map<string, number>>;
    /** Requests that entered so far with the time left of a run of the local target. */
    matchedCalls: MatchCounts;
    /** Number of ended requests, by result. */
    counts: Map<string, number>;
  };
  /** The demand observed by this node, as reported to its peers. */
  demand: {
    profile: Profile;
    callEstimator: CallGraphEstimator;
    matchEstimator: CallMatchEstimator;
    /** By called route: the routes of the local target's runs that call it. */
    callersByRoute: ReadonlyMap<string, RouteCallers>;
  };
  /** Expected run durations at the targets of each service. */
  speeds: { byService: ReadonlyMap<string, ServiceSpeeds> };
  admission: {
    /** Admitted share of the requests, by kind (`formatKind`); kinds without an entry are admitted completely. */
    fractions: Map<string, number>;
    /** What each organisation gets of it at this node, by kind; only for kinds that are limited. */
    organisationFractions: Map<string, ReadonlyMap<string, number>>;
    /** The part of it that keeps requests from being wasted, by kind. */
    wasteLimits: Map<string, number>;
    /** Share of the requests to each service that get a result. */
    chances: ReadonlyMap<string, ServiceChance>;
    corrections: Map<string, ServiceCorrection>;
  };
  budgets: { byService: Map<string, FleetBudget> };
  quotas: QuotaSection;
  quarantine: {
    byFingerprint: Map<number, SuspectState>;
    reportIds: Set<string>;
    /** Recent requests whose connection to the local target was lost, and when (monotonic ms). */
    lostRequests: { fingerprint: number; atMs: number }[];
  };
  decisions: {
    /** Formatted lines to be written. */
    lines: string[];
    /** Number of the next line. */
    nextLine: number;
    /** Number of lines dropped by the rate limit or for lack of buffer space. */
    dropped: number;
  };
}

/** The requests that other controllers and the front ends may post to the writer of a section. */
export interface RequestPosts {
  settings: RequestSettings;
  node: { type: 'stop'; plan: StopPlan };
  routes: { configuration: RouteConfiguration; source: string };
  members:
    | { type: 'apply'; members: readonly NodeMember[]; source: string; isComplete: boolean }
    | { type: 'publishTarget'; target: PublishedTarget }
    /**
     * Calls `run` once the published state of the target outlasts this process: once the store has it, or, if the store is
     * late, enough peers do.
     */
    | { type: 'whenDurable'; run: () => void };
  store: { era: number; source: string };
  target:
    | { type: 'heartbeat'; id: string; heartbeat: Heartbeat; acknowledge: () => void }
    | { type: 'leave'; id: string; acknowledge: () => void }
    | { type: 'eject'; reason: string; isDown: boolean }
    | { type: 'suspect' }
    | { type: 'answered' }
    /** The target, named by its id and start time, answered a request that was sent to it at `sentAtMs`. */
    | { type: 'notice'; id: string; startedAtMs: number; sentAtMs: number; notice: TargetNotice };
  links:
    /** `isUrgent`: it may take the lane of urgent requests. */
    | { type: 'send'; attempt: RunAttempt; isUrgent: boolean }
    | { type: 'crash'; reportId: string; fingerprints: readonly number[] }
    /** Passes records that were read from the store to the peers in the own data centre. */
    | { type: 'members'; members: readonly NodeMember[] }
    | { type: 'quotaAsk'; host: string; frame: QuotaAskFrame };
  runs: { type: 'accept'; attempt: RunAttempt };
  entries: never;
  demand: never;
  speeds: never;
  admission: never;
  budgets: { type: 'request'; service: string } | { type: 'retry'; service: string };
  quotas: QuotaPost;
  quarantine:
    | { type: 'report'; reportId: string; fingerprints: readonly number[]; source: string }
    | { type: 'requestLost'; fingerprint: number }
    | { type: 'targetCrashed'; targetId: string };
  decisions: Decision;
}

export type RequestBoard = Board<RequestSections, RequestPosts>;

/** Returns the load of a node that has not reported one yet. */
export function createUnknownLoad(): LoadReport {
  return { phase: 'none', service: '', targetId: '', running: 0, queued: 0, limit: 1, durationMs: 0, failureShare: 0 };
}

/** Returns the profile of a node that has not reported one yet. */
export function createEmptyProfile(): Profile {
  return { demand: [], calls: [], durations: [] };
}

/** Creates the sections of a starting node. */
export function createRequestSections(options: {
  settings: RequestSettings;
  self: NodeMember;
  nowMs: number;
}): RequestSections {
  return {
    settings: { current: options.settings },
    node: { phase: 'starting', startedAtMs: options.nowMs, stop: undefined },
    routes: { table: undefined, version: -1, appliedAtMs: options.nowMs, isStoreLost: false },
    members: {
      self: options.self,
      byHost: new Map(),
      digest: updateDigest(0, options.self),
      isComplete: false,
      completeAtMs: undefined,
      previousTarget: undefined,
      previousOrder: undefined,
      storeReadAtMs: undefined,
    },
    store: { era: undefined },
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
      ratePerSecond: undefined,
      rateNamedAtMs: 0,
    },
    links: { byHost: new Map() },
    runs: {
      queue: createRunQueue<Run>(),
      running: new Set(),
      duration: createDurationEstimate(),
      durationByRoute: new Map(),
      startedByRoute: new Map(),
      failures: createFailureShare(),
      unserved: createFailureShare(),
      gate: undefined,
      recovery: undefined,
      paceHint: createPaceHint(),
      waitingBodyBytes: 0,
      answeredAtMs: options.nowMs,
      counts: new Map(),
    },
    entries: {
      open: 0,
      partCredits: new Map(),
      latencyByRoute: new Map(),
      arrivedByRoute: new Map(),
      arrivedByPriority: new Map(),
      arrivedByOrganisation: new Map(),
      matchedCalls: new Map(),
      counts: new Map(),
    },
    demand: {
      profile: createEmptyProfile(),
      callEstimator: createCallGraphEstimator(),
      matchEstimator: createCallMatchEstimator(),
      callersByRoute: new Map(),
    },
    speeds: { byService: new Map() },
    admission: {
      fractions: new Map(),
      organisationFractions: new Map(),
      wasteLimits: new Map(),
      chances: new Map(),
      corrections: new Map(),
    },
    budgets: { byService: new Map() },
    quotas: createQuotaSection(options.self.incarnation),
    quarantine: { byFingerprint: new Map(), reportIds: new Set(), lostRequests: [] },
    decisions: { lines: [], nextLine: 0, dropped: 0 },
  };
}
