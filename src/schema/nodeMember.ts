import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** `none`: no target was heard of, or it left. */
export const targetPhaseSchema = Type.Union([
  Type.Literal('none'),
  Type.Literal('ready'),
  Type.Literal('draining'),
  Type.Literal('left'),
]);
export type TargetPhase = Static<typeof targetPhaseSchema>;

/** What a target says of itself in one heartbeat. */
export const heartbeatSchema = Type.Object({
  service: Type.String({ minLength: 1 }),
  /** `IP:PORT` at which it serves. */
  address: Type.String({ pattern: '^[^:]+:[0-9]+$' }),
  dataCenter: Type.String(),
  /** Requests that it runs at once. */
  slots: Type.Integer({ minimum: 1 }),
  state: Type.Union([Type.Literal('ready'), Type.Literal('draining')]),
  /** Rises with each heartbeat of one start. */
  sequence: Type.Integer({ minimum: 0 }),
  /** How much longer the target stays slow after its start (ms). */
  coldLeftMs: Type.Number({ minimum: 0 }),
  /** Unix time of its start (ms), which tells its starts apart. */
  startedAtMs: Type.Integer({ minimum: 0 }),
});
export type Heartbeat = Static<typeof heartbeatSchema>;

/** The local target as its node publishes it, so that a restarted node knows what it acknowledged. */
export const publishedTargetSchema = Type.Object({
  id: Type.String({ minLength: 1 }),
  startedAtMs: Type.Integer({ minimum: 0 }),
  sequence: Type.Integer({ minimum: 0 }),
  phase: targetPhaseSchema,
  service: Type.String(),
  address: Type.String(),
  slots: Type.Integer({ minimum: 1 }),
});
export type PublishedTarget = Static<typeof publishedTargetSchema>;

/** One node as all others know it. */
export const nodeMemberSchema = Type.Object({
  host: Type.String({ minLength: 1 }),
  dataCenter: Type.String(),
  region: Type.String(),
  /** The service of the host's target. */
  service: Type.String(),
  /** `IP:PORT` for links. */
  linkAddress: Type.String({ pattern: '^[^:]+:[0-9]+$' }),
  /** Random text of one process start. */
  incarnation: Type.String({ minLength: 1 }),
  /** Unix time of the process's start (ms); a later start replaces the record of an earlier one. */
  startedAtMs: Type.Integer({ minimum: 0 }),
  /** Rises with each change in one start. */
  revision: Type.Integer({ minimum: 0 }),
  target: Type.Optional(publishedTargetSchema),
});
export type NodeMember = Static<typeof nodeMemberSchema>;
