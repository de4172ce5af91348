import type { ConfigurationChange } from '../schema/commandReport.js';
import type { RouteConfiguration } from '../schema/routeConfiguration.js';
import { formatCanonical } from './canonicalJson.js';

/** A route, service, organisation or the limits, with its fields as text. */
type EntryFields = ReadonlyMap<string, string>;

/**
 * Lists what differs between two configurations, by the names of routes, services and organisations and not by their
 * positions. Keys are counted and not shown.
 *
 * @example
 * listConfigurationChanges(inForce, next); // [{ type: 'changed', path: 'routes.check.timeoutMs', before: '900', after: '800' }]
 */
export function listConfigurationChanges(before: RouteConfiguration, after: RouteConfiguration): ConfigurationChange[] {
  const left = listEntries(before);
  const right = listEntries(after);
  const paths = [...new Set([...left.keys(), ...right.keys()])].sort();
  const changes = paths.flatMap((path) => compareEntries(path, left.get(path), right.get(path)));
  return [...changes, ...compareAccess(before, after), ...compareKeys(before, after)];
}

/** Formats a change as one line, in the form of `hemlockctl diff`. */
export function formatConfigurationChange(change: ConfigurationChange): string {
  if (change.type === 'added') return `+ ${change.path}`;
  if (change.type === 'removed') return `- ${change.path}`;
  return `~ ${change.path}: ${change.before} -> ${change.after}`;
}

function listEntries({ routes, services, limits, organisations = [] }: RouteConfiguration): Map<string, EntryFields> {
  const entries = new Map<string, EntryFields>([['limits', listFields(limits)]]);
  for (const route of routes) entries.set(`routes.${route.name}`, listFields(route));
  for (const service of services) entries.set(`services.${service.name}`, listFields(service));
  for (const organisation of organisations)
    entries.set(`organisations.${organisation.name}`, listFields({ ...organisation, keys: undefined }));
  return entries;
}

function listFields(entry: object): EntryFields {
  const fields = Object.entries(entry).filter(([, value]) => value !== undefined && value !== null);
  return new Map(fields.map(([name, value]) => [name, formatCanonical(value)]));
}

function compareEntries(
  path: string,
  left: EntryFields | undefined,
  right: EntryFields | undefined,
): ConfigurationChange[] {
  if (right === undefined) return [{ type: 'removed', path }];
  if (left === undefined) return [{ type: 'added', path }];
  const names = [...new Set([...left.keys(), ...right.keys()])].sort();
  return names
    .filter((name) => left.get(name) !== right.get(name))
    .map((name) => ({
      type: 'changed',
      path: `${path}.${name}`,
      before: left.get(name) ?? 'nothing',
      after: right.get(name) ?? 'nothing',
    }));
}

/** With organisations, even with an empty list of them, routes that are not open need a key. */
function compareAccess(before: RouteConfiguration, after: RouteConfiguration): ConfigurationChange[] {
  const describeAccess = ({ organisations }: RouteConfiguration): string =>
    organisations === undefined ? 'requests need no key' : 'requests need a key';
  const [left, right] = [describeAccess(before), describeAccess(after)];
  return left === right ? [] : [{ type: 'changed', path: 'organisations', before: left, after: right }];
}

function compareKeys(before: RouteConfiguration, after: RouteConfiguration): ConfigurationChange[] {
  const known = new Map((before.organisations ?? []).map(({ name, keys }) => [name, new Set(keys)]));
  return (after.organisations ?? []).flatMap(({ name, keys }) => {
    const old = known.get(name);
    const next = new Set(keys);
    if (old === undefined) return [];
    const kept = [...next].filter((key) => old.has(key)).length;
    if (kept === old.size && kept === next.size) return [];
    const path = `organisations.${name}.keys`;
    const [removed, added] = [old.size - kept, next.size - kept];
    return [{ type: 'changed', path, before: `${old.size} keys`, after: `${removed} withdrawn, ${added} added` }];
  });
}
