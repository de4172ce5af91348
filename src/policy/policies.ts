import { computeChildAllowance } from './childAllowance.js';
import { adjustLimit } from './limit.js';
import { chooseNextPriority, computeQueueTimeBound, isDeadlineUnreachable } from './queueOrder.js';
import { resolveSuspect } from './quarantine.js';
import { isRetryGranted } from './retry.js';
import { chooseTargetMember } from './routing.js';
import { adjustFraction } from './shedding.js';

/** The decision functions of a node, passed as arguments so that baselines and other policies can replace them. */
export interface Policies {
  computeChildAllowance: typeof computeChildAllowance;
  isRetryGranted: typeof isRetryGranted;
  chooseTargetMember: typeof chooseTargetMember;
  adjustLimit: typeof adjustLimit;
  adjustFraction: typeof adjustFraction;
  chooseNextPriority: typeof chooseNextPriority;
  computeQueueTimeBound: typeof computeQueueTimeBound;
  isDeadlineUnreachable: typeof isDeadlineUnreachable;
  resolveSuspect: typeof resolveSuspect;
}

export const defaultPolicies: Policies = {
  computeChildAllowance,
  isRetryGranted,
  chooseTargetMember,
  adjustLimit,
  adjustFraction,
  chooseNextPriority,
  computeQueueTimeBound,
  isDeadlineUnreachable,
  resolveSuspect,
};
