import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** What a soak brings about. */
export const faultKindSchema = Type.Union([
  Type.Literal('stopNode'),
  Type.Literal('killNode'),
  Type.Literal('freezeNode'),
  Type.Literal('storeRefuses'),
  Type.Literal('storeSlow'),
  Type.Literal('storeSilent'),
  Type.Literal('storeLosesAnswers'),
  Type.Literal('storeForgets'),
  Type.Literal('targetFails'),
  Type.Literal('targetSilent'),
  Type.Literal('targetTruncates'),
  Type.Literal('targetGarbles'),
  Type.Literal('targetLosesAnswers'),
  Type.Literal('targetRejects'),
  Type.Literal('replaceTarget'),
  Type.Literal('publish'),
]);
export type FaultKind = Static<typeof faultKindSchema>;

/** One fault of a plan. */
export const plannedFaultSchema = Type.Object({
  /** Time from the start of the load (ms). */
  atMs: Type.Number(),
  kind: faultKindSchema,
  host: Type.String(),
  forMs: Type.Number(),
});
export type PlannedFault = Static<typeof plannedFaultSchema>;

/** What a client saw of one request. Times are monotonic (ms). */
export const soakRequestSchema = Type.Object({
  requestId: Type.String(),
  route: Type.String(),
  service: Type.String(),
  isIdempotent: Type.Boolean(),
  /** The node that the client used. */
  host: Type.String(),
  sentAtMs: Type.Number(),
  endedAtMs: Type.Number(),
  /** 0 where the connection ended without a complete answer. */
  status: Type.Integer(),
  /** With status 0: `crossed` where an idle connection was closed just as the request was sent. */
  body: Type.String(),
  /** Version of the configuration that was published last when the request was sent. */
  publishedVersion: Type.Integer(),
  /** When that version was published. */
  publishedAtMs: Type.Number(),
});
export type SoakRequest = Static<typeof soakRequestSchema>;

/** One request that reached a target. */
export const soakArrivalSchema = Type.Object({
  requestId: Type.String(),
  service: Type.String(),
  target: Type.String(),
  atMs: Type.Number(),
  /** False where the target turned it away unrun. */
  hasRun: Type.Boolean(),
});
export type SoakArrival = Static<typeof soakArrivalSchema>;

/** A leave that was acknowledged. */
export interface AcknowledgedLeave {
  target: string;
  atMs: number;
}

/** A disturbance as it happened; a request that falls into one is excused where a promise says so. */
export interface SoakDisturbance {
  kind: FaultKind;
  host: string;
  fromMs: number;
  untilMs: number;
}

export interface SoakRecords {
  requests: SoakRequest[];
  arrivals: SoakArrival[];
  leaves: AcknowledgedLeave[];
  disturbances: SoakDisturbance[];
}

/** A broken promise. */
export interface Violation {
  promise: string;
  detail: string;
}

/** Bad manners of a target that a soak brings about. */
export type SoakManner = 'good' | 'fails' | 'silent' | 'truncates' | 'garbles' | 'losesAnswer' | 'rejects';
export type SoakStoreFault = 'none' | 'refuses' | 'slow' | 'silent' | 'losesAnswers' | 'forgets';

/** The fleet that is soaked; real processes behind functions. */
export interface SoakFleet {
  readonly hosts: readonly { name: string; service: string }[];
  startNode(host: string): Promise<void>;
  /** Sends SIGTERM or SIGKILL; resolves when the process is gone. */
  endNode(host: string, isPlanned: boolean): Promise<void>;
  freezeNode(host: string, isFrozen: boolean): void;
  setStore(fault: SoakStoreFault): void;
  setTarget(host: string, manner: SoakManner): void;
  /** Lets a target leave and starts the next one in its place; tells when the leave was acknowledged. */
  replaceTarget(host: string): Promise<AcknowledgedLeave | undefined>;
  publish(version: number): void;
  /** Status -1 where nothing listened. */
  send(host: string, request: { requestId: string; route: string }): Promise<{ status: number; body: string }>;
  listArrivals(): SoakArrival[];
  stop(): Promise<void>;
}

/** Routes of the load. A configuration of version N has the route `vN` besides, and that of no other version. */
export const soakRoutes = [
  { name: 'check', service: 'stock', isIdempotent: true, share: 0.6 },
  { name: 'order', service: 'orders', isIdempotent: false, share: 0.4 },
] as const;
