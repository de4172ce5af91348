import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { callFailureSchema, ranSchema, retrySchema } from './failure.js';
import { loadHintSchema } from './frame.js';

/** What a target did in some time. */
const limitObservationSchema = Type.Object({
  /** Calls that it finished; a fraction where older ones are partly forgotten. */
  count: Type.Number({ minimum: 0 }),
  /** Sum of the costs of the finished calls (ms): learned per operation, in the scale of the published costs. */
  declaredCostMs: Type.Number({ minimum: 0 }),
  /**
   * Time integral of the calls that the target worked on (ms x calls): running, and not waiting for onward calls. Over
   * the finished work this is the mean own time by Little's law; unlike a mean over finished calls it grows at once
   * when the target stalls.
   */
  activeMs: Type.Number({ minimum: 0 }),
  durationMs: Type.Number({ minimum: 0 }),
});
export type LimitObservation = Static<typeof limitObservationSchema>;

/** A lowered limit under observation. */
const limitTrialSchema = Type.Object({
  /** The limit before. */
  concurrency: Type.Number({ minimum: 1 }),
  observed: limitObservationSchema,
  /** True once the calls in flight are within the lowered limit. */
  isSettled: Type.Boolean(),
});

/** The adaptive concurrency limit of the local target. Times in ms. */
export const limitStateSchema = Type.Object({
  concurrency: Type.Number({ minimum: 1 }),
  /** The published concurrency hint. */
  hint: Type.Number({ minimum: 1 }),
  /** True until the limit first met resistance: the limit doubles per adjustment. */
  isSlowStart: Type.Boolean(),
  /** Own time per declared cost, smoothed over recent calls; 0 before the first ones. */
  costFactor: Type.Number({ minimum: 0 }),
  /** The same when calls do not contend; learned again by trials. */
  leastCostFactor: Type.Number({ minimum: 0 }),
  /** Mean declared cost of recent calls (ms). */
  meanCostMs: Type.Number({ minimum: 0 }),
  sinceTrialMs: Type.Number({ minimum: 0 }),
  /** Sums over recent calls, from which `costFactor` follows. */
  recent: limitObservationSchema,
  /** Smoothed own time of each operation (ms). */
  ownTimeMs: Type.Record(Type.String(), Type.Number({ minimum: 0 })),
  trial: Type.Optional(Type.Union([limitTrialSchema, Type.Undefined()])),
});
export type LimitState = Static<typeof limitStateSchema>;

/** What this node has observed of one remote target. Times in ms. */
export const routeStateSchema = Type.Object({
  inFlight: Type.Integer({ minimum: 0 }),
  latencyMs: Type.Number({ minimum: 0 }),
  /** Smoothed share of failed attempts, in [0, 1]. */
  failureRate: Type.Number({ minimum: 0, maximum: 1 }),
  /** Consecutive failures that mean the target or its node is not working. */
  consecutiveFailures: Type.Integer({ minimum: 0 }),
  /** Monotonic time until which the target gets no calls; 0 when it is not ejected. */
  ejectedUntilMs: Type.Number(),
  ejectionMs: Type.Number({ minimum: 0 }),
  load: Type.Optional(loadHintSchema),
});
export type RouteState = Static<typeof routeStateSchema>;

/** One finished attempt, as the call path records it for the controllers. Times in ms. */
export const sampleSchema = Type.Object({
  /** `run`: the local target ran it; `attempt`: this node sent it to `host`. */
  role: Type.Union([Type.Literal('run'), Type.Literal('attempt')]),
  atMs: Type.Number(),
  host: Type.String(),
  service: Type.String(),
  operation: Type.String(),
  priority: Type.String(),
  fingerprint: Type.String(),
  result: Type.Union([Type.Literal('answered'), Type.Literal('failed')]),
  ran: ranSchema,
  retry: retrySchema,
  failureKind: Type.String(),
  totalTimeMs: Type.Number(),
  ownTimeMs: Type.Number(),
  /** Calls in flight at the target when this one started, itself included. */
  concurrency: Type.Integer(),
});
export type Sample = Static<typeof sampleSchema>;

/** Retry tokens of one edge: this node's service to a called service. */
export const budgetStateSchema = Type.Object({ tokens: Type.Number({ minimum: 0 }) });
export type BudgetState = Static<typeof budgetStateSchema>;

/** The share of one priority's requests that is admitted, and its demand. */
export const fractionStateSchema = Type.Object({
  fraction: Type.Number({ minimum: 0, maximum: 1 }),
  /** Least and greatest fraction in force within the time that a change takes to reach the entry nodes. */
  minRecentFraction: Type.Number({ minimum: 0, maximum: 1 }),
  maxRecentFraction: Type.Number({ minimum: 0, maximum: 1 }),
  /** Calls since the last adjustment whose shed key is below `minRecentFraction`. */
  arrivals: Type.Number({ minimum: 0 }),
  /** Calls per adjustment that would arrive if nothing were shed, smoothed. */
  demand: Type.Number({ minimum: 0 }),
  worth: Type.Number(),
});
export type FractionState = Static<typeof fractionStateSchema>;

/** The least admitted fraction that a called operation reported for one priority. */
export const downstreamFractionSchema = Type.Object({
  fraction: Type.Number({ minimum: 0, maximum: 1 }),
  receivedAtMs: Type.Number(),
});
export type DownstreamFraction = Static<typeof downstreamFractionSchema>;

/** A fingerprint that was running when targets crashed. Times are monotonic (ms). */
export const suspectStateSchema = Type.Object({
  /** `suspect` after one crash, `quarantined` after two, `trial` while one request may run after a quarantine. */
  phase: Type.Union([Type.Literal('suspect'), Type.Literal('quarantined'), Type.Literal('trial')]),
  /** End of the quarantine or of the time kept for a trial. */
  untilMs: Type.Number(),
  /** Duration of the quarantine. */
  periodMs: Type.Number(),
});
export type SuspectState = Static<typeof suspectStateSchema>;

/** How the one run of a ticket ended, as its home remembers it. */
export const ticketOutcomeSchema = Type.Union([
  Type.Object({
    type: Type.Literal('ran'),
    status: Type.Integer(),
    contentType: Type.String(),
    body: Type.Uint8Array(),
  }),
  /** It ran and failed, or whether it ran is unknown; both are final. */
  Type.Object({ type: Type.Literal('failed'), failure: callFailureSchema }),
  /** It certainly did not run, so a resend may run it. */
  Type.Object({ type: Type.Literal('notRun') }),
  /** It ran or may have run, and the answer had to make room. */
  Type.Object({ type: Type.Literal('forgotten') }),
]);
export type TicketOutcome = Static<typeof ticketOutcomeSchema>;

/** The memory of one used ticket. */
export const ticketRecordSchema = Type.Object({
  fingerprint: Type.String(),
  finishedAtMs: Type.Number(),
  bytes: Type.Integer({ minimum: 0 }),
  outcome: ticketOutcomeSchema,
});
export type TicketRecord = Static<typeof ticketRecordSchema>;
