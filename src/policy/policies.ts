import { computeLoan } from './allowance.js';
import { adjustLimit } from './limit.js';
import { chooseWaiting, computeQueueTimeBound, isUnreachable } from './queueOrder.js';
import { resolveSuspect } from './quarantine.js';
import { isRetryGranted } from './retry.js';
import { chooseRoute } from './routing.js';
import { adjustFraction } from './shedding.js';

/** The decisions of a node that can be replaced, for baselines and for other rules. */
export interface Policies {
  computeLoan: typeof computeLoan;
  isRetryGranted: typeof isRetryGranted;
  chooseRoute: typeof chooseRoute;
  adjustLimit: typeof adjustLimit;
  adjustFraction: typeof adjustFraction;
  chooseWaiting: typeof chooseWaiting;
  computeQueueTimeBound: typeof computeQueueTimeBound;
  isUnreachable: typeof isUnreachable;
  resolveSuspect: typeof resolveSuspect;
}

export const defaultPolicies: Policies = {
  computeLoan,
  isRetryGranted,
  chooseRoute,
  adjustLimit,
  adjustFraction,
  chooseWaiting,
  computeQueueTimeBound,
  isUnreachable,
  resolveSuspect,
};
