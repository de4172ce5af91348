import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** How the offered rate changes over time; `factor` multiplies the steady rate. */
export const loadShapeSchema = Type.Union([
  Type.Object({ kind: Type.Literal('steady') }),
  /** `factor` times the rate from `fromS` to `toS`. */
  Type.Object({ kind: Type.Literal('step'), factor: Type.Number(), fromS: Type.Number(), toS: Type.Number() }),
  /** Rises evenly to `factor` times the rate between `fromS` and `toS`, then falls back at once. */
  Type.Object({ kind: Type.Literal('ramp'), factor: Type.Number(), fromS: Type.Number(), toS: Type.Number() }),
  /** `factor` times the rate for `lengthS` in every `periodS`. */
  Type.Object({ kind: Type.Literal('spikes'), factor: Type.Number(), periodS: Type.Number(), lengthS: Type.Number() }),
]);
export type LoadShape = Static<typeof loadShapeSchema>;

const loadOperationSchema = Type.Object({
  service: Type.String(),
  operation: Type.String(),
  /** Names the row of the report; the priority that counts is in the published document. */
  priority: Type.String(),
  idempotent: Type.Boolean(),
  /** Share of the offered requests, relative to those of the other operations. */
  share: Type.Number({ exclusiveMinimum: 0 }),
  deadlineMs: Type.Number({ exclusiveMinimum: 0 }),
});
export type LoadOperation = Static<typeof loadOperationSchema>;

/** Settings of one run of the load tool. */
export const loadSettingsSchema = Type.Object(
  {
    /** Caller ports of nodes as `host:port`; left out when the load goes to targets directly. */
    nodes: Type.Array(Type.String(), { default: [] }),
    /** Without hemlockstack: addresses of the targets of each entry service. */
    direct: Type.Optional(Type.Record(Type.String(), Type.Array(Type.String(), { minItems: 1 }))),
    ratePerSecond: Type.Number({ exclusiveMinimum: 0 }),
    durationS: Type.Number({ exclusiveMinimum: 0 }),
    shape: loadShapeSchema,
    mix: Type.Array(loadOperationSchema, { minItems: 1 }),
    /** Number of callers, each with its own caller id. */
    callers: Type.Integer({ minimum: 1, default: 50 }),
    /** Resends of one request at most. */
    maxResends: Type.Integer({ minimum: 0, default: 2 }),
    /** Resends at once after every failure, whatever it says, each with a deadline of its own. */
    isRetryingHard: Type.Boolean({ default: false }),
    seed: Type.Integer({ default: 1 }),
  },
  { additionalProperties: false },
);
export type LoadSettings = Static<typeof loadSettingsSchema>;

const countsSchema = Type.Object({
  offered: Type.Integer(),
  /** Requests with their whole answer within the deadline. */
  completed: Type.Integer(),
  /** Requests whose last attempt was refused and did not run. */
  refused: Type.Integer(),
  /** All others: too late, broken off, or failed at a target. */
  failed: Type.Integer(),
});

export const loadGroupSchema = Type.Composite([
  Type.Object({ service: Type.String(), priority: Type.String() }),
  countsSchema,
  Type.Object({
    /** Over completed requests, from the first attempt on (ms). */
    p50Ms: Type.Number(),
    p99Ms: Type.Number(),
    resendsPerRequest: Type.Number(),
  }),
]);
export type LoadGroup = Static<typeof loadGroupSchema>;

/** Requests by the interval in which they were offered, and whole answers by that in which they came. */
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
