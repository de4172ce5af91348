import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { nodeMemberSchema, targetPhaseSchema } from './nodeMember.js';
import { ranSchema } from './failure.js';
import { headerLabelSchema, headTextSchema } from './headText.js';
import { routeConfigurationSchema } from './routeConfiguration.js';

/** Maximum size of a body that is sent in one frame; larger bodies are streamed in parts. */
export const MAX_UNSTREAMED_BODY_BYTES = 64 * 1024;
/** Flow-control window: maximum number of unacknowledged bytes of one streamed body. */
export const STREAM_WINDOW_BYTES = 64 * 1024;
/** Maximum size of an accepted frame. */
export const MAX_LINK_FRAME_BYTES = 4 * 1024 * 1024;

/** Two nodes have one connection per lane, so that urgent requests do not queue behind routine traffic. */
export const linkLaneSchema = Type.Union([Type.Literal('urgent'), Type.Literal('routine')]);
export type LinkLane = Static<typeof linkLaneSchema>;

const runId = Type.Integer({ minimum: 0 });
/** Alternating header names and values, in the order received. */
const headerList = Type.Array(headTextSchema);

/** A request as sent to the node that runs it at its local target. */
export const runRequestSchema = Type.Object({
  requestId: headTextSchema,
  service: Type.String(),
  route: Type.String(),
  /** 0 is the most urgent; a call has that of the request to which it belongs. */
  priority: Type.Integer(),
  /** True for a call of a running request; absent for new requests. */
  isStarted: Type.Optional(Type.Boolean()),
  /** True if the request goes behind others of its priority, as its client did not wait for earlier responses. */
  isExcess: Type.Optional(Type.Boolean()),
  isIdempotent: Type.Boolean(),
  method: headTextSchema,
  path: headTextSchema,
  headers: headerList,
  /** Service of the host at which the request entered. */
  callerService: Type.String(),
  /** Organisation that sent the request; absent if none did. */
  organisation: Type.Optional(headerLabelSchema),
  /** Time left until the request times out (ms). */
  timeLeftMs: Type.Number(),
  /** Time left in which the answer has its full worth (ms); negative after that time. */
  worthLeftMs: Type.Number(),
  /** True when an earlier attempt of the request may have reached a target. */
  isRepeat: Type.Boolean(),
  /** The whole body; absent when the request has none or it is streamed. */
  body: Type.Optional(Type.Uint8Array()),
  /** True when the body follows in `part` frames. */
  isStreamed: Type.Boolean(),
});
export type RunRequest = Static<typeof runRequestSchema>;

/** Reason why a run ended without an answer from the target. */
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
  /** True when a reused connection failed at once: the target may have closed it while it was idle. Absent otherwise. */
  isStale: Type.Optional(Type.Boolean()),
  detail: Type.String(),
  /** Time until the target is expected to have room (ms); absent if unknown. */
  roomMs: Type.Optional(Type.Number()),
});
export type RunFailure = Static<typeof runFailureSchema>;

/** Load of the local target of the reporting node. */
export const loadReportSchema = Type.Object({
  phase: targetPhaseSchema,
  service: Type.String(),
  targetId: Type.String(),
  running: Type.Integer(),
  queued: Type.Integer(),
  /** Concurrency limit that the node applies to the target. */
  limit: Type.Number(),
  /** Mean duration of recent requests at the target (ms); 0 if unknown. */
  durationMs: Type.Number(),
  /** Share of recent requests that the target rejected, failed or did not answer, in [0, 1]. */
  failureShare: Type.Number(),
  /** Share of recent requests that the target rejected, and of calls that left its queue without their turn; absent for none. */
  unservedShare: Type.Optional(Type.Number()),
  /** Time for which the target has answered none of its running requests (ms); absent while it answers as expected. */
  stalledMs: Type.Optional(Type.Number()),
  /** How much longer than in its recent answers the target takes now; absent while it is about 1. */
  slowdown: Type.Optional(Type.Number()),
  /** Requests per second that the target takes from all nodes together; absent while it names no limit. */
  ratePerSecond: Type.Optional(Type.Number()),
  /** Number of requests that may start at once under that rate. */
  rateTokens: Type.Optional(Type.Number()),
});
export type LoadReport = Static<typeof loadReportSchema>;

/** Demand and calls of the local target as measured by a node; changes slowly. */
export const profileSchema = Type.Object({
  /** Rate of requests from clients and the local target that entered at the node. */
  demand: Type.Array(Type.Object({ route: Type.String(), perSecond: Type.Number() })),
  /** The part of the demand whose priority differs from that of its route; absent where organisations replace none. */
  priorities: Type.Optional(
    Type.Array(Type.Object({ route: Type.String(), priority: Type.Integer(), perSecond: Type.Number() })),
  ),
  /** The part of the demand that consists of excess requests; absent where there are none. Not contained in `priorities`. */
  excess: Type.Optional(
    Type.Array(Type.Object({ route: Type.String(), priority: Type.Integer(), perSecond: Type.Number() })),
  ),
  /** Mean number of downstream calls to the route `called` per run of the local target for the route `ran`. */
  calls: Type.Array(Type.Object({ ran: Type.String(), called: Type.String(), perRun: Type.Number() })),
  /** Durations of the local target's runs. */
  durations: Type.Array(
    Type.Object({
      route: Type.String(),
      /** Mean duration (ms). */
      meanMs: Type.Number(),
      /** Minimum of that mean over recent time (ms). */
      leastMs: Type.Number(),
      /** Number of recent runs in the mean; each one counts less as it ages. */
      samples: Type.Optional(Type.Number()),
    }),
  ),
});
export type Profile = Static<typeof profileSchema>;

export const helloFrameSchema = Type.Object({
  type: Type.Literal('hello'),
  /** The intended receiver; its address may have been reassigned to another host. */
  to: Type.String(),
  member: nodeMemberSchema,
  lane: linkLaneSchema,
  /** Runs sent over earlier connections whose outcomes the sender still waits for. */
  pending: Type.Array(runId),
});
export const runFrameSchema = Type.Object({ type: Type.Literal('run'), id: runId, request: runRequestSchema });
/** A part of a streamed body. */
export const partFrameSchema = Type.Object({
  type: Type.Literal('part'),
  id: runId,
  data: Type.Uint8Array(),
  isLast: Type.Boolean(),
});
/** Allows the receiver to send further bytes of a streamed body; 0 bytes only show that the request has arrived. */
export const grantFrameSchema = Type.Object({ type: Type.Literal('grant'), id: runId, bytes: Type.Integer() });
export const cancelFrameSchema = Type.Object({ type: Type.Literal('cancel'), id: runId });
export const answerFrameSchema = Type.Object({
  type: Type.Literal('answer'),
  id: runId,
  status: Type.Integer({ minimum: 200, maximum: 599 }),
  headers: headerList,
  body: Type.Uint8Array(),
  /** True when the rest of the body follows in `part` frames. */
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
  /** Version of the configuration in force; -1 if there is none. */
  configurationVersion: Type.Integer(),
  /** Number of members known to the sender, so that a peer that knows fewer can request them. */
  memberCount: Type.Integer(),
  /** Digest of the versions of all member records known to the sender, including its own. */
  membersDigest: Type.Optional(Type.Integer()),
  /** True while the sender cannot read the configuration from the store. */
  isStoreLost: Type.Optional(Type.Boolean()),
  /** The highest era of the store that the sender heard of. */
  storeEra: Type.Optional(Type.Integer()),
});
export const profileFrameSchema = Type.Object({ type: Type.Literal('profile'), profile: profileSchema });
export const membersFrameSchema = Type.Object({
  type: Type.Literal('members'),
  members: Type.Array(nodeMemberSchema),
  /** Whether these are all members; if absent, several records are a complete list. */
  isComplete: Type.Optional(Type.Boolean()),
});
/** Requests the member records or the configuration of the receiver. */
export const pullFrameSchema = Type.Object({
  type: Type.Literal('pull'),
  what: Type.Union([Type.Literal('members'), Type.Literal('configuration')]),
});
export const configurationFrameSchema = Type.Object({
  type: Type.Literal('configuration'),
  configuration: routeConfigurationSchema,
});
/** What a node learned of fingerprints; each report is forwarded once. */
export const crashReportSchema = Type.Object({
  reportId: Type.String(),
  /** Those of the requests that were running when a target crashed. */
  fingerprints: Type.Array(Type.Integer()),
  /** Those that a target answered, which ends the suspicion; absent if there are none. */
  cleared: Type.Optional(Type.Array(Type.Integer())),
  /** Those of which a single request runs after a quarantine; absent if there are none. */
  trials: Type.Optional(Type.Array(Type.Integer())),
});
export type CrashReport = Static<typeof crashReportSchema>;
export const crashFrameSchema = Type.Composite([Type.Object({ type: Type.Literal('crash') }), crashReportSchema]);

/** Tokens of one organisation that a host wants. */
export const quotaWantSchema = Type.Object({
  organisation: Type.String(),
  /** Number of requests that wait for a token. */
  count: Type.Integer({ minimum: 0 }),
  /** Number of requests that are expected soon. */
  ahead: Type.Integer({ minimum: 0 }),
});
export type QuotaWant = Static<typeof quotaWantSchema>;
/** What an allocator grants of the quota of one organisation. */
export const quotaGrantSchema = Type.Object({
  organisation: Type.String(),
  tokens: Type.Integer({ minimum: 0 }),
  /** Time until there is room again for this host (ms); 0 if all waiting requests got their token. */
  waitMs: Type.Number({ minimum: 0 }),
  /** Mean time between two tokens for this host from then on (ms). */
  stepMs: Type.Number({ minimum: 0 }),
});
export type QuotaGrant = Static<typeof quotaGrantSchema>;

/** Asks an allocator for tokens and lends it the share of the sender. */
export const quotaAskFrameSchema = Type.Object({
  type: Type.Literal('quotaAsk'),
  /** Rises with each ask of the sender's process. */
  ask: Type.Integer({ minimum: 0 }),
  /** The process of the sender. */
  incarnation: Type.String(),
  /** Absent if nothing is lent. */
  loan: Type.Optional(
    Type.Object({
      share: Type.Number({ minimum: 0, maximum: 1 }),
      /** The newest stamp received: the process of the allocator and the time on its clock. */
      allocator: Type.String(),
      stampMs: Type.Number(),
    }),
  ),
  wants: Type.Array(quotaWantSchema),
});
export type QuotaAskFrame = Static<typeof quotaAskFrameSchema>;
export const quotaGrantFrameSchema = Type.Object({
  type: Type.Literal('quotaGrant'),
  /** The ask that this responds to; -1 if it responds to none. */
  ask: Type.Integer({ minimum: -1 }),
  /** The process of the allocator. */
  incarnation: Type.String(),
  /** Time on the clock of the allocator (ms). */
  stampMs: Type.Number(),
  /** True when the allocator stops and counts no loan any more. */
  isReturned: Type.Boolean(),
  grants: Type.Array(quotaGrantSchema),
});
export type QuotaGrantFrame = Static<typeof quotaGrantFrameSchema>;

/** All frames between nodes that serve routed requests. Each frame is encoded as one msgpack record. */
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
  quotaAskFrameSchema,
  quotaGrantFrameSchema,
]);
export type LinkFrame = Static<typeof linkFrameSchema>;
export type HelloFrame = Static<typeof helloFrameSchema>;
export type AnswerFrame = Static<typeof answerFrameSchema>;
export type FailedFrame = Static<typeof failedFrameSchema>;
export type StatusFrame = Static<typeof statusFrameSchema>;
