import { splitEffectivePriority } from './excessRequests.js';

/**
 * Returns the name of the requests of one route and effective priority, by which admission decides: that of the route, or one
 * that names the priority too where an organisation has replaced it. Excess requests have a name of their own.
 *
 * @example
 * formatKind({ name: 'lookup', priority: 1 }, 1); // 'lookup'
 * formatKind({ name: 'lookup', priority: 1 }, 0); // 'lookup at priority 0'
 * formatKind({ name: 'lookup', priority: 1 }, 1.5); // 'lookup, excess'
 */
export function formatKind(route: { name: string; priority: number }, effective: number): string {
  if (effective === route.priority) return route.name;
  const { priority, isExcess } = splitEffectivePriority(effective);
  const name = priority === route.priority ? route.name : `${route.name} at priority ${priority}`;
  return isExcess ? `${name}, excess` : name;
}
