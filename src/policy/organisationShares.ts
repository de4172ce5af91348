import { splitEvenly } from './evenShares.js';

/** Rates of the requests of one kind that entered at this node, by organisation; empty name for those of none. */
export interface OrganisationRates {
  perSecond: Map<string, number>;
  /** Counts at the latest update. */
  counts: Map<string, number>;
}

/** Weight of a new interval in the smoothed rates. */
const SMOOTHING_WEIGHT = 0.3;
/** Rate below which an organisation is forgotten (per second). */
const MIN_RATE_PER_SECOND = 0.01;

/** Creates rates without requests. */
export function createOrganisationRates(): OrganisationRates {
  return { perSecond: new Map(), counts: new Map() };
}

/**
 * Adds the requests since the latest update.
 *
 * @example
 * updateOrganisationRates(rates, new Map([['acme', 12]]), 0.25);
 */
export function updateOrganisationRates(
  rates: OrganisationRates,
  counts: ReadonlyMap<string, number>,
  seconds: number,
): void {
  for (const [organisation, count] of counts) {
    const rate = (count - (rates.counts.get(organisation) ?? 0)) / seconds;
    const known = rates.perSecond.get(organisation) ?? 0;
    const next = known + SMOOTHING_WEIGHT * (rate - known);
    rates.counts.set(organisation, count);
    if (next >= MIN_RATE_PER_SECOND) rates.perSecond.set(organisation, next);
    else rates.perSecond.delete(organisation);
  }
}

/**
 * Divides the admitted share of one kind of requests among the organisations that send them here. It answers a load in
 * which one organisation sends many times as much as the others: they keep what they ask for, as far as it is no more than an
 * even part, and the rest is taken from that one. The sum is the same as with one share for all.
 *
 * @returns The admitted share by organisation.
 *
 * @example
 * splitAmongOrganisations(0.5, new Map([['big', 90], ['small', 10]])); // big: 0.44, small: 1
 */
export function splitAmongOrganisations(fraction: number, perSecond: ReadonlyMap<string, number>): Map<string, number> {
  const entries = [...perSecond];
  const total = entries.reduce((sum, [, rate]) => sum + rate, 0);
  const granted = splitEvenly(
    fraction * total,
    entries.map(([, rate]) => rate),
  );
  return new Map(entries.map(([organisation, rate], index) => [organisation, (granted[index] ?? 0) / rate]));
}
