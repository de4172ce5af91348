/** Time within which the same request of the same caller is a resend (ms). */
export const RESEND_WINDOW_MS = 10_000;
/** Bounds the memory; the oldest requests are forgotten first. */
const MAX_RECENT_REQUESTS = 65_536;

/**
 * Records a request and tells whether the same caller sent the same one shortly before. A caller that resends has its
 * own retries, so that ours would multiply them.
 *
 * @param recent Time of the last sending by request, oldest first.
 */
export function recordRequest(recent: Map<string, number>, request: string, nowMs: number): boolean {
  const lastSentAtMs = recent.get(request);
  recent.delete(request);
  recent.set(request, nowMs);
  for (const [oldest, sentAtMs] of recent) {
    if (sentAtMs > nowMs - RESEND_WINDOW_MS && recent.size <= MAX_RECENT_REQUESTS) break;
    recent.delete(oldest);
  }
  return lastSentAtMs !== undefined && nowMs - lastSentAtMs <= RESEND_WINDOW_MS;
}
