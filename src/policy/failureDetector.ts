/** Three missed heartbeats; shorter gaps are common on a busy host. */
export const SUSPECT_AFTER_MS = 3000;
/** Time after which a single watcher marks a node as down: twice as long, since its own link may have failed. */
export const DOWN_ALONE_AFTER_MS = 6000;
/** Validity of another watcher's report; reports are requested again at every tick. */
const REPORT_VALID_MS = 2000;
/** Longer than for nodes, since updates from another data centre take several hops. */
export const DATA_CENTER_UNREACHABLE_AFTER_MS = 6000;

/** Report of another watcher about the node. */
export interface WatcherReport {
  /** Time since the watcher last received a message from the node. */
  silentMs: number;
  atMs: number;
}

export interface FailureDetectionInput {
  nowMs: number;
  lastReceivedMs: number;
  /** Latest report by watcher. */
  reports: ReadonlyMap<string, WatcherReport>;
}

export type NodeHealth = 'alive' | 'suspect' | 'down';

/**
 * Computes the health of a watched node. The node is down when two watchers receive nothing from it for 3 s, or one
 * watcher for 6 s. A watcher that still receives messages from the node vetoes, so that one broken link does not remove
 * a working node.
 *
 * @example
 * const health = computeNodeHealth({ nowMs, lastReceivedMs, reports });
 */
export function computeNodeHealth({ nowMs, lastReceivedMs, reports }: FailureDetectionInput): NodeHealth {
  const silentMs = nowMs - lastReceivedMs;
  if (silentMs < SUSPECT_AFTER_MS) return 'alive';
  const fresh = [...reports.values()].filter(({ atMs }) => nowMs - atMs <= REPORT_VALID_MS);
  if (fresh.some((report) => report.silentMs < SUSPECT_AFTER_MS)) return 'suspect';
  return fresh.length > 0 || silentMs >= DOWN_ALONE_AFTER_MS ? 'down' : 'suspect';
}
