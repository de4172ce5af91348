import type { Policies } from '../../policy/policies.js';

/** A way to run a scenario: the decisions of this repository, or a baseline that replaces them. */
export interface Variant {
  name: string;
  policies: Partial<Policies>;
}

const UNLIMITED_CONCURRENCY = 1_000_000;
const MAX_PLAIN_ATTEMPTS = 3;

/** Plain retries: each hop tries up to three times whatever the others do. */
const plainRetries: Partial<Policies> = {
  computeChildAllowance: () => 0,
  isRetryGranted: ({ attempts, isIdempotent, failure, hasOtherTarget, timeLeftMs }) =>
    attempts < MAX_PLAIN_ATTEMPTS && hasOtherTarget && timeLeftMs > 0 && (isIdempotent || failure.ran === 'no'),
};

/** Without shedding, in order of arrival, to any target of the own data centre. */
const plainPolicies: Partial<Policies> = {
  ...plainRetries,
  adjustFraction: () => 1,
  chooseNextPriority: (classes) => {
    let first = classes[0];
    for (const entry of classes)
      if (first === undefined || entry.headArrivedAtMs < first.headArrivedAtMs) first = entry;
    return first;
  },
  chooseTargetMember: ({ candidates, random }) => {
    const local = candidates.filter(({ isLocalDataCenter }) => isLocalDataCenter);
    const pool = local.length > 0 ? local : candidates;
    return pool[Math.floor(random() * pool.length)]?.member;
  },
  computeQueueTimeBound: () => Infinity,
  isDeadlineUnreachable: () => false,
};

export const noControl: Variant = {
  name: 'no control',
  policies: { ...plainPolicies, adjustLimit: (state) => ({ ...state, concurrency: UNLIMITED_CONCURRENCY }) },
};

/** A fixed limit of the published hint, with plain retries. */
export const fixedLimit: Variant = {
  name: 'fixed limit',
  policies: {
    ...plainPolicies,
    adjustLimit: (state) => ({ ...state, concurrency: state.hint }),
  },
};

export const ownPolicies: Variant = { name: 'hemlockstack', policies: {} };

export const variants: readonly Variant[] = [ownPolicies, noControl, fixedLimit];
