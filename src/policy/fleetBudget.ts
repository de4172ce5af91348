/** This node's part of the retries that all nodes together may cause at one service. */
export interface FleetBudget {
  tokens: number;
}

export interface FleetBudgetOptions {
  /** Bound of all nodes: repeated arrivals per request. */
  ratio: number;
  /** Bound of all nodes: repeated arrivals in addition, per window. */
  extra: number;
  /** Nodes that share the bound. */
  nodes: number;
}

/**
 * Share of the bound that retries of this service spend. The rest is left for the calls of repeated runs, which arrive at
 * other services and count there.
 */
const OWN_SHARE = 0.3;
/** Share of the extra that may be spent at once; a window may begin just before the tokens are refilled. */
const EXTRA_SHARE = 0.4;

/** Creates the budget of a node that has just started. */
export function createFleetBudget(options: FleetBudgetOptions): FleetBudget {
  return { tokens: computeCapacity(options) };
}

/** Adds what one request of the service earns. */
export function addRequest(budget: FleetBudget, options: FleetBudgetOptions): void {
  budget.tokens = Math.min(computeCapacity(options), budget.tokens + options.ratio * OWN_SHARE);
}

/** True when a retry may be made. */
export function hasRetryToken(budget: FleetBudget | undefined): boolean {
  return budget !== undefined && budget.tokens >= 1;
}

function computeCapacity({ extra, nodes }: FleetBudgetOptions): number {
  return 1 + (EXTRA_SHARE * extra) / Math.max(1, nodes);
}
