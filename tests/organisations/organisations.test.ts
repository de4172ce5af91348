import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Organisation, Route } from '../../src/schema/routeConfiguration.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet, getTarget } from '../fixtures/requestFleet.js';
import type { RequestFleet } from '../fixtures/requestFleet.js';

const hosts = [
  { host: 'a1', dataCenter: 'd1', service: 'orders' },
  { host: 'a2', dataCenter: 'd1', service: 'stock' },
];
const acme: Organisation = { name: 'acme', keys: ['k-acme'], priority: 0 };
const bolt: Organisation = { name: 'bolt', keys: ['k-bolt', 'k-bolt-2'] };

function createFleet(options: { organisations?: Organisation[]; route?: Partial<Route> } = {}): RequestFleet {
  const { organisations = [acme, bolt], route = {} } = options;
  const routes = [
    buildRoute('check', 'stock', { priority: 2, ...route }),
    buildRoute('internal', 'stock', { isOpen: true }),
  ];
  return createRequestFleet({ hosts, configuration: { ...buildRouteConfiguration(1, routes), organisations } });
}

function listRequests(
  fleet: RequestFleet,
): { organisation: string | undefined; priority: number; headers: string[] }[] {
  return fleet.sends.map(({ request: { organisation, priority, headers } }) => ({ organisation, priority, headers }));
}

describe('organisations', () => {
  it('should name the holder of the key to the target and withhold the sender headers', () => {
    const fleet = createFleet();
    const sent = fleet.send('a1', {
      key: 'k-bolt-2',
      headers: ['Accept', '*/*'],
      identityHeaders: ['Authorization', 'Bearer k-bolt-2', 'x-organisation', 'acme'],
    });
    fleet.clock.advance(100);
    expect(sent.answer?.status).toEqual(200);
    expect(listRequests(fleet)).toEqual([{ organisation: 'bolt', priority: 2, headers: ['Accept', '*/*'] }]);
  });

  it('should put the priority of the organisation before that of the route', () => {
    const fleet = createFleet();
    fleet.send('a1', { key: 'k-acme' });
    fleet.clock.advance(100);
    expect(listRequests(fleet).map(({ priority }) => priority)).toEqual([0]);
  });

  for (const key of [undefined, 'k-unknown']) {
    it(`should refuse a request with the key ${String(key)} without running it`, () => {
      const fleet = createFleet();
      const sent = fleet.send('a1', { key });
      fleet.clock.advance(100);
      expect(sent.refusal?.kind).toEqual('unauthorized');
      expect(getTarget(fleet, 'a2').ran).toEqual([]);
    });
  }

  // Guards against a target's own call being refused, or named after an organisation that its sender claims.
  it('should take a request without a key on an open route, without an organisation', () => {
    const fleet = createFleet();
    fleet.send('a1', { path: '/internal/1', identityHeaders: ['x-organisation', 'acme'] });
    fleet.clock.advance(100);
    expect(listRequests(fleet)).toEqual([{ organisation: undefined, priority: 1, headers: [] }]);
  });

  // Guards against deployments without organisations losing headers that they forwarded so far.
  it('should forward the sender headers where there are no organisations', () => {
    const routes = [buildRoute('check', 'stock')];
    const fleet = createRequestFleet({ hosts, configuration: buildRouteConfiguration(1, routes) });
    fleet.send('a1', { key: 'k', identityHeaders: ['Authorization', 'Bearer k'] });
    fleet.clock.advance(100);
    expect(listRequests(fleet)).toEqual([
      { organisation: undefined, priority: 1, headers: ['Authorization', 'Bearer k'] },
    ]);
  });

  // Guards against a 401, which clients do not retry, from a node that knows no keys yet.
  it('should answer that it is unavailable before it has a configuration', () => {
    const fleet = createRequestFleet({ hosts });
    expect(fleet.send('a1', { key: 'k-acme' }).refusal?.kind).toEqual('noConfiguration');
  });

  // Guards against large bodies delaying urgent requests on their lane.
  it('should send bulk requests of an urgent organisation on the routine lane', () => {
    const fleet = createFleet({ route: { isBulk: true, isIdempotent: false } });
    const lanes = fleet.nodes.get('a1')?.board.read('links').byHost.get('a2')?.lanes;
    expect(lanes?.urgent.phase).toEqual('down');
    const sent = fleet.send('a1', { key: 'k-acme' });
    fleet.clock.advance(100);
    expect(sent.answer?.status).toEqual(200);
  });
});
