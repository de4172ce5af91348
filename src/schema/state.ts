import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { callFailureSchema, ranSchema, retrySchema } from './failure.js';
import { loadHintSchema } from './frame.js';

/** Work of a target in a period of time. */
const limitObservationSchema = Type.Object({
  /** Number of finished calls; not an integer, since older calls decay. */
  count: Type.Number({ minimum: 0 }),
  /** Sum of the costs of the finished calls (ms), as estimated per operation and scaled to the declared costs. */
  declaredCostMs: Type.Number({ minimum: 0 }),
  /**
   * Time integral of the number of calls that are running and not waiting for downstream calls (ms x calls). Divided by
   * the finished work this gives the mean own time (Little's law), the time that a call spends in the target itself,
   * without its downstream calls. Unlike a mean over finished calls it grows at once when the target stalls.
   */
  activeMs: Type.Number({ minimum: 0 }),
  durationMs: Type.Number({ minimum: 0 }),
});
export type LimitObservation = Static<typeof limitObservationSchema>;

/** Trial of a lowered limit. */
const limitTrialSchema = Type.Object({
  /** The limit before the trial. */
  concurrency: Type.Number({ minimum: 1 }),
  observed: limitObservationSchema,
  /** True once the number of calls in flight is within the lowered limit. */
  isSettled: Type.Boolean(),
});

/** The adaptive concurrency limit of the local target. Times in ms. */
export const limitStateSchema = Type.Object({
  concurrency: Type.Number({ minimum: 1 }),
  /** The published concurrency hint. */
  hint: Type.Number({ minimum: 1 }),
  /** True at first, while the limit doubles with each adjustment: until it reaches the hint or is lowered. */
  isSlowStart: Type.Boolean(),
  /** Ratio of own time to declared cost, smoothed over recent calls; 0 before the first calls. */
  costFactor: Type.Number({ minimum: 0 }),
  /** The minimum of `costFactor`, reached when calls do not contend; trials measure it again. */
  leastCostFactor: Type.Number({ minimum: 0 }),
  /** Mean declared cost of recent calls (ms). */
  meanCostMs: Type.Number({ minimum: 0 }),
  sinceTrialMs: Type.Number({ minimum: 0 }),
  /** Sums over recent calls, from which `costFactor` is computed. */
  recent: limitObservationSchema,
  /** Smoothed own time of each operation (ms). */
  ownTimeMs: Type.Record(Type.String(), Type.Number({ minimum: 0 })),
  trial: Type.Optional(Type.Union([limitTrialSchema, Type.Undefined()])),
});
export type LimitState = Static<typeof limitStateSchema>;

/** Observed state of one remote target. Times in ms. */
export const routeStateSchema = Type.Object({
  inFlight: Type.Integer({ minimum: 0 }),
  latencyMs: Type.Number({ minimum: 0 }),
  /** Smoothed share of failed attempts, in [0, 1]. */
  failureRate: Type.Number({ minimum: 0, maximum: 1 }),
  /** Consecutive failures that indicate that the target or its node is not working. */
  consecutiveFailures: Type.Integer({ minimum: 0 }),
  /** Monotonic time until which the target is ejected and gets no calls; 0 if it is not ejected. */
  ejectedUntilMs: Type.Number(),
  /** Duration of the next ejection. */
  ejectionMs: Type.Number({ minimum: 0 }),
  load: Type.Optional(loadHintSchema),
});
export type RouteState = Static<typeof routeStateSchema>;

/** A finished run or attempt, recorded for the controllers. Times in ms. */
export const sampleSchema = Type.Object({
  /** `run`: a call that the local target ran; `attempt`: a call that this node sent to `host`. */
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
  /** Calls in flight at the target when this one started, including itself. */
  concurrency: Type.Integer(),
});
export type Sample = Static<typeof sampleSchema>;

/** Retry budget for calls from this node's service to one other service. */
export const budgetStateSchema = Type.Object({ tokens: Type.Number({ minimum: 0 }) });
export type BudgetState = Static<typeof budgetStateSchema>;

/** Admitted fraction of one priority's requests, and its demand. */
export const fractionStateSchema = Type.Object({
  fraction: Type.Number({ minimum: 0, maximum: 1 }),
  /** Minimum and maximum of the fraction over the time that a change takes to reach the entry nodes. */
  minRecentFraction: Type.Number({ minimum: 0, maximum: 1 }),
  maxRecentFraction: Type.Number({ minimum: 0, maximum: 1 }),
  /** Calls since the last adjustment whose shed key is below `minRecentFraction`. */
  arrivals: Type.Number({ minimum: 0 }),
  /** Smoothed number of calls that would arrive per adjustment period if none were shed. */
  demand: Type.Number({ minimum: 0 }),
  worth: Type.Number(),
});
export type FractionState = Static<typeof fractionStateSchema>;

/** Minimum admitted fraction for one priority, as reported by the targets of a called operation. */
export const downstreamFractionSchema = Type.Object({
  fraction: Type.Number({ minimum: 0, maximum: 1 }),
  receivedAtMs: Type.Number(),
});
export type DownstreamFraction = Static<typeof downstreamFractionSchema>;

/** State of a request fingerprint that was running when a target crashed. Times in ms. */
export const suspectStateSchema = Type.Object({
  /**
   * `reported` after a crash that raises no suspicion yet, `suspect` after the next to last crash before the quarantine,
   * `quarantined` after the last one, `trial` while a single request may run after a quarantine.
   */
  phase: Type.Union([
    Type.Literal('reported'),
    Type.Literal('suspect'),
    Type.Literal('quarantined'),
    Type.Literal('trial'),
  ]),
  /** Monotonic time at which the quarantine or the trial ends; before the quarantine the time of the crash. */
  untilMs: Type.Number(),
  /** Duration of the quarantine. */
  periodMs: Type.Number(),
});
export type SuspectState = Static<typeof suspectStateSchema>;

/** Outcome of a ticket's request, as stored by the home of the ticket. */
export const ticketOutcomeSchema = Type.Union([
  Type.Object({
    type: Type.Literal('ran'),
    status: Type.Integer(),
    contentType: Type.String(),
    body: Type.Uint8Array(),
  }),
  /** It ran and failed, or it is unknown whether it ran; it is not run again in either case. */
  Type.Object({ type: Type.Literal('failed'), failure: callFailureSchema }),
  /** It did not run, so a resend of the request may run it. */
  Type.Object({ type: Type.Literal('notRun') }),
  /** It ran or may have run, and its answer was evicted to limit memory. */
  Type.Object({ type: Type.Literal('forgotten') }),
]);
export type TicketOutcome = Static<typeof ticketOutcomeSchema>;

/** Stored outcome of one used ticket. */
export const ticketRecordSchema = Type.Object({
  fingerprint: Type.String(),
  finishedAtMs: Type.Number(),
  bytes: Type.Integer({ minimum: 0 }),
  outcome: ticketOutcomeSchema,
});
export type TicketRecord = Static<typeof ticketRecordSchema>;
