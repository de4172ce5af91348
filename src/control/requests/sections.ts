import type { Board } from '../../core/blackboard.js';
import type { ServiceCorrection } from '../../policy/admission.js';
import { createCallGraphEstimator } from '../../policy/callGraph.js';
import type { CallGraphEstimator } from '../../policy/callGraph.js';
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
import type { RunQueue } from '../../policy/runQueue.js';
import type { ServiceChance } from '../../policy/servedShare.js';
import type { StopPlan } from '../../policy/stopPlan.js';
import type { StoreEra } from '../../policy/storeEra.js';
import type { ServiceSpeeds } from '../../policy/targetSpeed.js';
import type { Profile } from '../../schema/linkFrame.js';
import type { NodeMember, PublishedTarget } from '../../schema/nodeMember.js';
import type { RequestSettings } from '../../schema/requestSettings.js';
import type { SuspectState } from '../../schema/state.js';
import { createEmptyProfile } from './peerState.js';
import type { PeerState } from './peerState.js';
import { createQuotaSection } from './quotaSection.js';
import type { QuotaSection } from './quotaSection.js';
import type { RequestPosts } from './requestPosts.js';
import type { Run } from './run.js';
import type { TargetState } from './targetState.js';

export { createEmptyProfile, createUnknownLoad } from './peerState.js';
export type { LinkState, PeerState } from './peerState.js';
export type { RequestPosts } from './requestPosts.js';

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
    /** Number of faults found in input from outside or in its handling, by fault. */
    faults: Map<string, number>;
  };
}

/** The blackboard of a request node. */
export type RequestBoard = Board<RequestSections, RequestPosts>;

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
    decisions: { lines: [], nextLine: 0, dropped: 0, faults: new Map() },
  };
}
