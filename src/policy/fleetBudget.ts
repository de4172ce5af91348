/** This node's part of the fleet-wide retry budget of one service. */
export interface FleetBudget {
  tokens: number;
}

/** The fleet-wide bound on repeated arrivals, and among how many nodes it is divided. */
export interface FleetBudgetOptions {
  /** Fleet-wide bound: repeated arrivals per request. */
  ratio: number;
  /** Fleet-wide bound: additional repeated arrivals per window. */
  extra: number;
  /** Number of nodes that share the bound. */
  nodes: number;
}

/**
 * Share of the bound for retries of requests to this service. The rest is left for downstream calls of repeated runs,
 * which arrive at other services and count against the bound there.
 */
const OWN_SHARE = 0.3;
/** Share of the additional arrivals that may be spent at once; a window may start just before tokens are refilled. */
const EXTRA_SHARE = 0.4;

/** Creates a full budget. */
export function createFleetBudget(options: FleetBudgetOptions): FleetBudget {
  return { tokens: computeCapacity(options) };
}

/** Returns the retries that the budget allows per request to a service. */
export function computeRetryShare(ratio: number): number {
  return ratio * OWN_SHARE;
}

/**
 * Adds the tokens earned by one request to the service.
 *
 * @example
 * addRequest(budget, options);
 * if (hasRetryToken(budget)) retry();
 */
export function addRequest(budget: FleetBudget, options: FleetBudgetOptions): void {
  budget.tokens = Math.min(computeCapacity(options), budget.tokens + computeRetryShare(options.ratio));
}

/** True when the budget allows a retry. */
export function hasRetryToken(budget: FleetBudget | undefined): boolean {
  return budget !== undefined && budget.tokens >= 1;
}

function computeCapacity({ extra, nodes }: FleetBudgetOptions): number {
  return 1 + (EXTRA_SHARE * extra) / Math.max(1, nodes);
}
