import type { BudgetState } from '../schema/state.js';

/** The bound on the retries to one service. */
export interface RetryBudgetOptions {
  /** Tokens added by each first attempt: the long-term ratio of retries to first attempts. */
  ratio: number;
  /** Maximum number of tokens, so that a long period without failures cannot fund a retry storm. */
  capacity: number;
}

export const retryBudgetDefaults: RetryBudgetOptions = { ratio: 0.1, capacity: 10 };

/** Adds the fraction of a token that a first attempt earns. */
export function addAttempt(state: BudgetState, options: RetryBudgetOptions): void {
  state.tokens = Math.min(options.capacity, state.tokens + options.ratio);
}

/** Takes the token of a retry; a budget that lacks a whole token is left empty. */
export function takeRetryToken(state: BudgetState): void {
  state.tokens = Math.max(0, state.tokens - 1);
}
