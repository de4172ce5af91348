import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { callFailureSchema } from './failure.js';
import { acceptedDocumentSchema } from './logRecord.js';
import { memberRecordSchema } from './member.js';

export const MAX_REQUEST_BODY_BYTES = 256 * 1024;
export const MAX_ANSWER_BODY_BYTES = 1024 * 1024;
/** Maximum depth of a call graph. At least 21 must be supported. */
export const MAX_DEPTH = 32;

/** Larger sets of records are split into several frames of about 20 KB, so that none delays other frames for long. */
export const MAX_RECORDS_PER_FRAME = 64;

/** Each lane has its own connection to a peer, so that urgent frames do not queue behind routine ones. */
export const laneSchema = Type.Union([Type.Literal('urgent'), Type.Literal('routine'), Type.Literal('control')]);
export type Lane = Static<typeof laneSchema>;

/** A call with its context, as sent from node to node. */
export const callEnvelopeSchema = Type.Object({
  requestId: Type.String({ minLength: 1, maxLength: 64 }),
  service: Type.String({ maxLength: 64 }),
  operation: Type.String({ maxLength: 64 }),
  idempotent: Type.Boolean(),
  priority: Type.String({ maxLength: 64 }),
  worth: Type.Number(),
  urgent: Type.Boolean(),
  /** In [0, 1), and the same for all calls of a request; a call is admitted when it is below the admitted fraction. */
  shedKey: Type.Number({ minimum: 0, exclusiveMaximum: 1 }),
  /** Identifies the caller for fair queueing within a priority. */
  callerKey: Type.String({ maxLength: 255 }),
  /** Number of calls between the entry node and this call. */
  depth: Type.Integer({ minimum: 0, maximum: MAX_DEPTH }),
  /** Extra attempts left for this call and its downstream calls together. */
  allowance: Type.Integer({ minimum: 0, maximum: 100 }),
  /** Time left until the deadline (ms). */
  deadlineMs: Type.Number({ minimum: 0 }),
  /** Hash that identifies requests with the same content, to quarantine requests that crash targets. */
  fingerprint: Type.String({ maxLength: 64 }),
  ticket: Type.Optional(Type.String({ maxLength: 512 })),
  contentType: Type.String({ maxLength: 255 }),
  body: Type.Uint8Array({ maxByteLength: MAX_REQUEST_BODY_BYTES }),
});
export type CallEnvelope = Static<typeof callEnvelopeSchema>;

/** Load of the target that sends the reply, as measured by its node. */
export const loadHintSchema = Type.Object({
  limit: Type.Number({ minimum: 0 }),
  inFlight: Type.Integer({ minimum: 0 }),
  queued: Type.Integer({ minimum: 0 }),
});
export type LoadHint = Static<typeof loadHintSchema>;

const callId = Type.String({ minLength: 1, maxLength: 64 });

/** Fields that all replies to calls have besides the result. */
const replyFields = {
  callId,
  /** Unused extra attempts out of those granted with the call. */
  allowanceLeft: Type.Integer({ minimum: 0, maximum: 100 }),
  /** Minimum admitted fraction of the call's priority at the replying target and its downstream targets. */
  admittedFraction: Type.Number({ minimum: 0, maximum: 1 }),
  load: Type.Optional(loadHintSchema),
};

export const callFrameSchema = Type.Object({
  type: Type.Literal('call'),
  callId,
  /**
   * `target`: the receiver runs the call at its local target. `home`: the receiver is the home of the ticket, the node
   * that stores the outcome of the ticket's request, and dispatches the call.
   */
  purpose: Type.Union([Type.Literal('target'), Type.Literal('home')]),
  envelope: callEnvelopeSchema,
});
export const answerFrameSchema = Type.Object({
  type: Type.Literal('answer'),
  ...replyFields,
  status: Type.Integer({ minimum: 100, maximum: 599 }),
  contentType: Type.String({ maxLength: 255 }),
  body: Type.Uint8Array({ maxByteLength: MAX_ANSWER_BODY_BYTES }),
});
export const refusalFrameSchema = Type.Object({
  type: Type.Literal('refusal'),
  ...replyFields,
  failure: callFailureSchema,
});
export const cancelFrameSchema = Type.Object({ type: Type.Literal('cancel'), callId });
export const helloFrameSchema = Type.Object({ type: Type.Literal('hello'), member: memberRecordSchema });
export const heartbeatFrameSchema = Type.Object({
  type: Type.Literal('heartbeat'),
  /** Version of the sender's own record. */
  version: Type.Integer({ minimum: 0 }),
  /** True for the reply to a heartbeat from a node that is not a neighbour; replies are not replied to. */
  isReply: Type.Optional(Type.Boolean()),
  /** Between gateways: time since something was last received from each data centre, in units of 100 ms. */
  ages: Type.Optional(Type.Record(Type.String({ maxLength: 64 }), Type.Integer({ minimum: 0 }))),
});
/**
 * Data centres from which a gateway, a node that links its data centre to others, receives nothing; gossiped within its
 * own data centre.
 */
export const silenceFrameSchema = Type.Object({
  type: Type.Literal('silence'),
  /** Identifies the report, so that each node forwards it only once. */
  newsId: Type.String({ maxLength: 300 }),
  host: Type.String({ maxLength: 255 }),
  dataCenters: Type.Array(Type.String({ maxLength: 64 }), { maxItems: 256 }),
});
/** Sent between the nodes that monitor `host`: how long (ms) the sender has received nothing from it. */
export const suspicionFrameSchema = Type.Object({
  type: Type.Literal('suspicion'),
  host: Type.String({ maxLength: 255 }),
  silentMs: Type.Number({ minimum: 0 }),
  isReply: Type.Boolean(),
});
export const membersFrameSchema = Type.Object({
  type: Type.Literal('members'),
  records: Type.Array(memberRecordSchema, { maxItems: MAX_RECORDS_PER_FRAME }),
  /** True when sent to a joining node: its neighbours have the records already, so it does not propagate them. */
  isWelcome: Type.Optional(Type.Boolean()),
});
export const configurationFrameSchema = Type.Object({
  type: Type.Literal('configuration'),
  appliedOffset: Type.Integer({ minimum: 0 }),
  documents: Type.Array(acceptedDocumentSchema),
});
export type ConfigurationFrame = Static<typeof configurationFrameSchema>;
/** Compares the configuration versions of two nodes; `versions` is sent only when the digests differ. */
export const configurationDigestFrameSchema = Type.Object({
  type: Type.Literal('configurationDigest'),
  digest: Type.String({ maxLength: 64 }),
  versions: Type.Optional(Type.Record(Type.String(), Type.Integer({ minimum: 1 }))),
  /** Log offset at which exactly the versions of the digest were in force; 0 if unknown. */
  completeUpTo: Type.Integer({ minimum: 0 }),
  /** True in the last frame of an exchange: the receiver sends its newer documents and no further digest. */
  isLast: Type.Boolean(),
});
export type ConfigurationDigestFrame = Static<typeof configurationDigestFrameSchema>;
export const crashReportFrameSchema = Type.Object({
  type: Type.Literal('crashReport'),
  reportId: Type.String({ maxLength: 64 }),
  host: Type.String({ maxLength: 255 }),
  service: Type.String({ maxLength: 64 }),
  /**
   * `crashed`: the requests were running when the target crashed; `succeeded`: a request was answered;
   * `trial`: a request is running after its quarantine.
   */
  news: Type.Union([Type.Literal('crashed'), Type.Literal('succeeded'), Type.Literal('trial')]),
  fingerprints: Type.Array(Type.String({ maxLength: 64 }), { maxItems: 4096 }),
});
/** Compares the member records of two nodes. */
export const digestFrameSchema = Type.Object({
  type: Type.Literal('digest'),
  /** Digest of the member records of each data centre. */
  members: Type.Record(Type.String(), Type.String()),
  /** Unused and always empty: the `configurationDigest` frame compares the configuration. */
  configuration: Type.String({ maxLength: 64 }),
});
/** Requests member records, by data centre or by host. */
export const pullFrameSchema = Type.Object({
  type: Type.Literal('pull'),
  dataCenters: Type.Array(Type.String({ maxLength: 64 }), { maxItems: 256 }),
  hosts: Type.Array(Type.String({ maxLength: 255 }), { maxItems: 4096 }),
  configuration: Type.Boolean(),
  /** True when the sender is joining: its neighbours have the records already, so it does not propagate them. */
  isJoining: Type.Optional(Type.Boolean()),
});
/** Versions of the member records of one data centre at the sender, so that only differing records are sent. */
export const versionsFrameSchema = Type.Object({
  type: Type.Literal('versions'),
  dataCenter: Type.String({ maxLength: 64 }),
  /** Host, start time of its process (Unix time, ms), and rank of the record among those of the same process. */
  entries: Type.Array(Type.Tuple([Type.String({ maxLength: 255 }), Type.Number(), Type.Integer({ minimum: 0 })]), {
    maxItems: 4096,
  }),
});

/** All frames between two nodes, without the common fields. */
const messageSchema = Type.Union([
  callFrameSchema,
  answerFrameSchema,
  refusalFrameSchema,
  cancelFrameSchema,
  helloFrameSchema,
  heartbeatFrameSchema,
  membersFrameSchema,
  configurationFrameSchema,
  configurationDigestFrameSchema,
  crashReportFrameSchema,
  digestFrameSchema,
  pullFrameSchema,
  silenceFrameSchema,
  suspicionFrameSchema,
  versionsFrameSchema,
]);
/** Hybrid time of the sender: wall time (ms) and counter. A tuple, since object keys would enlarge every frame. */
const sentAtSchema = Type.Tuple([Type.Number(), Type.Integer({ minimum: 0 })]);
export const frameSchema = Type.Intersect([messageSchema, Type.Object({ sentAt: Type.Optional(sentAtSchema) })]);
export type Frame = Static<typeof frameSchema>;
export type CrashReportFrame = Static<typeof crashReportFrameSchema>;
export type CallFrame = Static<typeof callFrameSchema>;
export type AnswerFrame = Static<typeof answerFrameSchema>;
export type RefusalFrame = Static<typeof refusalFrameSchema>;
export type HelloFrame = Static<typeof helloFrameSchema>;
export type HeartbeatFrame = Static<typeof heartbeatFrameSchema>;
export type SilenceFrame = Static<typeof silenceFrameSchema>;
export type SuspicionFrame = Static<typeof suspicionFrameSchema>;
export type MembersFrame = Static<typeof membersFrameSchema>;
export type DigestFrame = Static<typeof digestFrameSchema>;
export type PullFrame = Static<typeof pullFrameSchema>;
export type VersionsFrame = Static<typeof versionsFrameSchema>;
/** Frames of the membership protocol. */
export type MembershipFrame =
  HelloFrame | HeartbeatFrame | SilenceFrame | SuspicionFrame | MembersFrame | DigestFrame | PullFrame | VersionsFrame;
export type ReplyFrame = AnswerFrame | RefusalFrame;
