/**
 * Returns the name of the requests of one route and priority, by which admission decides: that of the route, or one that
 * names the priority too where an organisation has replaced it.
 *
 * @example
 * formatKind({ name: 'lookup', priority: 1 }, 1); // 'lookup'
 * formatKind({ name: 'lookup', priority: 1 }, 0); // 'lookup at priority 0'
 */
export function formatKind(route: { name: string; priority: number }, priority: number): string {
  return priority === route.priority ? route.name : `${route.name} at priority ${priority}`;
}
