import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { TargetRequest } from '../../schema/call.js';

/** Counts of one priority in one bucket of time, by the time at which the request was first sent. */
export interface TimeBucket {
  offered: number;
  completed: number;
  latencySumMs: number;
}

export interface PriorityStatistics {
  offered: number;
  /** Whole requests answered within their deadline, by any of their tries. */
  completed: number;
  sends: number;
  /** By failure kind: tries that failed. */
  failures: Map<string, number>;
  /** Latency of completed requests from the first try on (ms). */
  latency: Histogram;
  /** Completions by time of completion. */
  buckets: TimeBucket[];
}

/** The account of one run. */
export interface LoadStatistics {
  readonly byPriority: ReadonlyMap<string, PriorityStatistics>;
  readonly bucketMs: number;
  recordOffered(priority: string, atMs: number): void;
  recordSend(priority: string): void;
  recordFailure(priority: string, kind: string): void;
  recordCompleted(priority: string, atMs: number, latencyMs: number, requestId: string | undefined): void;
  recordRelease(request: TargetRequest, heldMs: number): void;
  /** Calls that ran at targets. */
  readonly attempts: number;
  /** Share of the target time that went to requests which did not complete. */
  computeWastedShare(): number;
  /** Whole requests completed per second between two times, of one priority or all. */
  computeGoodput(fromMs: number, untilMs: number, priority?: string): number;
}

const MAX_LATENCY_MS = 60_000;

/** Creates the account of a run; times are those of the fake clock. */
export function createLoadStatistics(options: { bucketMs?: number } = {}): LoadStatistics {
  const { bucketMs = 100 } = options;
  const byPriority = new Map<string, PriorityStatistics>();
  const heldByRequest = new Map<string, number>();
  const completedRequests = new Set<string>();
  let attempts = 0;

  const getStatistics = (priority: string): PriorityStatistics => {
    let account = byPriority.get(priority);
    if (account === undefined) {
      const latency = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_MS });
      account = { offered: 0, completed: 0, sends: 0, failures: new Map(), latency, buckets: [] };
      byPriority.set(priority, account);
    }
    return account;
  };
  const getBucket = (account: PriorityStatistics, atMs: number): TimeBucket => {
    const index = Math.floor(atMs / bucketMs);
    while (account.buckets.length <= index) account.buckets.push({ offered: 0, completed: 0, latencySumMs: 0 });
    return account.buckets[index] as TimeBucket;
  };
  return {
    byPriority,
    bucketMs,
    recordOffered: (priority, atMs) => {
      const account = getStatistics(priority);
      account.offered++;
      getBucket(account, atMs).offered++;
    },
    recordSend: (priority) => {
      getStatistics(priority).sends++;
    },
    recordFailure: (priority, kind) => {
      const { failures } = getStatistics(priority);
      failures.set(kind, (failures.get(kind) ?? 0) + 1);
    },
    recordCompleted: (priority, atMs, latencyMs, requestId) => {
      const account = getStatistics(priority);
      account.completed++;
      account.latency.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(latencyMs))));
      const bucket = getBucket(account, atMs);
      bucket.completed++;
      bucket.latencySumMs += latencyMs;
      if (requestId !== undefined) completedRequests.add(requestId);
    },
    recordRelease: ({ requestId }, heldMs) => {
      attempts++;
      heldByRequest.set(requestId, (heldByRequest.get(requestId) ?? 0) + heldMs);
    },
    get attempts() {
      return attempts;
    },
    computeWastedShare: () => {
      let total = 0;
      let wasted = 0;
      for (const [requestId, heldMs] of heldByRequest) {
        total += heldMs;
        if (!completedRequests.has(requestId)) wasted += heldMs;
      }
      return total === 0 ? 0 : wasted / total;
    },
    computeGoodput: (fromMs, untilMs, priority) => {
      let completed = 0;
      for (const [name, account] of byPriority) {
        if (priority !== undefined && name !== priority) continue;
        for (let at = Math.floor(fromMs / bucketMs); at < Math.floor(untilMs / bucketMs); at++)
          completed += account.buckets[at]?.completed ?? 0;
      }
      return (completed * 1000) / (untilMs - fromMs);
    },
  };
}
