import type { ConfigurationFinding } from '../schema/commandReport.js';
import type { Organisation, Route, RouteConfiguration } from '../schema/routeConfiguration.js';
import { listParts } from './routeTable.js';

/** Window over which nodes measure quotas unless their settings name another (ms). */
const QUOTA_WINDOW_MS = 5000;

/**
 * Lists what a valid configuration of routed requests contains to no effect, and limits that contradict each other. It is
 * for operators, before a configuration is in force: nodes serve such a configuration as it stands. Keys are never part of a
 * finding, only their paths.
 *
 * @example
 * for (const { path, detail } of checkConfiguration(configuration)) print(`${path}: ${detail}`);
 */
export function checkConfiguration(configuration: RouteConfiguration): ConfigurationFinding[] {
  const { routes, organisations = [] } = configuration;
  return [
    ...listReplacedRoutes(routes),
    ...listRepeatedNames('routes', routes),
    ...routes.flatMap((route, index) => checkRoute(route, `routes.${index}`)),
    ...listUnusedServices(configuration),
    ...listRepeatedNames('services', configuration.services),
    ...checkAccess(configuration),
    ...listSharedKeys(organisations),
    ...listRepeatedNames('organisations', organisations),
    ...organisations.flatMap((organisation, index) => checkOrganisation(organisation, `organisations.${index}`)),
  ];
}

/** Of several routes with the same host and prefix, the last one applies. */
function listReplacedRoutes(routes: readonly Route[]): ConfigurationFinding[] {
  const describeMatch = ({ host, pathPrefix }: Route): string => `${host.toLowerCase()} ${pathPrefix}`;
  const last = new Map(routes.map((route, index) => [describeMatch(route), index]));
  return routes.flatMap((route, index) => {
    const winner = last.get(describeMatch(route));
    if (winner === undefined || winner === index) return [];
    return [buildUnmatched(`routes.${index}`, `routes.${winner} has the same host and prefix and replaces it`)];
  });
}

function listRepeatedNames(section: string, entries: readonly { name: string }[]): ConfigurationFinding[] {
  const first = new Map<string, number>();
  return entries.flatMap(({ name }, index) => {
    const known = first.get(name);
    if (known === undefined) first.set(name, index);
    if (known === undefined) return [];
    return [buildContradiction(`${section}.${index}.name`, `${section}.${known} has the same name ${name}`)];
  });
}

function checkRoute(route: Route, path: string): ConfigurationFinding[] {
  const { timeoutMs, targetLatencyMs, maxAttempts, isIdempotent } = route;
  const findings = checkParts(route, path);
  if (timeoutMs < targetLatencyMs) {
    const detail = `${timeoutMs} ms is below the target latency of ${targetLatencyMs} ms`;
    findings.push(buildContradiction(`${path}.timeoutMs`, detail));
  }
  if (maxAttempts > 1 && !isIdempotent) {
    const detail = 'requests are not idempotent: one that may have run is not sent again';
    findings.push({ kind: 'note', path: `${path}.maxAttempts`, detail });
  }
  return findings;
}

function checkParts(route: Route, path: string): ConfigurationFinding[] {
  const parts = route.parts ?? [];
  if (listParts(route).length === 0) return [buildUnmatched(path, 'it has no service')];
  const findings = parts.flatMap(({ service, weight }, index) =>
    // A single part receives all requests whatever its weight.
    weight > 0 || parts.length === 1
      ? []
      : [buildUnmatched(`${path}.parts.${index}`, `the weight is 0, so ${service} receives no requests`)],
  );
  if (parts.length > 0 && typeof route.service === 'string')
    findings.push(buildUnmatched(`${path}.service`, 'the parts replace it'));
  return findings;
}

function listUnusedServices({ routes, services }: RouteConfiguration): ConfigurationFinding[] {
  const used = new Set(routes.flatMap((route) => listParts(route).map(({ service }) => service)));
  return services.flatMap(({ name }, index) =>
    used.has(name) ? [] : [buildUnmatched(`services.${index}`, `no route uses ${name}`)],
  );
}

/** With organisations in force, a route that is not open needs a key. */
function checkAccess({ routes, organisations }: RouteConfiguration): ConfigurationFinding[] {
  if (organisations?.every(({ keys }) => keys.length === 0) !== true) return [];
  const closed = routes.filter(({ isOpen }) => !isOpen).length;
  if (closed === 0) return [];
  return [buildContradiction('organisations', `there are no keys, and ${closed} routes refuse requests without one`)];
}

/** Of several organisations with the same key, the last one is found by it. */
function listSharedKeys(organisations: readonly Organisation[]): ConfigurationFinding[] {
  const last = new Map(organisations.flatMap(({ keys }, owner) => keys.map((key) => [key, owner] as const)));
  return organisations.flatMap(({ keys }, owner) =>
    keys.flatMap((key, index) => {
      const winner = last.get(key) ?? owner;
      if (winner === owner) return [];
      const detail = `it belongs to organisations.${winner} (${organisations[winner]?.name ?? ''}) as well, which is found by it`;
      return [buildUnmatched(`organisations.${owner}.keys.${index}`, detail)];
    }),
  );
}

function checkOrganisation({ keys, ratePerSecond = 0, burst }: Organisation, path: string): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = [];
  if (keys.length === 0) findings.push(buildUnmatched(path, 'it has no keys'));
  if (ratePerSecond === 0) {
    if (burst !== undefined && burst > 0)
      findings.push({ kind: 'note', path: `${path}.burst`, detail: 'there is no rate, so no limit applies' });
    return findings;
  }
  if (burst !== undefined && burst < 1)
    findings.push(buildContradiction(`${path}.burst`, `${burst} is below 1, so a single request exceeds the quota`));
  const allowed = (ratePerSecond * QUOTA_WINDOW_MS) / 1000 + (burst ?? 0);
  if (allowed < 1) {
    const detail = `${ratePerSecond} requests/s allow less than one request within ${QUOTA_WINDOW_MS} ms`;
    findings.push(buildContradiction(`${path}.ratePerSecond`, detail));
  }
  return findings;
}

function buildUnmatched(path: string, detail: string): ConfigurationFinding {
  return { kind: 'unmatched', path, detail };
}

function buildContradiction(path: string, detail: string): ConfigurationFinding {
  return { kind: 'contradiction', path, detail };
}
