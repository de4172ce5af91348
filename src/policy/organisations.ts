import type { ReadView } from '../core/blackboard.js';
import type { Organisation, Route } from '../schema/routeConfiguration.js';
import { listParts } from './routeTable.js';
import type { RouteTable } from './routeTable.js';

/**
 * Who sent a request:
 * - `organisation`: the holder of the key;
 * - `anonymous`: nobody in particular, which open routes and configurations without organisations allow;
 * - `unknown`: the key is missing or belongs to no organisation.
 */
export type Caller =
  | { type: 'organisation'; organisation: ReadView<Organisation> }
  | { type: 'anonymous' }
  | { type: 'unknown'; detail: string };

const ANONYMOUS: Caller = { type: 'anonymous' };

/**
 * Finds the organisation of a request by its key. Each request is looked up in the configuration in force, so that a
 * withdrawn key stops working on open connections too.
 *
 * @param key Undefined if the request has none.
 * @example
 * const caller = findCaller(table, route, 'k-17');
 * if (caller.type === 'unknown') refuse({ kind: 'unauthorized', detail: caller.detail });
 */
export function findCaller(table: ReadView<RouteTable>, route: ReadView<Route>, key: string | undefined): Caller {
  const { organisationByKey } = table;
  if (organisationByKey === undefined) return ANONYMOUS;
  const organisation = key === undefined ? undefined : organisationByKey.get(key);
  if (organisation !== undefined) return { type: 'organisation', organisation };
  if (route.isOpen) return ANONYMOUS;
  const detail = key === undefined ? 'the request has no key' : 'the key belongs to no organisation';
  return { type: 'unknown', detail };
}

/**
 * Lists the services to which requests of the highest priority may go.
 *
 * @example
 * if (listUrgentServices(table).has(member.service)) openLane(member, 'urgent');
 */
export function listUrgentServices(table: ReadView<RouteTable>): Set<string> {
  const { routes, organisations = [] } = table.configuration;
  const hasUrgentOrganisation = organisations.some(({ priority }) => priority === 0);
  const isUrgent = ({ priority, isBulk, isOpen }: ReadView<Route>): boolean =>
    !isBulk && (priority === 0 || (hasUrgentOrganisation && !isOpen));
  return new Set(routes.filter(isUrgent).flatMap((route) => listParts(route).map(({ service }) => service)));
}
