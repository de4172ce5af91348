import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { TargetRequest } from '../../schema/call.js';

/** Counts of one priority in one interval: offered requests by first send time, completed ones by completion time. */
export interface TimeBucket {
  offered: number;
  completed: number;
  latencySumMs: number;
}

export interface PriorityStatistics {
  offered: number;
  /** Requests of which one send completed within the deadline of that send. */
  completed: number;
  sends: number;
  /** Failed sends by failure kind. */
  failures: Map<string, number>;
  /** Latency of completed requests from their first send (ms). */
  latency: Histogram;
  buckets: TimeBucket[];
}

/** Statistics of one run, by priority; all times are those of the fake clock. */
export interface LoadStatistics {
  readonly byPriority: ReadonlyMap<string, PriorityStatistics>;
  readonly bucketMs: number;
  recordOffered(priority: string, atMs: number): void;
  recordSend(priority: string): void;
  recordFailure(priority: string, kind: string): void;
  recordCompleted(priority: string, atMs: number, latencyMs: number, requestId: string | undefined): void;
  recordSlotRelease(request: TargetRequest, occupiedMs: number): void;
  /** Number of attempts that ran at a target and released their slot. */
  readonly attempts: number;
  /** Computes the share of the target time that was spent on requests that did not complete. */
  computeWastedShare(): number;
  /** Computes the requests completed per second between two times, of one priority or of all. */
  computeGoodput(fromMs: number, untilMs: number, priority?: string): number;
}

const MAX_LATENCY_MS = 60_000;

/** Creates empty statistics. */
export function createLoadStatistics(options: { bucketMs?: number } = {}): LoadStatistics {
  const { bucketMs = 100 } = options;
  const byPriority = new Map<string, PriorityStatistics>();
  const occupiedByRequest = new Map<string, number>();
  const completedRequests = new Set<string>();
  let attempts = 0;

  const getStatistics = (priority: string): PriorityStatistics => {
    let statistics = byPriority.get(priority);
    if (statistics === undefined) {
      const latency = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_MS });
      statistics = { offered: 0, completed: 0, sends: 0, failures: new Map(), latency, buckets: [] };
      byPriority.set(priority, statistics);
    }
    return statistics;
  };
  const getBucket = (statistics: PriorityStatistics, atMs: number): TimeBucket => {
    const index = Math.floor(atMs / bucketMs);
    while (statistics.buckets.length <= index) statistics.buckets.push({ offered: 0, completed: 0, latencySumMs: 0 });
    return statistics.buckets[index] as TimeBucket;
  };
  return {
    byPriority,
    bucketMs,
    recordOffered: (priority, atMs) => {
      const statistics = getStatistics(priority);
      statistics.offered++;
      getBucket(statistics, atMs).offered++;
    },
    recordSend: (priority) => {
      getStatistics(priority).sends++;
    },
    recordFailure: (priority, kind) => {
      const { failures } = getStatistics(priority);
      failures.set(kind, (failures.get(kind) ?? 0) + 1);
    },
    recordCompleted: (priority, atMs, latencyMs, requestId) => {
      const statistics = getStatistics(priority);
      statistics.completed++;
      statistics.latency.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(latencyMs))));
      const bucket = getBucket(statistics, atMs);
      bucket.completed++;
      bucket.latencySumMs += latencyMs;
      if (requestId !== undefined) completedRequests.add(requestId);
    },
    recordSlotRelease: ({ requestId }, occupiedMs) => {
      attempts++;
      occupiedByRequest.set(requestId, (occupiedByRequest.get(requestId) ?? 0) + occupiedMs);
    },
    get attempts() {
      return attempts;
    },
    computeWastedShare: () => {
      let total = 0;
      let wasted = 0;
      for (const [requestId, occupiedMs] of occupiedByRequest) {
        total += occupiedMs;
        if (!completedRequests.has(requestId)) wasted += occupiedMs;
      }
      return total === 0 ? 0 : wasted / total;
    },
    computeGoodput: (fromMs, untilMs, priority) => {
      let completed = 0;
      for (const [name, statistics] of byPriority) {
        if (priority !== undefined && name !== priority) continue;
        for (let index = Math.floor(fromMs / bucketMs); index < Math.floor(untilMs / bucketMs); index++)
          completed += statistics.buckets[index]?.completed ?? 0;
      }
      return (completed * 1000) / (untilMs - fromMs);
    },
  };
}
