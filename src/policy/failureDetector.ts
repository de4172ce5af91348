/** Three missed heartbeats: a shorter silence is common when a host is busy. */
export const SUSPECT_AFTER_MS = 3000;
/** One watcher alone waits for twice the time, since its own link may be what failed. */
export const DOWN_ALONE_AFTER_MS = 6000;
/** What another watcher said counts for this long; it is asked again at every tick. */
const REPORT_VALID_MS = 2000;
/** Data centres are held silent later than nodes, since their news takes several hops. */
export const DATA_CENTER_UNREACHABLE_AFTER_MS = 6000;

/** How long another watcher has heard nothing from the node. */
export interface WatcherReport {
  silentMs: number;
  atMs: number;
}

export interface SilenceQuestion {
  nowMs: number;
  lastReceivedMs: number;
  /** By watcher. */
  reports: ReadonlyMap<string, WatcherReport>;
}

export type SilenceVerdict = 'alive' | 'suspect' | 'down';

/**
 * Decides about a watched node: down when two watchers hear nothing for 3 s, or one for 6 s while no other hears it. A
 * watcher that hears the node vetoes, so that one broken link does not take a working node out.
 *
 * @example
 * const verdict = computeVerdict({ nowMs, lastHeardMs, reports });
 */
export function computeNodeHealth({ nowMs, lastReceivedMs: lastHeardMs, reports }: SilenceQuestion): SilenceVerdict {
  const silentMs = nowMs - lastHeardMs;
  if (silentMs < SUSPECT_AFTER_MS) return 'alive';
  const fresh = [...reports.values()].filter(({ atMs }) => nowMs - atMs <= REPORT_VALID_MS);
  if (fresh.some((report) => report.silentMs < SUSPECT_AFTER_MS)) return 'suspect';
  return fresh.length > 0 || silentMs >= DOWN_ALONE_AFTER_MS ? 'down' : 'suspect';
}
