import type { Policies } from '../../policy/policies.js';

/** Policies under which a scenario runs: those of this project, or a baseline that overrides them. */
export interface Variant {
  name: string;
  policies: Partial<Policies>;
}

const UNLIMITED_CONCURRENCY = 1_000_000;
const MAX_PLAIN_ATTEMPTS = 3;

/** Each hop makes up to three attempts, regardless of the attempts of other hops. */
const plainRetries: Partial<Policies> = {
  computeChildAllowance: () => 0,
  isRetryGranted: ({ attempts, isIdempotent, failure, hasOtherTarget, timeLeftMs }) =>
    attempts < MAX_PLAIN_ATTEMPTS && hasOtherTarget && timeLeftMs > 0 && (isIdempotent || failure.ran === 'no'),
};

/** No shedding, first in first out, random target in the local data centre. */
const plainPolicies: Partial<Policies> = {
  ...plainRetries,
  adjustFraction: () => 1,
  chooseNextPriority: (candidates) => {
    let oldest = candidates[0];
    for (const candidate of candidates)
      if (oldest === undefined || candidate.headArrivedAtMs < oldest.headArrivedAtMs) oldest = candidate;
    return oldest;
  },
  chooseTargetMember: ({ candidates, random }) => {
    const local = candidates.filter(({ isLocalDataCenter }) => isLocalDataCenter);
    const pool = local.length > 0 ? local : candidates;
    return pool[Math.floor(random() * pool.length)]?.member;
  },
  computeQueueTimeBound: () => Infinity,
  isDeadlineUnreachable: () => false,
};

/** No concurrency limit, no shedding, plain retries. */
export const noControl: Variant = {
  name: 'no control',
  policies: { ...plainPolicies, adjustLimit: (state) => ({ ...state, concurrency: UNLIMITED_CONCURRENCY }) },
};

/** A concurrency limit fixed at the published hint, no shedding, plain retries. */
export const fixedLimit: Variant = {
  name: 'fixed limit',
  policies: {
    ...plainPolicies,
    adjustLimit: (state) => ({ ...state, concurrency: state.hint }),
  },
};

/** The policies of this project. */
export const ownPolicies: Variant = { name: 'hemlockstack', policies: {} };

/** All variants, the one under test first. */
export const variants: readonly Variant[] = [ownPolicies, noControl, fixedLimit];
