import type { FractionState } from '../schema/state.js';

/** Growth of an admitted fraction per adjustment while there is spare capacity. */
const RAISE_FACTOR = 1.1;
const MIN_FRACTION = 0.01;

export interface PriorityDemand {
  state: FractionState;
  /** Share of the capacity that this priority keeps in a surge of others, in [0, 1]. */
  guaranteedShare: number;
}

/**
 * Allots a capacity (calls per interval) to priorities: guaranteed shares first as far as there is demand, then the rest
 * by worth, the most worth first.
 *
 * @returns The allotted calls per interval, in the order given.
 */
export function splitCapacity(capacity: number, demands: readonly PriorityDemand[]): number[] {
  const guaranteed = demands.map(({ state, guaranteedShare }) => Math.min(state.arrivals, guaranteedShare * capacity));
  let rest = capacity - guaranteed.reduce((sum, value) => sum + value, 0);
  const byWorth = demands.map((demand, index) => ({ demand, index }));
  byWorth.sort((left, right) => right.demand.state.worth - left.demand.state.worth);
  const allotted = [...guaranteed];
  for (const { demand, index } of byWorth) {
    const extra = Math.max(0, Math.min(rest, demand.state.arrivals - (guaranteed[index] ?? 0)));
    allotted[index] = (guaranteed[index] ?? 0) + extra;
    rest -= extra;
  }
  return allotted;
}

/**
 * Computes the next admitted fraction of a priority. Arrivals are those left after earlier shedding by the current
 * fraction, so the next one scales the current one.
 */
export function adjustFraction(current: number, arrivals: number, allotted: number): number {
  if (arrivals <= allotted || arrivals === 0) return Math.min(1, current * RAISE_FACTOR);
  return Math.max(MIN_FRACTION, (current * allotted) / arrivals);
}

/** True when a request with this shed key is admitted under a fraction. */
export function isAdmitted(shedKey: number, fraction: number): boolean {
  return fraction >= 1 || shedKey < fraction;
}
