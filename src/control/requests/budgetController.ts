import { addRequest, createFleetBudget } from '../../policy/fleetBudget.js';
import type { FleetBudget, FleetBudgetOptions } from '../../policy/fleetBudget.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';

/** Writes this node's share of the fleet-wide retry budget of each service. */
export function createBudgetController({ board }: RequestContext): Controller {
  const budgets = board.claim('budgets', 'budgetController');
  const { byService } = budgets.section;

  const readOptions = (): FleetBudgetOptions => {
    const { retryRatio, retryExtra } = board.read('settings').current.bounds;
    return { ratio: retryRatio, extra: retryExtra, nodes: board.read('members').byHost.size + 1 };
  };
  const getBudget = (service: string, options: FleetBudgetOptions): FleetBudget => {
    let budget = byService.get(service);
    if (budget === undefined) byService.set(service, (budget = createFleetBudget(options)));
    return budget;
  };
  budgets.handlePosts((post) => {
    const options = readOptions();
    const budget = getBudget(post.service, options);
    if (post.type === 'request') addRequest(budget, options);
    else budget.tokens = Math.max(0, budget.tokens - 1);
  });
  return { start: () => undefined, stop: () => undefined };
}
