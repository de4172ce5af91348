import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { createAddressSchema } from './address.js';

/** Highest rate that a target is taken to name (requests per second), which limits nothing. */
export const MAX_RATE_PER_SECOND = 1e9;

/** Unix time (ms) in the range of Date, so that the next one differs from it. */
const unixTime = Type.Integer({ minimum: 0, maximum: 8.64e15 });
const counter = Type.Integer({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER });
/** No target runs more requests, and the sum over all targets is exact. */
const slotCount = Type.Integer({ minimum: 1, maximum: 1_000_000 });

/** `none`: no target is known; `left`: the target has sent its leave request. */
export const targetPhaseSchema = Type.Union([
  Type.Literal('none'),
  Type.Literal('ready'),
  Type.Literal('draining'),
  Type.Literal('left'),
]);
export type TargetPhase = Static<typeof targetPhaseSchema>;

/** Heartbeat of a target. */
export const heartbeatSchema = Type.Object({
  service: Type.String({ minLength: 1 }),
  address: createAddressSchema('the address at which the target serves requests'),
  dataCenter: Type.String(),
  /** Number of requests that the target runs concurrently. */
  slots: slotCount,
  state: Type.Union([Type.Literal('ready'), Type.Literal('draining')]),
  /** Increases with each heartbeat since the target started. */
  sequence: counter,
  /** Remaining warm-up time (ms); the target is slow until it has passed. */
  coldLeftMs: Type.Number({ minimum: 0 }),
  /** Unix time at which the target started (ms); differs between a target and its restarted successor. */
  startedAtMs: unixTime,
});
export type Heartbeat = Static<typeof heartbeatSchema>;

/** Local target as published by its node, so that after a restart the node still knows what it has acknowledged. */
export const publishedTargetSchema = Type.Object({
  /** Any text, since earlier versions published what they were told; the same holds for the address. */
  id: Type.String({ minLength: 1 }),
  startedAtMs: unixTime,
  sequence: counter,
  phase: targetPhaseSchema,
  service: Type.String(),
  /** Any text; `isAddress` tells whether it can be used. */
  address: Type.String(),
  slots: slotCount,
  /** Requests per second that the target takes from all nodes together; absent while it names no limit. */
  ratePerSecond: Type.Optional(Type.Number({ minimum: 0, maximum: MAX_RATE_PER_SECOND })),
});
export type PublishedTarget = Static<typeof publishedTargetSchema>;

/** A start of a target that announced that it leaves. Earlier starts of the same id have ended. */
export const departureSchema = Type.Object({
  id: Type.String({ minLength: 1 }),
  startedAtMs: unixTime,
  phase: Type.Union([Type.Literal('draining'), Type.Literal('left')]),
  /** Unix time at which its node heard of it (ms). */
  atMs: unixTime,
});
export type Departure = Static<typeof departureSchema>;

/** The announcement of a target that it leaves. */
export const leaveSchema = Type.Object({
  /** Unix time at which the target started (ms); absent if it does not say. */
  startedAtMs: Type.Optional(unixTime),
});

/** Membership record of one node. */
export const nodeMemberSchema = Type.Object({
  host: Type.String({ minLength: 1 }),
  dataCenter: Type.String(),
  region: Type.String(),
  /** The service of the host's target. */
  service: Type.String(),
  /** Address for links. Any text, as above: a peer that passes on such a record must not lose its link. */
  linkAddress: Type.String(),
  /** Random id of one start of the process. */
  incarnation: Type.String({ minLength: 1 }),
  /** Unix time at which the process started (ms); the record of a later start replaces that of an earlier one. */
  startedAtMs: unixTime,
  /** Increases with each change of the record since the process started. */
  revision: counter,
  target: Type.Optional(publishedTargetSchema),
  /** Starts of targets at this host that left, other than `target`, oldest first; absent if there are none. */
  departures: Type.Optional(Type.Array(departureSchema)),
});
export type NodeMember = Static<typeof nodeMemberSchema>;
