import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { listConfigurationChanges } from '../../src/policy/configurationChanges.js';
import { checkConfiguration } from '../../src/policy/configurationCheck.js';
import type { Organisation, Route, RouteConfiguration } from '../../src/schema/routeConfiguration.js';
import { buildRoute, buildRouteConfiguration } from '../fixtures/requestFleet.js';
import { runHemlockctl } from '../fixtures/runHemlockctl.js';

const acme: Organisation = { name: 'acme', keys: ['k-1', 'k-2'], ratePerSecond: 10, burst: 5 };
const plain = buildRouteConfiguration(3, [buildRoute('check', 'stock'), buildRoute('order', 'orders')]);

function buildConfiguration(change: Partial<RouteConfiguration>): RouteConfiguration {
  return { ...plain, ...change };
}

function buildRoutes(change: Partial<Route>): Partial<RouteConfiguration> {
  return { routes: [buildRoute('check', 'stock', change)] };
}

function listFindings(configuration: RouteConfiguration): string[] {
  return checkConfiguration(configuration).map(({ kind, path }) => `${kind} ${path}`);
}

describe('check of a configuration', () => {
  it('should find nothing in a configuration whose entries all apply', () => {
    const services = [{ name: 'stock', maxConnections: 9 }];
    expect(listFindings(buildConfiguration({ services, organisations: [acme] }))).toEqual([]);
  });

  const noService: Partial<Route> = { service: null };
  const parts = [
    { service: 'stock', weight: 1 },
    { service: 'orders', weight: 0 },
  ];
  const cases: [string, Partial<RouteConfiguration>, string[]][] = [
    [
      'a host and prefix twice, in another case',
      {
        routes: [
          buildRoute('a', 's', { pathPrefix: '/x/' }),
          buildRoute('b', 's', { pathPrefix: '/x/', host: 'SHOP.example' }),
        ],
      },
      ['unmatched routes.0'],
    ],
    [
      'a name of two routes',
      { routes: [buildRoute('a', 's'), buildRoute('a', 's', { pathPrefix: '/b/' })] },
      ['contradiction routes.1.name'],
    ],
    ['a part with weight 0', buildRoutes({ ...noService, parts }), ['unmatched routes.0.parts.1']],
    [
      'a single part with weight 0, which receives all requests',
      buildRoutes({ ...noService, parts: [{ service: 's', weight: 0 }] }),
      [],
    ],
    ['a service beside parts', buildRoutes({ parts: [{ service: 's', weight: 1 }] }), ['unmatched routes.0.service']],
    ['a route without a service', buildRoutes(noService), ['unmatched routes.0']],
    [
      'a service that no route uses',
      {
        services: [
          { name: 'stock', maxConnections: 1 },
          { name: 'old', maxConnections: 1 },
        ],
      },
      ['unmatched services.1'],
    ],
    ['an organisation without keys', { organisations: [acme, { name: 'b', keys: [] }] }, ['unmatched organisations.1']],
    [
      'a key of two organisations',
      { organisations: [acme, { name: 'b', keys: ['k-2'] }] },
      ['unmatched organisations.0.keys.1'],
    ],
    [
      'a name of two organisations',
      { organisations: [acme, { ...acme, keys: ['k-3'] }] },
      ['contradiction organisations.1.name'],
    ],
    ['closed routes without any key', { organisations: [] }, ['contradiction organisations']],
    ['no key where all routes are open', { ...buildRoutes({ isOpen: true }), organisations: [] }, []],
    ['a timeout below the target latency', buildRoutes({ timeoutMs: 299 }), ['contradiction routes.0.timeoutMs']],
    ['a timeout of the target latency', buildRoutes({ timeoutMs: 300 }), []],
    ['attempts of a route that is not idempotent', buildRoutes({ isIdempotent: false }), ['note routes.0.maxAttempts']],
    ['a burst below 1', { organisations: [{ ...acme, burst: 0.5 }] }, ['contradiction organisations.0.burst']],
    ['a burst below 1 without a rate', { organisations: [{ ...acme, ratePerSecond: 0, burst: 0 }] }, []],
    ['a burst without a rate', { organisations: [{ ...acme, ratePerSecond: 0 }] }, ['note organisations.0.burst']],
    [
      'a rate of less than one request in a window',
      { organisations: [{ name: 'b', keys: ['k'], ratePerSecond: 0.19 }] },
      ['contradiction organisations.0.ratePerSecond'],
    ],
    ['a rate of one request in a window', { organisations: [{ name: 'b', keys: ['k'], ratePerSecond: 0.2 }] }, []],
    ['a small rate with a burst', { organisations: [{ name: 'b', keys: ['k'], ratePerSecond: 0.1, burst: 1 }] }, []],
  ];
  for (const [what, change, expected] of cases) {
    it(`should report what has no effect: ${what}`, () => {
      expect(listFindings(buildConfiguration(change))).toEqual(expected);
    });
  }
});

describe('differences between two configurations', () => {
  it('should be listed by name, whatever the order', () => {
    const next = buildConfiguration({
      routes: [buildRoute('added', 's'), buildRoute('check', 'stock', { timeoutMs: 700 })],
      limits: { ...plain.limits, maxBodyBytes: 5 },
    });
    expect(listConfigurationChanges(plain, next)).toEqual([
      { type: 'changed', path: 'limits.maxBodyBytes', before: '1000000', after: '5' },
      { type: 'added', path: 'routes.added' },
      { type: 'changed', path: 'routes.check.timeoutMs', before: '1000', after: '700' },
      { type: 'removed', path: 'routes.order' },
    ]);
    expect(listConfigurationChanges(plain, { ...plain, routes: [...plain.routes].reverse() })).toEqual([]);
  });

  // Guards against keys that reach a terminal or the log of a build.
  it('should count the keys of an organisation and not show them', () => {
    const before = buildConfiguration({ organisations: [acme] });
    const after = buildConfiguration({ organisations: [{ ...acme, keys: ['k-2', 'k-3', 'k-4'], burst: 6 }] });
    const changes = listConfigurationChanges(before, after);
    expect(changes).toEqual([
      { type: 'changed', path: 'organisations.acme.burst', before: '5', after: '6' },
      { type: 'changed', path: 'organisations.acme.keys', before: '2 keys', after: '1 withdrawn, 2 added' },
    ]);
    expect(JSON.stringify([changes, listConfigurationChanges(plain, after)])).not.toMatchRegex(/k-\d/);
  });

  it('should say that requests need a key now', () => {
    expect(listConfigurationChanges(plain, buildConfiguration({ organisations: [acme] }))).toEqual([
      { type: 'added', path: 'organisations.acme' },
      { type: 'changed', path: 'organisations', before: 'requests need no key', after: 'requests need a key' },
    ]);
  });
});

describe('hemlockctl check', () => {
  let folder: string;
  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'hemlockctl-'));
  });
  afterEach(() => {
    rmSync(folder, { recursive: true });
  });

  function writeConfiguration(value: unknown, name = 'routes.json'): string {
    const path = join(folder, name);
    writeFileSync(path, JSON.stringify(value));
    return path;
  }

  it('should exit with 0 when there are only notes, and list the differences from the version in force', async () => {
    const next = buildConfiguration({ version: 4, ...buildRoutes({ isIdempotent: false }) });
    const run = await runHemlockctl(
      'check',
      writeConfiguration(next),
      '--against',
      writeConfiguration(plain, 'in-force.json'),
    );
    expect(run.exitCode).toEqual(0);
    expect(run.output).toEqual(expect.includes('routes.json: valid, 1 findings\n  note routes.0.maxAttempts: '));
    expect(run.output).toEqual(expect.includes('2 differences from version 3\n'));
    expect(run.output).toEqual(expect.includes('  ~ routes.check.isIdempotent: true -> false\n  - routes.order\n'));
  });

  it('should exit with 1 on findings and print them as JSON', async () => {
    const run = await runHemlockctl(
      'check',
      writeConfiguration(buildConfiguration(buildRoutes({ timeoutMs: 1 }))),
      '--json',
    );
    expect(run.exitCode).toEqual(1);
    expect(JSON.parse(run.output)).toEqual(
      expect.subset({ faults: [], findings: [expect.subset({ kind: 'contradiction', path: 'routes.0.timeoutMs' })] }),
    );
  });

  for (const pathPrefix of ['check/', '/check', '']) {
    it(`should exit with 2 on a prefix that does not begin and end with a slash: '${pathPrefix}'`, async () => {
      const run = await runHemlockctl('check', writeConfiguration(buildConfiguration(buildRoutes({ pathPrefix }))));
      expect([run.exitCode, run.output.includes(`  routes.0.pathPrefix: found "${pathPrefix}", allowed: `)]).toEqual([
        2,
        true,
      ]);
    });
  }

  // Guards against a change that nodes ignore, since they never go back to an older version.
  for (const version of [2, 3]) {
    it(`should exit with 2 when a change has the version ${version} while version 3 is in force`, async () => {
      const changed = writeConfiguration(buildConfiguration({ version, ...buildRoutes({}) }));
      const run = await runHemlockctl('check', changed, '--against', writeConfiguration(plain, 'in-force.json'));
      expect(run.exitCode).toEqual(2);
      expect(run.output).toEqual(expect.includes(`  version: found ${version}, allowed: above 3`));
    });
  }

  it('should exit with 2 on files that cannot be read or are no configuration', async () => {
    const valid = writeConfiguration(plain);
    const runs = await Promise.all([
      runHemlockctl('check', join(folder, 'none.json')),
      runHemlockctl('check', valid, '--against', writeConfiguration({}, 'empty.json')),
      runHemlockctl('check'),
    ]);
    expect(runs.map(({ exitCode }) => exitCode)).toEqual([2, 2, 2]);
    expect(runs[1]?.output).toEqual(expect.includes('empty.json is not a valid configuration of routed requests'));
  });
});
