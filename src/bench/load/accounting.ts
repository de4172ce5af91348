import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { TargetRequest } from '../../schema/call.js';

/** Counts of one priority in one bucket of time, by the time at which the request was first sent. */
export interface TimeBucket {
  offered: number;
  completed: number;
  latencySumMs: number;
}

export interface PriorityAccount {
  offered: number;
  /** Whole requests answered within their deadline, by any of their tries. */
  completed: number;
  tries: number;
  /** By failure kind: tries that failed. */
  failures: Map<string, number>;
  /** Latency of completed requests from the first try on (ms). */
  latency: Histogram;
  /** Completions by time of completion. */
  buckets: TimeBucket[];
}

/** The account of one run. */
export interface Accounting {
  readonly byPriority: ReadonlyMap<string, PriorityAccount>;
  readonly bucketMs: number;
  recordOffered(priority: string, atMs: number): void;
  recordTry(priority: string): void;
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
export function createAccounting(options: { bucketMs?: number } = {}): Accounting {
  const { bucketMs = 100 } = options;
  const byPriority = new Map<string, PriorityAccount>();
  const heldByRequest = new Map<string, number>();
  const completedRequests = new Set<string>();
  let attempts = 0;

  const getAccount = (priority: string): PriorityAccount => {
    let account = byPriority.get(priority);
    if (account === undefined) {
      const latency = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_MS });
      account = { offered: 0, completed: 0, tries: 0, failures: new Map(), latency, buckets: [] };
      byPriority.set(priority, account);
    }
    return account;
  };
  const getBucket = (account: PriorityAccount, atMs: number): TimeBucket => {
    const index = Math.floor(atMs / bucketMs);
    while (account.buckets.length <= index) account.buckets.push({ offered: 0, completed: 0, latencySumMs: 0 });
    return account.buckets[index] as TimeBucket;
  };
  return {
    byPriority,
    bucketMs,
    recordOffered: (priority, atMs) => {
      const account = getAccount(priority);
      account.offered++;
      getBucket(account, atMs).offered++;
    },
    recordTry: (priority) => {
      getAccount(priority).tries++;
    },
    recordFailure: (priority, kind) => {
      const { failures } = getAccount(priority);
      failures.set(kind, (failures.get(kind) ?? 0) + 1);
    },
    recordCompleted: (priority, atMs, latencyMs, requestId) => {
      const account = getAccount(priority);
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
