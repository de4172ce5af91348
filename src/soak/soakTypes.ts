import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** What clients and writers that nobody controls send. It excuses no violation of an invariant. */
export const senderFaultSchema = Type.Union([
  /** Many clients at one listener of the node that do not keep to its protocol or its limits. */
  Type.Literal('clientCrowd'),
  /** Heartbeats of the host's target with an address to which no connection can be opened. */
  Type.Literal('oddHeartbeats'),
  /** Member records of hosts that do not exist, which are too large or cannot be reached. */
  Type.Literal('oddRecords'),
]);
export type SoakSenderFault = Static<typeof senderFaultSchema>;

/** Faults of nodes, targets, the store and the operator that a soak test injects. */
export const fleetFaultSchema = Type.Union([
  /** Stops the node gracefully (SIGTERM), then starts it again. */
  Type.Literal('stopNode'),
  /** Kills the node (SIGKILL), then starts it again. */
  Type.Literal('killNode'),
  /** Suspends the node process for the duration of the fault. */
  Type.Literal('freezeNode'),
  /** The store refuses all calls. */
  Type.Literal('storeRefuses'),
  /** The store delays all responses. */
  Type.Literal('storeSlow'),
  /** The store never responds. */
  Type.Literal('storeSilent'),
  /** The store performs some writes without sending a response. */
  Type.Literal('storeLosesAnswers'),
  /** All open connections to the store go silent; new ones work. */
  Type.Literal('storeGoesSilent'),
  /** The store deletes all records except the newest value of each key. */
  Type.Literal('storeForgets'),
  /** The store comes back from a copy that was taken at the start of the fault. */
  Type.Literal('storeFromCopy'),
  /** From here to `targetRejects`: the target injects the corresponding `SoakTargetFault` into a share of requests. */
  Type.Literal('targetFails'),
  Type.Literal('targetSilent'),
  Type.Literal('targetTruncates'),
  Type.Literal('targetGarbles'),
  Type.Literal('targetLosesAnswers'),
  Type.Literal('targetRejects'),
  /** Drains the target and starts another one in its place. */
  Type.Literal('replaceTarget'),
  /** Publishes a new version of the configuration. */
  Type.Literal('publish'),
]);

/** Faults and messages in an order that faults at random hardly ever have. No other fault of a node or target runs meanwhile. */
export const scenarioSchema = Type.Union([
  /** The target leaves while the store refuses all calls, then all nodes are killed and started again. */
  Type.Literal('leaveWithoutStore'),
  /** The target leaves, all nodes are killed, and an earlier write of its node is carried out before they start again. */
  Type.Literal('lateWriteOverLeave'),
  /** A new target leaves before its first heartbeat arrives. */
  Type.Literal('leaveBeforeHeartbeat'),
  /** A client sends a request again and again that crashes each target which runs it. */
  Type.Literal('crashingRequest'),
]);
export type SoakScenario = Static<typeof scenarioSchema>;

export const faultKindSchema = Type.Union([fleetFaultSchema, senderFaultSchema, scenarioSchema]);
export type FaultKind = Static<typeof faultKindSchema>;

/** A fault of a fault plan. */
export const plannedFaultSchema = Type.Object({
  /** Time since the start of the load. */
  atMs: Type.Number(),
  kind: faultKindSchema,
  host: Type.String(),
  durationMs: Type.Number(),
});
export type PlannedFault = Static<typeof plannedFaultSchema>;

/** A request as its client sees it. Times are monotonic. */
export const soakRequestSchema = Type.Object({
  requestId: Type.String(),
  route: Type.String(),
  service: Type.String(),
  isIdempotent: Type.Boolean(),
  /** Host of the node that received the request. */
  host: Type.String(),
  sentAtMs: Type.Number(),
  endedAtMs: Type.Number(),
  /** HTTP status; 0 if the connection ended without a complete response. */
  status: Type.Integer(),
  /** Body of the response. With status 0: `keepAliveRace` if an idle connection was closed as the request was sent. */
  body: Type.String(),
  /** True if the response holds a line of a broken head that a target sent. */
  hasBrokenLine: Type.Boolean(),
  /** Newest version of the configuration when the request was sent. */
  publishedVersion: Type.Integer(),
  /** Time at which that version was published. */
  publishedAtMs: Type.Number(),
});
export type SoakRequest = Static<typeof soakRequestSchema>;

/** A request as it reached a target. */
export const soakArrivalSchema = Type.Object({
  requestId: Type.String(),
  service: Type.String(),
  target: Type.String(),
  atMs: Type.Number(),
  /** False if the target rejected it without running it. */
  hasRun: Type.Boolean(),
});
export type SoakArrival = Static<typeof soakArrivalSchema>;

/** A target that was drained; `atMs` is the time at which its node acknowledged this. */
export interface AcknowledgedDrain {
  target: string;
  atMs: number;
}

/** What the targets saw in a scenario. */
export interface ScenarioResult {
  /** The leave that was acknowledged, if any. */
  drain?: AcknowledgedDrain | undefined;
  /** Number of targets that the same request crashed. */
  crashes?: number;
  /** True if all nodes were killed. */
  hasKilledNodes?: boolean;
}

/** An injected fault with its start and end (monotonic). Some invariants do not cover requests sent in between. */
export interface SoakDisturbance {
  kind: FaultKind;
  host: string;
  fromMs: number;
  untilMs: number;
}

export interface SoakRecords {
  requests: SoakRequest[];
  arrivals: SoakArrival[];
  drains: AcknowledgedDrain[];
  disturbances: SoakDisturbance[];
  /** By scenario: the number of targets that the same request crashed. */
  crashes: number[];
}

/** A violated invariant with examples. */
export interface Violation {
  invariant: string;
  detail: string;
}

/** Faults of a target that a soak test injects; see `TargetFaultKind` of the stand-in targets. */
export type SoakTargetFault = 'none' | 'fails' | 'silent' | 'truncates' | 'garbles' | 'losesAnswer' | 'rejects';
/**
 * Faults of the store; `compacts` deletes all records except the newest value of each key, `fromCopy` takes a copy, from which
 * the store comes back when the fault ends.
 */
export type SoakStoreFault =
  'none' | 'refuses' | 'slow' | 'silent' | 'goesSilent' | 'losesAnswers' | 'compacts' | 'fromCopy';

/** The fleet under test; its functions start, stop and disturb real processes. */
export interface SoakFleet {
  readonly hosts: readonly { name: string; service: string }[];
  startNode(host: string): Promise<void>;
  /** Sends SIGTERM if graceful, else SIGKILL; resolves after the process has exited. */
  stopNode(host: string, isGraceful: boolean): Promise<void>;
  /** Suspends the process or resumes it. */
  freezeNode(host: string, isFrozen: boolean): void;
  setStoreFault(fault: SoakStoreFault): void;
  setTargetFault(host: string, fault: SoakTargetFault): void;
  /** Drains a target and starts another in its place; resolves with undefined if the drain was not acknowledged. */
  replaceTarget(host: string): Promise<AcknowledgedDrain | undefined>;
  /** Resolves at the end of the fault. */
  runSenderFault(fault: { kind: SoakSenderFault; host: string; durationMs: number }): Promise<void>;
  /** Resolves at the end of the scenario, when a target serves at the host again. */
  runScenario(scenario: { kind: SoakScenario; host: string }): Promise<ScenarioResult>;
  publish(version: number): void;
  /** Resolves with status -1 if the connection was refused. */
  send(
    host: string,
    request: { requestId: string; route: string },
  ): Promise<Pick<SoakRequest, 'status' | 'body' | 'hasBrokenLine'>>;
  listArrivals(): SoakArrival[];
  stop(): Promise<void>;
}

/** Routes of the load. A configuration of version N has one more route, `vN`, which no other version has. */
export const soakRoutes = [
  { name: 'check', service: 'stock', isIdempotent: true, share: 0.6 },
  { name: 'order', service: 'orders', isIdempotent: false, share: 0.4 },
] as const;
