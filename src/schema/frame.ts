import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { callFailureSchema } from './failure.js';
import { acceptedDocumentSchema } from './logRecord.js';
import { memberRecordSchema } from './member.js';

export const MAX_REQUEST_BODY_BYTES = 256 * 1024;
export const MAX_ANSWER_BODY_BYTES = 1024 * 1024;
/** Deepest call graph that is served; the brief asks for 21. */
export const MAX_DEPTH = 32;

/** About 20 KB: larger sets of records are split, so that no frame holds up others for long. */
export const MAX_RECORDS_PER_FRAME = 64;

/** The connection that a frame takes: urgent frames never queue behind routine ones. */
export const laneSchema = Type.Union([Type.Literal('urgent'), Type.Literal('routine'), Type.Literal('control')]);
export type Lane = Static<typeof laneSchema>;

/** What travels with a request from node to node. */
export const callEnvelopeSchema = Type.Object({
  requestId: Type.String({ minLength: 1, maxLength: 64 }),
  service: Type.String({ maxLength: 64 }),
  operation: Type.String({ maxLength: 64 }),
  idempotent: Type.Boolean(),
  priority: Type.String({ maxLength: 64 }),
  worth: Type.Number(),
  urgent: Type.Boolean(),
  /** In [0, 1); the same at every depth of one request. */
  shedKey: Type.Number({ minimum: 0, exclusiveMaximum: 1 }),
  /** Names the caller for fair shares within a priority. */
  callerKey: Type.String({ maxLength: 255 }),
  depth: Type.Integer({ minimum: 0, maximum: MAX_DEPTH }),
  /** Extra attempts that this call and everything below it may still make. */
  allowance: Type.Integer({ minimum: 0, maximum: 100 }),
  deadlineMs: Type.Number({ minimum: 0 }),
  fingerprint: Type.String({ maxLength: 64 }),
  ticket: Type.Optional(Type.String({ maxLength: 512 })),
  contentType: Type.String({ maxLength: 255 }),
  body: Type.Uint8Array({ maxByteLength: MAX_REQUEST_BODY_BYTES }),
});
export type CallEnvelope = Static<typeof callEnvelopeSchema>;

/** The load of the answering target, as its node sees it. */
export const loadHintSchema = Type.Object({
  limit: Type.Number({ minimum: 0 }),
  inFlight: Type.Integer({ minimum: 0 }),
  queued: Type.Integer({ minimum: 0 }),
});
export type LoadHint = Static<typeof loadHintSchema>;

const callId = Type.String({ minLength: 1, maxLength: 64 });

/** What every reply to a call carries besides its result. */
const replyFields = {
  callId,
  /** Extra attempts that were lent with the call and not spent. */
  allowanceLeft: Type.Integer({ minimum: 0, maximum: 100 }),
  /** Least admitted fraction of the call's priority at the answering target and below it. */
  admittedFraction: Type.Number({ minimum: 0, maximum: 1 }),
  load: Type.Optional(loadHintSchema),
};

export const callFrameSchema = Type.Object({
  type: Type.Literal('call'),
  callId,
  /** `home`: the receiver is the home of the ticket and dispatches the call; `target`: it runs the call itself. */
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
  /** Answers a heartbeat of a node that is no neighbour, and is not answered itself. */
  isReply: Type.Optional(Type.Boolean()),
  /** Between gateways: by data centre, how long ago (in units of 100 ms) something was heard of it. */
  ages: Type.Optional(Type.Record(Type.String({ maxLength: 64 }), Type.Integer({ minimum: 0 }))),
});
/** Data centres of which a gateway hears nothing; spread within its own data centre. */
export const silenceFrameSchema = Type.Object({
  type: Type.Literal('silence'),
  newsId: Type.String({ maxLength: 300 }),
  host: Type.String({ maxLength: 255 }),
  dataCenters: Type.Array(Type.String({ maxLength: 64 }), { maxItems: 256 }),
});
/** What one watcher of a node tells the others. */
export const suspicionFrameSchema = Type.Object({
  type: Type.Literal('suspicion'),
  host: Type.String({ maxLength: 255 }),
  silentMs: Type.Number({ minimum: 0 }),
  isReply: Type.Boolean(),
});
export const membersFrameSchema = Type.Object({
  type: Type.Literal('members'),
  records: Type.Array(memberRecordSchema, { maxItems: MAX_RECORDS_PER_FRAME }),
  /** Sent to a node that joins: its neighbours hold the records already, so it does not send them on. */
  isWelcome: Type.Optional(Type.Boolean()),
});
export const configurationFrameSchema = Type.Object({
  type: Type.Literal('configuration'),
  appliedOffset: Type.Integer({ minimum: 0 }),
  documents: Type.Array(acceptedDocumentSchema),
});
export type ConfigurationFrame = Static<typeof configurationFrameSchema>;
/** Compares the versions in force at two nodes; `versions` are sent once the digests differ. */
export const configurationDigestFrameSchema = Type.Object({
  type: Type.Literal('configurationDigest'),
  digest: Type.String({ maxLength: 64 }),
  versions: Type.Optional(Type.Record(Type.String(), Type.Integer({ minimum: 1 }))),
  /** Log offset at which exactly the versions of the digest were in force; 0 when the sender cannot tell. */
  completeUpTo: Type.Integer({ minimum: 0 }),
  /** True when the receiver sends what it has newer and asks for nothing more. */
  isLast: Type.Boolean(),
});
export type ConfigurationDigestFrame = Static<typeof configurationDigestFrameSchema>;
export const crashReportFrameSchema = Type.Object({
  type: Type.Literal('crashReport'),
  reportId: Type.String({ maxLength: 64 }),
  host: Type.String({ maxLength: 255 }),
  fingerprints: Type.Array(Type.String({ maxLength: 64 }), { maxItems: 4096 }),
});
export const digestFrameSchema = Type.Object({
  type: Type.Literal('digest'),
  members: Type.Record(Type.String(), Type.String()),
  configuration: Type.String({ maxLength: 64 }),
});
export const pullFrameSchema = Type.Object({
  type: Type.Literal('pull'),
  dataCenters: Type.Array(Type.String({ maxLength: 64 }), { maxItems: 256 }),
  hosts: Type.Array(Type.String({ maxLength: 255 }), { maxItems: 4096 }),
  configuration: Type.Boolean(),
  /** The sender joins: what it gets is no news to its neighbours. */
  isJoining: Type.Optional(Type.Boolean()),
});
/** The records that a node holds of one data centre, so that only what differs is sent. */
export const versionsFrameSchema = Type.Object({
  type: Type.Literal('versions'),
  dataCenter: Type.String({ maxLength: 64 }),
  /** Host, start time of its process, and rank of the record within it. */
  entries: Type.Array(Type.Tuple([Type.String({ maxLength: 255 }), Type.Number(), Type.Integer({ minimum: 0 })]), {
    maxItems: 4096,
  }),
});

/** Every message between two nodes, without what all of them carry. */
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
/** Hybrid time of the sender as wall ms and counter: a pair, since an object would add its key names to every frame. */
const sentAtSchema = Type.Tuple([Type.Number(), Type.Integer({ minimum: 0 })]);
export const frameSchema = Type.Intersect([messageSchema, Type.Object({ sentAt: Type.Optional(sentAtSchema) })]);
export type Frame = Static<typeof frameSchema>;
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
/** The frames by which nodes keep their member records. */
export type MembershipFrame =
  HelloFrame | HeartbeatFrame | SilenceFrame | SuspicionFrame | MembersFrame | DigestFrame | PullFrame | VersionsFrame;
export type ReplyFrame = AnswerFrame | RefusalFrame;
