import type { BudgetState } from '../schema/state.js';

export interface RetryBudgetOptions {
  /** Tokens that each first attempt adds: the long-run ratio of retries to first attempts. */
  ratio: number;
  /** Most tokens kept, so that a quiet hour does not pay for a storm. */
  capacity: number;
}

export const retryBudgetDefaults: RetryBudgetOptions = { ratio: 0.1, capacity: 10 };

/** Adds the share of a token that a first attempt earns. */
export function addAttempt(state: BudgetState, options: RetryBudgetOptions): void {
  state.tokens = Math.min(options.capacity, state.tokens + options.ratio);
}

/** Takes the token that a retry costs. */
export function takeRetryToken(state: BudgetState): void {
  state.tokens = Math.max(0, state.tokens - 1);
}
