import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createDurationMetrics, createRequestMetrics } from '../../src/http/requestMetrics.js';
import type { RequestNode } from '../../src/node/createRequestNode.js';
import type { QuotaGrantFrame } from '../../src/schema/linkFrame.js';
import { refusalStatus } from '../../src/schema/refusal.js';
import { buildOrganisation, buildQuotaHosts, countRefused, createQuotaFleet } from './quotaFleet.js';
import type { CountedRequest, QuotaFleet } from './quotaFleet.js';

const acme = buildOrganisation('acme', 5, 0);
const hosts = buildQuotaHosts(9);
/** Depth of the bucket of `acme`: its burst and half of the slack. */
const DEPTH = 10;

/** Creates a fleet in which `acme` has used up its tokens at a host that is not the allocator. */
function createEmptyFleet(): { fleet: QuotaFleet; host: string } {
  const fleet = createQuotaFleet({ hosts, organisations: [acme] });
  const host = hosts.find((entry) => entry.host !== fleet.findAllocator())?.host ?? '';
  for (let index = 0; index < DEPTH; index++) fleet.sendFor('acme', host);
  fleet.clock.advance(20);
  expect(fleet.arrivals.size).toEqual(DEPTH);
  return { fleet, host };
}

function readNode(fleet: QuotaFleet, host: string): RequestNode {
  return fleet.nodes.get(host) as RequestNode;
}

function readOutcome({ sent }: CountedRequest): string {
  return sent.refusal?.kind ?? (sent.answer === undefined ? 'open' : 'answered');
}

describe('requests of an organisation with a quota', () => {
  it('should get 429 beyond the quota without running, at the time at which there is room', () => {
    const { fleet, host } = createEmptyFleet();
    const refused = Array.from({ length: 6 }, () => fleet.sendFor('acme', host));
    fleet.clock.advance(300);
    const last = refused[5]?.sent.refusal;
    expect(last?.kind).toEqual('quotaExceeded');
    expect(refusalStatus.quotaExceeded).toEqual(429);
    expect(fleet.arrivals.size).toBeLessThanOrEqual(DEPTH + 2);
    // Each refused request has its turn after those before it, 190 ms apart.
    expect(last?.retryAfterMs ?? 0).toBeGreaterThan(700);
    expect(last?.retryAfterMs ?? 0).toBeLessThan(2500);
  });

  // Guards against a retry storm: refused clients that come back at the time they were given must find room.
  it('should give refused clients different times, at which they are not refused', () => {
    const { fleet, host } = createEmptyFleet();
    const refused = Array.from({ length: 20 }, () => fleet.sendFor('acme', host));
    fleet.clock.advance(300);
    const delays = refused.flatMap(({ sent: { refusal } }) => refusal?.retryAfterMs ?? []);
    expect(delays.length).toBeGreaterThan(15);
    const seconds = new Set(delays.map((delayMs) => Math.floor(delayMs / 1000)));
    expect(seconds.size).toBeGreaterThanOrEqual(4);
    const before = countRefused(fleet, 'acme');
    for (const delayMs of delays) fleet.clock.schedule(delayMs, () => fleet.sendFor('acme', host));
    fleet.clock.advance(Math.max(...delays) + 1000);
    expect(countRefused(fleet, 'acme') - before).toBeLessThanOrEqual(2);
  });

  // Guards against requests beyond a quota making admission refuse those of others.
  it('should not count as demand beyond the quota', () => {
    const { fleet, host } = createEmptyFleet();
    const readDemand = (): number => readNode(fleet, host).board.read('entries').arrivedByRoute.get('check') ?? 0;
    const before = readDemand();
    for (let index = 0; index < 50; index++) fleet.sendFor('acme', host);
    fleet.clock.advance(300);
    expect(readDemand() - before).toBeLessThanOrEqual(2);
  });

  // Guards against each request beyond the quota costing a message.
  it('should be refused by the host itself until the time that the grant names', () => {
    const { fleet, host } = createEmptyFleet();
    fleet.sendLoad({ organisation: 'acme', perSecond: 500, durationMs: 2000, chooseHost: () => host });
    fleet.links.delivered.length = 0;
    fleet.clock.advance(2000);
    const asks = fleet.links.delivered.filter(({ from, frame }) => from === host && frame.type === 'quotaAsk');
    expect(asks.length).toBeLessThanOrEqual(2000 / 40);
    expect(countRefused(fleet, 'acme')).toBeGreaterThan(900);
  });

  it('should pass in the order of their priority, then of their arrival', () => {
    const { fleet, host } = createEmptyFleet();
    const check = fleet.sendFor('acme', host);
    const urgent = fleet.send(host, { requestId: 'urgent', key: 'k-acme', path: '/urgent/1' });
    fleet.clock.advance(240);
    expect(urgent.answer?.status).toEqual(200);
    expect(readOutcome(check)).toEqual('quotaExceeded');
  });

  it('should count as open while they wait, and leave the queue when the client leaves', () => {
    const { fleet, host } = createEmptyFleet();
    fleet.clock.advance(500);
    const allocator = fleet.findAllocator();
    fleet.links.hold(allocator);
    const [waiting] = [0, 1].map(() => fleet.sendFor('acme', host));
    fleet.clock.advance(10);
    expect(readNode(fleet, host).board.read('entries').open).toEqual(2);
    waiting?.sent.handle.cancel();
    expect(readNode(fleet, host).board.read('entries').open).toEqual(1);
    expect(readNode(fleet, host).board.read('quotas').byOrganisation.get('acme')?.waiting.length).toEqual(1);
    fleet.links.release(allocator);
    fleet.clock.advance(100);
    expect(waiting?.sent.answer).toEqual(undefined);
    expect(fleet.arrivals.size).toEqual(DEPTH + 1);
  });

  it('should be answered with 429 when no allocator responds in time', () => {
    const { fleet, host } = createEmptyFleet();
    fleet.clock.advance(500);
    fleet.links.hold(fleet.findAllocator());
    const request = fleet.sendFor('acme', host);
    fleet.clock.advance(205);
    expect(readOutcome(request)).toEqual('quotaExceeded');
    expect(request.sent.refusal?.retryAfterMs ?? 0).toBeGreaterThanOrEqual(500);
  });

  it('should be answered when the process stops while they wait', () => {
    const { fleet, host } = createEmptyFleet();
    fleet.links.hold(fleet.findAllocator());
    const request = fleet.sendFor('acme', host);
    readNode(fleet, host).close();
    expect(readOutcome(request)).toEqual('stopping');
  });

  // Guards against losing the beginning of a body that arrives before the token.
  it('should forward the parts of a body that arrive while they wait', () => {
    const { fleet, host } = createEmptyFleet();
    fleet.clock.advance(500);
    const change = { requestId: 'upload', key: 'k-acme', method: 'POST', isStreamed: true };
    const sent = fleet.send(host, change);
    sent.handle.sendBody(Buffer.from('first '), false);
    sent.handle.sendBody(Buffer.from('second'), true);
    fleet.clock.advance(200);
    expect(sent.answer?.status).toEqual(200);
    const bodies = [...fleet.targets.values()].flatMap(({ bodies: received }) => received.get('upload') ?? []);
    expect(bodies.map(({ parts }) => Buffer.concat(parts).toString())).toEqual(['first second']);
  });

  it('should pass at once when the limit is lifted while they wait', () => {
    const { fleet, host } = createEmptyFleet();
    fleet.links.hold(fleet.findAllocator());
    const request = fleet.sendFor('acme', host);
    fleet.publish(2, [{ name: 'acme', keys: ['k-acme'] }]);
    fleet.clock.advance(150);
    expect(readOutcome(request)).toEqual('answered');
  });

  // Guards against one refusal of a request that is refused anyway using up a token.
  it('should take no token when another check refuses them', () => {
    const fleet = createQuotaFleet({ hosts, organisations: [acme] });
    for (let index = 0; index < 30; index++) fleet.send('h1', { key: 'k-acme', path: '/nowhere/1' });
    for (let index = 0; index < 30; index++) fleet.send('h1', { key: 'unknown' });
    for (let index = 0; index < DEPTH; index++) fleet.sendFor('acme', 'h1');
    fleet.clock.advance(300);
    expect(countRefused(fleet, 'acme')).toEqual(0);
  });

  it('should be counted in the metrics and reported once when they exceed the quota', async () => {
    const { fleet, host } = createEmptyFleet();
    for (let index = 0; index < 5; index++) fleet.sendFor('acme', host);
    fleet.clock.advance(300);
    const text = await createRequestMetrics(readNode(fleet, host).board, createDurationMetrics()).renderText();
    expect(text).toEqual(expect.includes('hemlock_quota_tokens{organisation="acme",result="granted"} 1'));
    expect(text).toEqual(expect.includes('hemlock_quota_tokens{organisation="acme",result="refused"} '));
    const allocator = readNode(fleet, fleet.findAllocator());
    const pooled = await createRequestMetrics(allocator.board, createDurationMetrics()).renderText();
    expect(pooled).toEqual(expect.includes(`hemlock_quota_loans ${hosts.length}`));
    fleet.clock.advance(6000);
    const lines = fleet.lines.filter(({ kind, outcome }) => kind === 'quotaChanged' && outcome.endsWith('its quota'));
    expect(lines.map(({ host: at, outcome }) => `${at} ${outcome}`)).toEqual([
      `${host} beyond its quota`,
      `${host} inside its quota`,
    ]);
  });
});

describe('quotas without a limit', () => {
  it('should send no frames, link no further hosts and have no metrics', async () => {
    const many = buildQuotaHosts(36);
    const fleet = createQuotaFleet({ hosts: many, organisations: [{ name: 'acme', keys: ['k-acme'] }] });
    fleet.sendFor('acme', 'h1');
    fleet.clock.advance(100);
    expect(fleet.arrivals.size).toEqual(1);
    const frames = fleet.links.delivered.filter(({ frame }) => frame.type.startsWith('quota'));
    expect(frames).toEqual([]);
    for (const { board } of fleet.nodes.values()) {
      const { isActive, candidates, byOrganisation, lender } = board.read('quotas');
      expect([isActive, candidates.length, byOrganisation.size, lender.nextAsk]).toEqual([false, 0, 0, 0]);
      expect(Math.max(...[...board.read('links').byHost.values()].map(({ takesRuns }) => Number(!takesRuns)))).toEqual(
        0,
      );
    }
    const text = await createRequestMetrics(readNode(fleet, 'h1').board, createDurationMetrics()).renderText();
    expect(text.includes('quota')).toEqual(false);
  });
});

describe('a host that has no limits yet', () => {
  // Guards against an allocator that is given up since its configuration comes later than that of the others.
  it('should respond to an ask without granting anything', () => {
    const fleet = createQuotaFleet({ hosts, organisations: [{ name: 'acme', keys: ['k-acme'] }] });
    const grants: QuotaGrantFrame[] = [];
    const wants = [{ organisation: 'acme', count: 1, ahead: 0 }];
    readNode(fleet, 'h1').board.post('quotas', {
      type: 'ask',
      host: 'h2',
      frame: { type: 'quotaAsk', ask: 0, incarnation: 'p', wants },
      respond: (grant) => grants.push(grant),
    });
    expect(grants.map(({ isReturned, grants: [grant] }) => [isReturned, grant?.tokens, grant?.waitMs])).toEqual([
      [false, 0, 50],
    ]);
  });
});

describe('cost of quotas', () => {
  it('should be a few messages a second and host with 61 hosts and 72 organisations', (test) => {
    const organisations = Array.from({ length: 72 }, (_, index) =>
      buildOrganisation(`o${index}`, index < 4 ? 80 : 4, 8),
    );
    const fleet = createQuotaFleet({ hosts: buildQuotaHosts(61), organisations });
    const durationMs = 3000;
    organisations.forEach(({ name, ratePerSecond = 0 }, index) => {
      const chooseHost = (random: number): string => `h${(index * 7 + Math.floor(4 * random)) % 61}`;
      fleet.sendLoad({ organisation: name, perSecond: ratePerSecond / 1.6, durationMs, chooseHost });
    });
    fleet.links.delivered.length = 0;
    fleet.clock.advance(durationMs);
    const allocator = fleet.findAllocator();
    const frames = fleet.links.delivered.filter(({ frame }) => frame.type.startsWith('quota'));
    const atAllocator = frames.filter(({ from, to }) => from === allocator || to === allocator);
    const perHost = frames.length / 61 / (durationMs / 1000);
    test.diagnostic(`${perHost.toFixed(1)} messages a second and host for ${fleet.requests.length / 3} requests/s`);
    expect(atAllocator.length).toEqual(frames.length);
    expect(perHost).toBeLessThanOrEqual(20);
    expect(fleet.requests.filter(({ sent }) => sent.refusal !== undefined)).toEqual([]);
    // Links that only carry quotas must not attract requests.
    for (const { board } of fleet.nodes.values())
      for (const { host, takesRuns, outstanding } of board.read('links').byHost.values())
        expect(takesRuns || (outstanding === 0 && board.read('quotas').candidates.includes(host))).toEqual(true);
  });
});

/** Renders the settings as the platform does: sections for present values, then values as JSON. */
function renderSettings(values: Record<string, unknown>): Record<string, unknown> {
  const read = (path: string): unknown =>
    path.split('.').reduce<unknown>((value, name) => (value as Record<string, unknown> | undefined)?.[name], values);
  const text = readFileSync('deploy/settings.json', 'utf8')
    .replaceAll(/\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, path: string, body: string) =>
      ['number', 'string'].includes(typeof read(path)) ? body : '',
    )
    .replaceAll(/\{\{([\w.]+)\|json\}\}/g, (_, path: string) => JSON.stringify(read(path) ?? 0))
    .replaceAll(/\{\{[\w.]+\}\}/g, '1');
  return JSON.parse(text) as Record<string, unknown>;
}

describe('settings of quotas', () => {
  const bounds = { drain: 1, grace: 1, config_apply: 1, budget_ratio: 1, budget_extra: 1, budget_window: 1 };

  it('should be taken from the bounds, also where the excess is 0', () => {
    const rendered = renderSettings({ bounds: { ...bounds, quota_window: 5, quota_excess: 0, quota_slack: 20 } });
    expect(rendered.bounds).toEqual(expect.subset({ quotaWindowSeconds: 5, quotaExcess: 0, quotaSlack: 20 }));
  });

  it('should be absent where the bounds are absent', () => {
    expect(Object.keys(renderSettings({ bounds }).bounds as object).filter((name) => name.startsWith('quota'))).toEqual(
      [],
    );
  });
});
