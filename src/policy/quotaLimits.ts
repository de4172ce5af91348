import type { ReadView } from '../core/blackboard.js';
import type { RequestBounds } from '../schema/requestSettings.js';
import type { Organisation } from '../schema/routeConfiguration.js';

/** Bucket of one organisation as it is applied over the whole fleet. */
export interface QuotaLimit {
  perSecond: number;
  depth: number;
}

/** How much of the allowed excess is used, and how long granted tokens are valid. */
export interface QuotaRules {
  rateFactor: number;
  extraDepth: number;
  /** Time from the ask for a token until it expires (ms). */
  validityMs: number;
}

type QuotaBounds = Pick<RequestBounds, 'quotaWindowSeconds' | 'quotaExcess' | 'quotaSlack'>;

/** Defaults of the bounds: the window (s), the allowed excess as a share of the rate, and the slack (requests). */
const DEFAULT_WINDOW_SECONDS = 5;
const DEFAULT_EXCESS = 0.1;
const DEFAULT_SLACK = 20;
/** Share of the allowed excess with which the buckets are filled, so that expired tokens are not missing. */
const USED_EXCESS_SHARE = 0.5;
/** Rate (requests per second) and depth up to which buckets count; what follows from larger ones may not be finite. */
const MAX_PER_SECOND = 1e9;
const MAX_DEPTH = 1e9;
/** Upper bound of the validity of a token (ms). */
const MAX_VALIDITY_MS = 500;
/** Grants take some milliseconds, so tokens are valid for this long although no excess is allowed (ms). */
const MIN_VALIDITY_MS = 50;

/**
 * Computes the rules from the bounds. The requests of an organisation in any window are bounded by rate x window x (1 + excess) +
 * burst + slack: half of the excess is in the rate of the buckets, and the validity is chosen so that tokens that were
 * granted before the window and are used in it take the other half.
 *
 * @example
 * const { validityMs } = computeQuotaRules(settings.bounds); // 238 for 5 s and an excess of 0.1
 */
export function computeQuotaRules(bounds: QuotaBounds): QuotaRules {
  const windowMs = (bounds.quotaWindowSeconds ?? DEFAULT_WINDOW_SECONDS) * 1000;
  const excess = bounds.quotaExcess ?? DEFAULT_EXCESS;
  const rateFactor = 1 + USED_EXCESS_SHARE * excess;
  const validityMs = Math.floor((windowMs * (1 + excess)) / rateFactor - windowMs);
  return {
    rateFactor,
    extraDepth: USED_EXCESS_SHARE * (bounds.quotaSlack ?? DEFAULT_SLACK),
    validityMs: Math.min(MAX_VALIDITY_MS, Math.max(MIN_VALIDITY_MS, validityMs)),
  };
}

/** True when an organisation has a limit. */
export function isQuotaLimited(organisation: ReadView<Organisation> | undefined): boolean {
  return organisation?.ratePerSecond !== undefined && organisation.ratePerSecond > 0;
}

/**
 * Lists the limits by name of the organisation; organisations without a limit have no entry.
 *
 * @example
 * const limits = listQuotaLimits(organisations, computeQuotaRules(settings.bounds));
 * applyQuotaLimits(pool, limits, nowMs);
 */
export function listQuotaLimits(
  organisations: readonly ReadView<Organisation>[],
  { rateFactor, extraDepth }: QuotaRules,
): Map<string, QuotaLimit> {
  const limits = new Map<string, QuotaLimit>();
  for (const organisation of organisations) {
    if (!isQuotaLimited(organisation)) continue;
    const { name, ratePerSecond = 0, burst = 0 } = organisation;
    limits.set(name, {
      perSecond: Math.min(MAX_PER_SECOND, ratePerSecond * rateFactor),
      depth: Math.min(MAX_DEPTH, burst + extraDepth),
    });
  }
  return limits;
}
