import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** Offered rate over time; `factor` multiplies the steady rate. */
export const loadShapeSchema = Type.Union([
  Type.Object({ kind: Type.Literal('steady') }),
  /** `factor` times the steady rate from `fromS` to `toS`. */
  Type.Object({ kind: Type.Literal('step'), factor: Type.Number(), fromS: Type.Number(), toS: Type.Number() }),
  /** Rises linearly from `fromS` to `toS`, up to `factor` times the steady rate, then drops back to it. */
  Type.Object({ kind: Type.Literal('ramp'), factor: Type.Number(), fromS: Type.Number(), toS: Type.Number() }),
  /** `factor` times the steady rate for the first `lengthS` of every `periodS`. */
  Type.Object({ kind: Type.Literal('spikes'), factor: Type.Number(), periodS: Type.Number(), lengthS: Type.Number() }),
]);
export type LoadShape = Static<typeof loadShapeSchema>;

const loadOperationSchema = Type.Object({
  service: Type.String(),
  operation: Type.String(),
  /** Name of the group in the report. The effective priority is the one in the published document. */
  priority: Type.String(),
  idempotent: Type.Boolean(),
  /** Relative weight of this operation in the offered requests. */
  share: Type.Number({ exclusiveMinimum: 0 }),
  deadlineMs: Type.Number({ exclusiveMinimum: 0 }),
});
export type LoadOperation = Static<typeof loadOperationSchema>;

/** Settings of one run of the load tool. */
export const loadSettingsSchema = Type.Object(
  {
    /** Caller addresses of the nodes as `host:port`; empty if the load is sent directly to targets. */
    nodes: Type.Array(Type.String(), { default: [] }),
    /** For runs without hemlockstack: base URLs of the targets of each entry service. */
    direct: Type.Optional(Type.Record(Type.String(), Type.Array(Type.String(), { minItems: 1 }))),
    ratePerSecond: Type.Number({ exclusiveMinimum: 0 }),
    durationS: Type.Number({ exclusiveMinimum: 0 }),
    shape: loadShapeSchema,
    mix: Type.Array(loadOperationSchema, { minItems: 1 }),
    /** Number of distinct caller ids. */
    callers: Type.Integer({ minimum: 1, default: 50 }),
    /** Maximum number of resends per request. */
    maxResends: Type.Integer({ minimum: 0, default: 2 }),
    /** Resends immediately after every failure, even one that forbids a retry; each resend gets a new deadline. */
    isRetryingHard: Type.Boolean({ default: false }),
    seed: Type.Integer({ default: 1 }),
  },
  { additionalProperties: false },
);
export type LoadSettings = Static<typeof loadSettingsSchema>;

const countsSchema = Type.Object({
  offered: Type.Integer(),
  /** Requests with a complete successful response within the deadline. */
  completed: Type.Integer(),
  /** Requests whose last attempt was refused without running. */
  refused: Type.Integer(),
  /** All others: completed too late, aborted, or failed at a target. */
  failed: Type.Integer(),
});

export const loadGroupSchema = Type.Composite([
  Type.Object({ service: Type.String(), priority: Type.String() }),
  countsSchema,
  Type.Object({
    /** Latency of completed requests, measured from the scheduled start of the first attempt (ms). */
    p50Ms: Type.Number(),
    p99Ms: Type.Number(),
    resendsPerRequest: Type.Number(),
  }),
]);
export type LoadGroup = Static<typeof loadGroupSchema>;

/** Counts of the requests offered in an interval, and the rate of the requests that completed in it. */
export const loadIntervalSchema = Type.Composite([
  Type.Object({ atS: Type.Number(), goodputPerSecond: Type.Number() }),
  countsSchema,
]);
export type LoadInterval = Static<typeof loadIntervalSchema>;

/** Report of one run of the load tool. */
export const loadReportSchema = Type.Object({
  seed: Type.Integer(),
  durationS: Type.Number(),
  total: countsSchema,
  resendsPerRequest: Type.Number(),
  groups: Type.Array(loadGroupSchema),
  intervals: Type.Array(loadIntervalSchema),
});
export type LoadReport = Static<typeof loadReportSchema>;
