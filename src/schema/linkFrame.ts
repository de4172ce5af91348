import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { nodeMemberSchema, targetPhaseSchema } from './nodeMember.js';
import { ranSchema } from './failure.js';
import { routeConfigurationSchema } from './routeConfiguration.js';

/** Largest message body that travels whole in one frame; longer ones are streamed in parts. */
export const MAX_UNSTREAMED_BODY_BYTES = 64 * 1024;
/** Bytes of one streamed body that may be under way. */
export const STREAM_WINDOW_BYTES = 64 * 1024;
/** Largest frame that is accepted. */
export const MAX_LINK_FRAME_BYTES = 4 * 1024 * 1024;

/** Each pair of nodes keeps one connection per lane, so that urgent requests do not wait behind routine bytes. */
export const linkLaneSchema = Type.Union([Type.Literal('urgent'), Type.Literal('routine')]);
export type LinkLane = Static<typeof linkLaneSchema>;

const runId = Type.Integer({ minimum: 0 });
/** Names and values in turn, as on the wire. */
const headerList = Type.Array(Type.String());

/** A request as the node beside its target gets it. */
export const runRequestSchema = Type.Object({
  requestId: Type.String(),
  service: Type.String(),
  route: Type.String(),
  priority: Type.Integer(),
  isIdempotent: Type.Boolean(),
  method: Type.String(),
  path: Type.String(),
  headers: headerList,
  /** Service of the host where the request began. */
  callerService: Type.String(),
  /** Time left until nobody waits for the answer (ms). */
  timeLeftMs: Type.Number(),
  /** Time left within which the answer has its full worth (ms); negative when that passed. */
  worthLeftMs: Type.Number(),
  /** True for every attempt after the first that may have reached a target. */
  isRepeat: Type.Boolean(),
  /** The whole body; absent when there is none or when it follows in parts. */
  body: Type.Optional(Type.Uint8Array()),
  /** True when the body follows in parts. */
  isStreamed: Type.Boolean(),
});
export type RunRequest = Static<typeof runRequestSchema>;

/** Why a run gave no answer of its target. */
export const runFailureKindSchema = Type.Union([
  Type.Literal('noTarget'),
  Type.Literal('leaving'),
  Type.Literal('queueFull'),
  Type.Literal('tooLate'),
  Type.Literal('quarantined'),
  Type.Literal('rejected'),
  Type.Literal('misdirected'),
  Type.Literal('unreachable'),
  Type.Literal('connectionLost'),
  Type.Literal('targetFailed'),
  Type.Literal('answerInvalid'),
  Type.Literal('answerTruncated'),
  Type.Literal('timedOut'),
  Type.Literal('linkLost'),
  Type.Literal('cancelled'),
]);
export type RunFailureKind = Static<typeof runFailureKindSchema>;

export const runFailureSchema = Type.Object({
  kind: runFailureKindSchema,
  ran: ranSchema,
  /** True when the request was written to a target, so that it counts as an arrival there. */
  hasArrived: Type.Boolean(),
  detail: Type.String(),
});
export type RunFailure = Static<typeof runFailureSchema>;

/** Load of the target beside the reporting node. */
export const loadReportSchema = Type.Object({
  phase: targetPhaseSchema,
  service: Type.String(),
  targetId: Type.String(),
  running: Type.Integer(),
  queued: Type.Integer(),
  /** Requests that the node lets the target run at once. */
  limit: Type.Number(),
  /** Mean duration of recent requests at the target (ms); 0 while unknown. */
  durationMs: Type.Number(),
  /** Share of recent requests that the target rejected, lost or failed, 0 to 1. */
  failureShare: Type.Number(),
});
export type LoadReport = Static<typeof loadReportSchema>;

/** What a node sees of the demand and of its target's calls; it changes slowly. */
export const profileSchema = Type.Object({
  /** Requests per second of clients and of the local target that entered at the node. */
  demand: Type.Array(Type.Object({ route: Type.String(), perSecond: Type.Number() })),
  /** Calls per run of the local target. */
  calls: Type.Array(Type.Object({ ran: Type.String(), called: Type.String(), perRun: Type.Number() })),
  /** Mean duration of the local target's runs, and the least recent mean (ms). */
  durations: Type.Array(Type.Object({ route: Type.String(), meanMs: Type.Number(), leastMs: Type.Number() })),
});
export type Profile = Static<typeof profileSchema>;

export const helloFrameSchema = Type.Object({
  type: Type.Literal('hello'),
  /** The host that the sender means; another one may have its address by now. */
  to: Type.String(),
  member: nodeMemberSchema,
  lane: linkLaneSchema,
  /** Runs of earlier connections for whose outcome the sender waits. */
  pending: Type.Array(runId),
});
export const runFrameSchema = Type.Object({ type: Type.Literal('run'), id: runId, request: runRequestSchema });
export const partFrameSchema = Type.Object({
  type: Type.Literal('part'),
  id: runId,
  data: Type.Uint8Array(),
  isLast: Type.Boolean(),
});
export const grantFrameSchema = Type.Object({ type: Type.Literal('grant'), id: runId, bytes: Type.Integer() });
export const cancelFrameSchema = Type.Object({ type: Type.Literal('cancel'), id: runId });
export const answerFrameSchema = Type.Object({
  type: Type.Literal('answer'),
  id: runId,
  status: Type.Integer(),
  headers: headerList,
  body: Type.Uint8Array(),
  /** True when more of the body follows in parts. */
  isStreamed: Type.Boolean(),
  load: loadReportSchema,
});
export const failedFrameSchema = Type.Object({
  type: Type.Literal('failed'),
  id: runId,
  failure: runFailureSchema,
  load: loadReportSchema,
});
export const statusFrameSchema = Type.Object({
  type: Type.Literal('status'),
  load: loadReportSchema,
  /** Version of the configuration in force; -1 when there is none. */
  configurationVersion: Type.Integer(),
  /** Known members, so that a peer that knows fewer can ask. */
  memberCount: Type.Integer(),
});
export const profileFrameSchema = Type.Object({ type: Type.Literal('profile'), profile: profileSchema });
export const membersFrameSchema = Type.Object({
  type: Type.Literal('members'),
  members: Type.Array(nodeMemberSchema),
});
export const pullFrameSchema = Type.Object({
  type: Type.Literal('pull'),
  what: Type.Union([Type.Literal('members'), Type.Literal('configuration')]),
});
export const configurationFrameSchema = Type.Object({
  type: Type.Literal('configuration'),
  configuration: routeConfigurationSchema,
});
export const crashFrameSchema = Type.Object({
  type: Type.Literal('crash'),
  reportId: Type.String(),
  fingerprints: Type.Array(Type.Integer()),
});

/** Everything that nodes say to each other about requests, one msgpack record per frame. */
export const linkFrameSchema = Type.Union([
  runFrameSchema,
  answerFrameSchema,
  failedFrameSchema,
  statusFrameSchema,
  partFrameSchema,
  grantFrameSchema,
  cancelFrameSchema,
  helloFrameSchema,
  profileFrameSchema,
  membersFrameSchema,
  pullFrameSchema,
  configurationFrameSchema,
  crashFrameSchema,
]);
export type LinkFrame = Static<typeof linkFrameSchema>;
export type HelloFrame = Static<typeof helloFrameSchema>;
export type AnswerFrame = Static<typeof answerFrameSchema>;
export type FailedFrame = Static<typeof failedFrameSchema>;
export type StatusFrame = Static<typeof statusFrameSchema>;
