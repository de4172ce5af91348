import type { RoutePart } from '../schema/routeConfiguration.js';

/** Credit of each service of one route; the sum is always 0. */
export type PartCredits = Map<string, number>;

/**
 * Chooses the service for the next request of a route by smooth weighted round robin, so that any sequence of requests
 * is split in proportion to the weights: each service gains its weight as credit, the one with the most credit is
 * chosen and pays the sum of the weights.
 *
 * @returns The service; undefined when no part has a positive weight.
 * @example
 * const service = choosePart(credits, [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }]);
 */
export function choosePart(credits: PartCredits, parts: readonly RoutePart[]): string | undefined {
  const [first] = parts;
  if (parts.length === 1) return first?.service;
  let total = 0;
  let best: string | undefined;
  let bestCredit = -Infinity;
  for (const { service, weight } of parts) {
    if (weight <= 0) continue;
    const credit = (credits.get(service) ?? 0) + weight;
    credits.set(service, credit);
    total += weight;
    if (credit > bestCredit) {
      best = service;
      bestCredit = credit;
    }
  }
  if (best !== undefined) credits.set(best, bestCredit - total);
  return best;
}
