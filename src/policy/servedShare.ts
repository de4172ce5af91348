import type { NodeView } from './fleetDemand.js';

/** How many of the requests to one service get a result, estimated on the side of more. */
export interface ServiceChance {
  /** Share that the targets run, retries included. */
  served: number;
  /** Share of the runs that end without an error response. */
  succeeded: number;
}

/** Standard errors by which losses must exceed zero, so that a few failures by chance limit nothing. */
const MIN_LOSS_ERRORS = 2;
/** Variance of a smoothed share relative to that of a single result, for the weight of a result in `failureShare.ts`. */
const SHARE_VARIANCE = 0.036;

interface LossSum {
  weight: number;
  unserved: number;
  failed: number;
  targets: number;
}

/**
 * Computes the chances of requests at each service from the load reports of its targets. It answers a load in which
 * targets reject a share of what reaches them although their slots are not in use, or in which calls leave the queue
 * without their turn. Targets that lose more weigh less, since fewer requests are sent there.
 *
 * @param retryShare Retries that the budget allows per request to a service.
 * @example
 * const chances = computeServiceChances(views, computeRetryShare(bounds.retryRatio));
 * chances.get('stock'); // { served: 0.8, succeeded: 0.79 }
 */
export function computeServiceChances(
  views: readonly NodeView[],
  retryShare: number,
): ReadonlyMap<string, ServiceChance> {
  const sums = new Map<string, LossSum>();
  for (const { load, weight } of views) {
    if (load.phase !== 'ready') continue;
    let sum = sums.get(load.service);
    if (sum === undefined) sums.set(load.service, (sum = { weight: 0, unserved: 0, failed: 0, targets: 0 }));
    const { unservedShare = 0, failureShare, limit } = load;
    const lostShare = Math.max(unservedShare, failureShare);
    const targetWeight = weight * limit * Math.max(MIN_TARGET_WEIGHT, 1 - lostShare);
    sum.weight += targetWeight;
    sum.unserved += targetWeight * unservedShare;
    sum.failed += targetWeight * Math.max(0, failureShare - unservedShare);
    sum.targets++;
  }
  return new Map(
    [...sums].map(([service, { weight, unserved, failed, targets }]) => {
      const unservedShare = limitToCertain(unserved / weight, targets);
      const retried = Math.min(unservedShare, retryShare);
      const served = (1 - unservedShare) * (1 + retried);
      return [service, { served, succeeded: 1 - limitToCertain(failed / weight, targets) }];
    }),
  );
}

/** Minimum weight of a target that loses all requests, so that a service of such targets has a mean. */
const MIN_TARGET_WEIGHT = 0.02;

/** Lowers a share of losses by the error of its estimate; 0 if chance explains it. */
function limitToCertain(share: number, targets: number): number {
  const error = Math.sqrt((share * (1 - share) * SHARE_VARIANCE) / targets);
  return Math.max(0, share - MIN_LOSS_ERRORS * error);
}
