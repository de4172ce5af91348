/** Time within which the same request of the same caller is a resend (ms). */
export const RESEND_WINDOW_MS = 10_000;
/** Bounds the memory; the oldest requests are forgotten first. */
const MAX_REMEMBERED = 65_536;

/**
 * Records a request and tells whether the same caller sent the same one shortly before. A caller that resends has its
 * own retries, so that ours would multiply them.
 *
 * @param recent Time of the last sending by request, oldest first.
 */
export function recordRequest(recent: Map<string, number>, request: string, nowMs: number): boolean {
  const lastMs = recent.get(request);
  recent.delete(request);
  recent.set(request, nowMs);
  for (const [oldest, sentMs] of recent) {
    if (sentMs > nowMs - RESEND_WINDOW_MS && recent.size <= MAX_REMEMBERED) break;
    recent.delete(oldest);
  }
  return lastMs !== undefined && nowMs - lastMs <= RESEND_WINDOW_MS;
}
