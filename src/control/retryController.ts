import { addAttempt, retryBudgetDefaults, takeRetryToken } from '../policy/retryBudget.js';
import type { BudgetState } from '../schema/state.js';
import type { Controller, ControllerContext } from './context.js';

/** Writes the retry budgets of this node, one for each called service. */
export function createRetryController(context: ControllerContext): Controller {
  const { board } = context;
  const budgets = board.claim('budgets', 'retryController');
  const { byService } = budgets.section;

  const getBudget = (service: string): BudgetState => {
    let budget = byService.get(service);
    if (budget === undefined) {
      budget = { tokens: retryBudgetDefaults.capacity };
      byService.set(service, budget);
    }
    return budget;
  };
  budgets.handlePosts((post) => {
    const budget = getBudget(post.service);
    if (post.type === 'retry') {
      takeRetryToken(budget);
      return;
    }
    const ratio = board.read('configuration').services.get(post.service)?.document.retryRatio;
    addAttempt(budget, { ...retryBudgetDefaults, ratio: ratio ?? retryBudgetDefaults.ratio });
  });
  return { start: () => undefined, stop: () => undefined };
}
