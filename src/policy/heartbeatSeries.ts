import type { Heartbeat } from '../schema/nodeMember.js';
import { isSameStart } from './heartbeatOrder.js';

/** Number of heartbeats in order that show that their sender lives. */
const MIN_HEARTBEATS = 3;
/** Time that they must span, in heartbeat periods: late ones of a target that has ended may arrive together. */
const MIN_SPAN_PERIODS = 1.5;

/** Heartbeats of one start of a target that arrived in order and were not accepted. Times are monotonic (ms). */
export interface HeartbeatSeries {
  readonly id: string;
  readonly startedAtMs: number;
  readonly sequence: number;
  readonly count: number;
  readonly sinceMs: number;
}

/** Adds a heartbeat to a series; begins a new one if the heartbeat does not continue it. */
export function updateSeries(
  series: HeartbeatSeries | undefined,
  { id, heartbeat, nowMs }: { id: string; heartbeat: Pick<Heartbeat, 'startedAtMs' | 'sequence'>; nowMs: number },
): HeartbeatSeries {
  const { startedAtMs, sequence } = heartbeat;
  if (!isSameStart(series, id, startedAtMs) || series === undefined || sequence <= series.sequence)
    return { id, startedAtMs, sequence, count: 1, sinceMs: nowMs };
  return { ...series, sequence, count: series.count + 1 };
}

/**
 * True when the sender of a series is the target of the host, although the known one seems to have started later: it goes on
 * sending, and the known one has been silent all the while. Only one target can have the address of the host, so the later
 * start was named by another sender.
 *
 * @example
 * series = updateSeries(series, { id, heartbeat, nowMs });
 * if (isSenderAlive(series, { nowMs, heartbeatMs: 1500, lastAcceptedMs })) adopt(id, heartbeat);
 */
export function isSenderAlive(
  { count, sinceMs }: HeartbeatSeries,
  { nowMs, heartbeatMs, lastAcceptedMs }: { nowMs: number; heartbeatMs: number; lastAcceptedMs: number },
): boolean {
  return count >= MIN_HEARTBEATS && nowMs - sinceMs >= MIN_SPAN_PERIODS * heartbeatMs && lastAcceptedMs < sinceMs;
}
