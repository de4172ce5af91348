import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

export const downstreamCallSchema = Type.Object(
  { service: Type.String(), operation: Type.String() },
  { additionalProperties: false },
);
export type DownstreamCallSettings = Static<typeof downstreamCallSchema>;

export const targetOperationSchema = Type.Object(
  {
    /** Mean service time without downstream calls (ms). */
    meanMs: Type.Number({ minimum: 0 }),
    distribution: Type.Union([Type.Literal('constant'), Type.Literal('exponential')], { default: 'exponential' }),
    /** Downstream calls, made sequentially before the response. */
    onward: Type.Array(downstreamCallSchema, { default: [] }),
  },
  { additionalProperties: false },
);

/** Settings of one stand-in target. */
export const targetSettingsSchema = Type.Object(
  {
    host: Type.String(),
    service: Type.String(),
    /** Base URL of the node on this host, for announcements and downstream calls. */
    node: Type.Optional(Type.String({ pattern: '^https?://' })),
    port: Type.Integer({ minimum: 0, maximum: 65_535, default: 0 }),
    slots: Type.Integer({ minimum: 1, default: 16 }),
    connections: Type.Integer({ minimum: 1, default: 256 }),
    /** Factor on all service times; larger than 1 for slow hardware. */
    slowness: Type.Number({ exclusiveMinimum: 0, default: 1 }),
    /** Duration of the cold start, from the start of the target (ms). */
    coldStartMs: Type.Number({ minimum: 0, default: 0 }),
    /** Factor on service times during the cold start. */
    coldSlowness: Type.Number({ minimum: 1, default: 4 }),
    /** Lag of the state and load that the health and load endpoints report (ms). */
    reportLagMs: Type.Number({ minimum: 0, default: 0 }),
    /** Factor on the reported load; 0 always reports an idle target. */
    reportFactor: Type.Number({ minimum: 0, default: 1 }),
    /** The process exits when it runs a request whose body contains this text. */
    crashOn: Type.Optional(Type.String({ minLength: 1 })),
    operations: Type.Record(Type.String(), targetOperationSchema),
    /** For runs without hemlockstack: base URLs of the targets of each called service. */
    direct: Type.Optional(Type.Record(Type.String(), Type.Array(Type.String()))),
    seed: Type.Integer({ default: 1 }),
  },
  { additionalProperties: false },
);
export type TargetSettings = Static<typeof targetSettingsSchema>;
