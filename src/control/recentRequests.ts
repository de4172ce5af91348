/** Time within which an identical request from the same caller counts as a resend (ms). */
export const RESEND_WINDOW_MS = 10_000;
/** Bounds the memory; the oldest requests are evicted first. */
const MAX_RECENT_REQUESTS = 65_536;

/**
 * Records a request and returns true if it is a resend: the same caller sent the same request within the resend window.
 * Resends get no retries here, which would multiply with those of the caller.
 *
 * @param recent Time of the last send by request, oldest first (ms).
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
