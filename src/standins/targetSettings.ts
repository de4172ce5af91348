import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

export const onwardCallSchema = Type.Object(
  { service: Type.String(), operation: Type.String() },
  { additionalProperties: false },
);
export type OnwardCallSettings = Static<typeof onwardCallSchema>;

export const targetOperationSchema = Type.Object(
  {
    /** Mean of the service time without onward calls (ms). */
    meanMs: Type.Number({ minimum: 0 }),
    distribution: Type.Union([Type.Literal('constant'), Type.Literal('exponential')], { default: 'exponential' }),
    /** Calls made one after the other before the answer. */
    onward: Type.Array(onwardCallSchema, { default: [] }),
  },
  { additionalProperties: false },
);

/** Settings of one stand-in target. */
export const targetSettingsSchema = Type.Object(
  {
    host: Type.String(),
    service: Type.String(),
    /** Address of the node on this host for announcements and onward calls. */
    node: Type.Optional(Type.String({ pattern: '^https?://' })),
    port: Type.Integer({ minimum: 0, maximum: 65_535, default: 0 }),
    slots: Type.Integer({ minimum: 1, default: 16 }),
    connections: Type.Integer({ minimum: 1, default: 256 }),
    /** Factor on all service times: an old host has a larger one. */
    slowness: Type.Number({ exclusiveMinimum: 0, default: 1 }),
    coldStartMs: Type.Number({ minimum: 0, default: 0 }),
    /** Factor on service times during the cold start. */
    coldSlowness: Type.Number({ minimum: 1, default: 4 }),
    /** How late the health and load endpoints show what is (ms). */
    reportLagMs: Type.Number({ minimum: 0, default: 0 }),
    /** Factor on the reported load; 0 always reports an idle target. */
    reportFactor: Type.Number({ minimum: 0, default: 1 }),
    /** A body that contains this text ends the process that runs it. */
    crashOn: Type.Optional(Type.String({ minLength: 1 })),
    operations: Type.Record(Type.String(), targetOperationSchema),
    /** For runs without hemlockstack: addresses of the targets of each called service. */
    direct: Type.Optional(Type.Record(Type.String(), Type.Array(Type.String()))),
    seed: Type.Integer({ default: 1 }),
  },
  { additionalProperties: false },
);
export type TargetSettings = Static<typeof targetSettingsSchema>;
