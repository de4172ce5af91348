import { computeEffectivePriority } from '../../policy/excessRequests.js';
import type { RunUnderWay } from '../../policy/parentRun.js';
import type { SuspectVerdict } from '../../policy/quarantine.js';
import type { QueuedRun } from '../../policy/runQueue.js';
import type { RunRequest } from '../../schema/linkFrame.js';
import type { RunEvents, RunHandle } from './runPort.js';

/** Share of the mean duration of its route below which the time left of a request is too short to start it. */
const MIN_DURATION_SHARE = 0.5;

/**
 * How a request is handled on its arrival by what is known of crashes: of several suspects one runs and the others `wait` at
 * another node, as a crash could be due to each of them.
 */
export type ArrivalVerdict = SuspectVerdict | 'wait';

/** One request at the node of its target. Times are monotonic (ms). */
export interface Run extends QueuedRun, RunUnderWay {
  readonly request: RunRequest;
  readonly arrivedAtMs: number;
  /** Receives the outcome. */
  readonly events: RunEvents;
  phase: 'queued' | 'running' | 'ended';
  /** How the request was handled by what was known of crashes on its arrival. */
  readonly verdict: ArrivalVerdict;
  /** 0 until the request is sent to the target. */
  startedAtMs: number;
  /** True once the target answered with an error. */
  hasFailed: boolean;
  /** True once the whole body of the request arrived at this node. */
  isBodyComplete: boolean;
  /** Controls the request at the target while it runs. */
  target: RunHandle | undefined;
  cancelDeadline: () => void;
}

/** Creates a request that waits for its turn. */
export function createRun(options: {
  request: RunRequest;
  events: RunEvents;
  verdict: ArrivalVerdict;
  nowMs: number;
  /** Expected duration (ms). */
  costMs: number;
}): Run {
  const { request, events, verdict, nowMs, costMs } = options;
  return {
    request,
    route: request.route,
    priority: computeEffectivePriority(request.priority, request.isExcess === true),
    isStarted: request.isStarted === true,
    flow: request.organisation ?? '',
    costMs,
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + request.timeLeftMs,
    worthUntilMs: nowMs + request.worthLeftMs,
    events,
    verdict,
    phase: 'queued',
    startedAtMs: 0,
    isDropped: false,
    hasFailed: false,
    isBodyComplete: !request.isStreamed,
    target: undefined,
    cancelDeadline: () => undefined,
  };
}

/** Returns until when a request may wait (ms): when it starts later, its run would most probably not end in time. */
export function computeQueueDeadline({ arrivedAtMs, deadlineAtMs, costMs }: Run): number {
  return Math.max(arrivedAtMs, deadlineAtMs - MIN_DURATION_SHARE * costMs);
}
