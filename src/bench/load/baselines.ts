import type { Policies } from '../../policy/policies.js';

/** A way to run a scenario: the decisions of this repository, or a baseline that replaces them. */
export interface Variant {
  name: string;
  policies: Partial<Policies>;
}

const UNLIMITED = 1_000_000;
const PLAIN_TRIES = 3;

/** Plain retries: each hop tries up to three times whatever the others do. */
const plainRetries: Partial<Policies> = {
  computeChildAllowance: () => 0,
  isRetryGranted: ({ attempts, isIdempotent, failure, hasOtherTarget, timeLeftMs }) =>
    attempts < PLAIN_TRIES && hasOtherTarget && timeLeftMs > 0 && (isIdempotent || failure.ran === 'no'),
};

/** Without shedding, in order of arrival, to any target of the own data centre. */
const plainDecisions: Partial<Policies> = {
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
  policies: { ...plainDecisions, adjustLimit: (state) => ({ ...state, concurrency: UNLIMITED }) },
};

/** A fixed limit of the published hint, with plain retries. */
export const fixedLimit: Variant = {
  name: 'fixed limit',
  policies: {
    ...plainDecisions,
    adjustLimit: (state) => ({ ...state, concurrency: state.hint }),
  },
};

export const ownDecisions: Variant = { name: 'hemlockstack', policies: {} };

export const variants: readonly Variant[] = [ownDecisions, noControl, fixedLimit];
