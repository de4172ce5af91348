/** The member counts that a host has seen lately. Times are monotonic (ms). */
export interface MemberCounts {
  current: number;
  /** When the list last grew by more than a few hosts, and to how many. */
  grownAtMs: number;
  grownTo: number;
  /** Earlier, larger counts, and until when they apply. */
  earlier: { count: number; untilMs: number }[];
  hasShare: boolean;
}

/** Time for which a larger count goes on to apply, since other hosts may not have heard of the change (ms). */
const COUNT_HOLD_MS = 5000;
/** Time after its member list was complete at which a process has a share, if the loan of an earlier one may still count (ms). */
const JOIN_WAIT_MS = 1100;
/** Time after its member list last grew at which a process has a share (ms), and the growth that counts: fleets start host by host. */
const GROWTH_WAIT_MS = 500;
const MIN_GROWTH = 1.1;

/** Creates the counts of a process that knows no members. */
export function createMemberCounts(): MemberCounts {
  return { current: 0, grownAtMs: -Infinity, grownTo: 0, earlier: [], hasShare: false };
}

/**
 * Records the number of hosts in the member list, this one included.
 *
 * @example
 * observeMemberCount(counts, byHost.size + 1, clock.now());
 */
export function observeMemberCount(counts: MemberCounts, count: number, nowMs: number): void {
  counts.earlier = counts.earlier.filter(({ untilMs }) => untilMs > nowMs);
  if (count > MIN_GROWTH * counts.grownTo) {
    counts.grownAtMs = nowMs;
    counts.grownTo = count;
  }
  if (count < counts.current) counts.earlier.push({ count: counts.current, untilMs: nowMs + COUNT_HOLD_MS });
  counts.current = count;
}

/**
 * Computes the share of all quotas that a host owns; undefined while a new process may not know all hosts, or they may not
 * know it. Hosts whose lists differ for a short time own too little rather than too much.
 *
 * @param completeAtMs When the member list was complete; undefined if it is not.
 * @example
 * observeMemberCount(counts, byHost.size + 1, nowMs);
 * const share = computeQuotaShare(counts, { completeAtMs, hasPredecessor: false, nowMs });
 */
export function computeQuotaShare(
  counts: MemberCounts,
  { completeAtMs, hasPredecessor, nowMs }: { completeAtMs: number | undefined; hasPredecessor: boolean; nowMs: number },
): number | undefined {
  if (completeAtMs === undefined) return undefined;
  const isLoanOver = !hasPredecessor || nowMs - completeAtMs >= JOIN_WAIT_MS;
  counts.hasShare ||= isLoanOver && nowMs - counts.grownAtMs >= GROWTH_WAIT_MS;
  if (!counts.hasShare) return undefined;
  const held = counts.earlier.filter(({ untilMs }) => untilMs > nowMs).map(({ count }) => count);
  return 1 / Math.max(1, counts.current, ...held);
}
