import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { AcceptedLinkEvents } from '../../src/control/requests/context.js';
import type { RequestNode } from '../../src/node/createRequestNode.js';
import type { NodeMember } from '../../src/schema/nodeMember.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet, getTarget } from '../fixtures/requestFleet.js';
import type { FleetHost, RequestFleet, SentRequest } from '../fixtures/requestFleet.js';

const configuration = buildRouteConfiguration(1, [buildRoute('check', 'stock')]);
const hosts: FleetHost[] = [
  { host: 'a1', dataCenter: 'd1', service: 'orders' },
  { host: 'a2', dataCenter: 'd1', service: 'stock' },
];

function listDisconnects(fleet: RequestFleet): unknown[] {
  return fleet.lines.filter(({ kind, outcome }) => kind === 'linkChanged' && outcome === 'down');
}

describe('links between nodes', () => {
  // Guards against links that are gone and still count, or that stay open though their peer has another one or was never named.
  it('should count only the links that are in use', () => {
    const fleet = createRequestFleet({ hosts, configuration });
    fleet.clock.advance(1000);
    const node = fleet.nodes.get('a2') as RequestNode;
    const { self } = (fleet.nodes.get('a1') as RequestNode).board.read('members');
    const listCounts = () => [...node.linkCounts.values()].map(({ connections }) => connections.size);
    const [, before = 0] = listCounts();
    const member = { ...(self as NodeMember), host: 'b1' };
    const closed: string[] = [];
    const openLink = (name: string): AcceptedLinkEvents =>
      node.acceptLink({ send: () => undefined, bufferedBytes: 0, close: () => closed.push(name) });
    const hello = { type: 'hello' as const, member, lane: 'routine' as const, pending: [] };
    openLink('replaced').receive({ ...hello, to: 'a2' });
    openLink('current').receive({ ...hello, to: 'a2' });
    openLink('misdirected').receive({ ...hello, to: 'a3' });
    openLink('unnamed').receive({ type: 'pull', what: 'members' });
    openLink('silent');
    expect([closed, listCounts()]).toEqual([
      ['replaced', 'unnamed'],
      [2, before + 1],
    ]);
    fleet.clock.advance(6000);
    expect([closed.slice(2), listCounts()[0]]).toEqual([['misdirected', 'silent'], 0]);
    const lines = fleet.lines.filter(({ outcome }) => outcome === 'accepted connections without a peer closed');
    expect(lines.slice(-2).map(({ inputs }) => [inputs?.['count'], inputs?.['detail']])).toEqual([
      [1, 'received a pull frame before the hello'],
      [2, 'no accepted hello within 5000 ms'],
    ]);
  });

  it('should deliver the answer of a request whose connection is reset while it runs', () => {
    const fleet = createRequestFleet({ hosts, configuration });
    const sent = fleet.send('a1');
    fleet.clock.advance(10);
    fleet.links.reset('a1', 'a2');
    fleet.clock.advance(100);
    expect(Buffer.from(sent.answer?.body ?? []).toString()).toEqual('i-a2:r1');
    expect(fleet.targets.get('a2')?.ran).toEqual(['r1']);
  });

  // Guards against the middle of an answer reaching a client that never got its head.
  for (const isIdempotent of [true, false]) {
    it(`should not resume a streamed answer whose head was lost with the connection, idempotent: ${isIdempotent}`, () => {
      const route = buildRoute('check', 'stock', { isIdempotent, timeoutMs: 5000 });
      const fleet = createRequestFleet({ hosts, configuration: buildRouteConfiguration(1, [route]) });
      getTarget(fleet, 'a2').respond = (_send, events) => {
        fleet.clock.schedule(50, () => {
          events.answer({ status: 200, headers: [], body: Buffer.from('first'), isStreamed: true });
        });
        fleet.clock.schedule(1500, () => {
          events.part(Buffer.from('second'), true);
        });
        return 'handled';
      };
      const sent = fleet.send('a1', { timeLeftMs: 5000 });
      fleet.clock.advance(10);
      fleet.links.discardFrames('a1', 'a2');
      fleet.clock.advance(3000);
      expect([sent.answer, sent.parts, sent.refusal?.kind]).toEqual([undefined, [], 'failed']);
    });
  }

  // Guards against the reconnect timer of the first disconnection expiring during the second one.
  it('should not cancel a running request when its connection is reset twice within a second', () => {
    const fleet = createRequestFleet({
      hosts,
      configuration: buildRouteConfiguration(1, [buildRoute('check', 'stock', { timeoutMs: 5000 })]),
    });
    const target = fleet.targets.get('a2');
    if (target !== undefined) target.durationMs = 1500;
    const sent = fleet.send('a1', { timeLeftMs: 5000 });
    fleet.clock.advance(10);
    fleet.links.reset('a1', 'a2');
    fleet.clock.advance(995);
    fleet.links.reset('a1', 'a2');
    fleet.clock.advance(2000);
    expect(sent.answer?.status).toEqual(200);
  });

  it('should run a request only once when its answer is lost with the connection', () => {
    const fleet = createRequestFleet({ hosts, configuration });
    const sent = fleet.send('a1');
    fleet.clock.advance(21.5);
    fleet.links.reset('a1', 'a2');
    fleet.clock.advance(100);
    expect(sent.answer?.status).toEqual(200);
    expect(fleet.targets.get('a2')?.ran).toEqual(['r1']);
  });

  it('should replace an unresponsive connection and continue its requests', () => {
    const fleet = createRequestFleet({
      hosts,
      configuration: buildRouteConfiguration(1, [buildRoute('check', 'stock', { timeoutMs: 5000 })]),
    });
    fleet.links.discardFrames('a1', 'a2');
    const sent = fleet.send('a1', { timeLeftMs: 5000 });
    fleet.clock.advance(1500);
    expect(sent.answer?.status ?? sent.refusal?.kind).toEqual(200);
  });

  // Guards against links to two host names at one address replacing each other forever.
  it('should stay up when a new host takes over the address of a removed one', () => {
    const reused: FleetHost[] = [
      ...hosts,
      { host: 'a3', dataCenter: 'd1', service: 'stock', linkAddress: '10.0.0.9:7000' },
    ];
    const fleet = createRequestFleet({ hosts: reused, configuration });
    fleet.killNode('a3');
    fleet.targets.delete('a3');
    fleet.clock.advance(500);
    fleet.startNode('a4', { linkListen: '10.0.0.9:7000' });
    fleet.clock.advance(3000);
    const before = listDisconnects(fleet).length;
    fleet.clock.advance(5000);
    expect(listDisconnects(fleet).length - before).toEqual(0);
    expect([...(fleet.nodes.get('a1')?.board.read('links').byHost.keys() ?? [])].sort()).toEqual(['a2', 'a4']);
    expect(fleet.store.records.members.filter(({ key }) => key === 'a3').at(-1)?.value).toEqual(undefined);
  });

  describe('when the number of a request is used again', () => {
    const orders = buildRouteConfiguration(1, [buildRoute('check', 'stock', { isIdempotent: false, timeoutMs: 5000 })]);

    function sendOrder(fleet: RequestFleet, durationMs: number): SentRequest {
      getTarget(fleet, 'a2').durationMs = durationMs;
      const sent = fleet.send('a1', { timeLeftMs: 5000 });
      fleet.clock.advance(5);
      return sent;
    }

    function readBody({ answer }: SentRequest): string {
      return Buffer.from(answer?.body ?? []).toString();
    }

    // Guards against the answer of a request whose sender was killed reaching a request of the restarted sender.
    it('should answer a request of a restarted sender with its own answer', () => {
      const fleet = createRequestFleet({ hosts, configuration: orders });
      sendOrder(fleet, 800);
      fleet.killNode('a1');
      fleet.startNode('a1');
      fleet.clock.advance(500);
      const own = sendOrder(fleet, 1500);
      fleet.clock.advance(3000);
      expect(readBody(own)).toEqual('i-a2:r2');
      const discarded = fleet.lines.filter(({ outcome }) => outcome === 'outcome discarded');
      expect(discarded.map(({ id }) => id)).toEqual(['r1']);
    });

    // Guards against the same mix-up within one process, whose link to a peer was closed and opened again.
    it('should answer a request on a link that was opened anew with its own answer', () => {
      const fleet = createRequestFleet({ hosts, configuration: orders });
      const first = sendOrder(fleet, 2500);
      fleet.store.write('operator', 'a2', undefined, () => undefined);
      fleet.clock.advance(2000);
      const own = sendOrder(fleet, 1500);
      fleet.clock.advance(3000);
      expect([first.refusal?.kind, readBody(own)]).toEqual(['failed', 'i-a2:r2']);
    });

    // Guards against an outcome that was kept for a closed link being sent for a request of the one that replaced it.
    it('should not resume a request with the kept answer of an earlier link', () => {
      const fleet = createRequestFleet({ hosts, configuration: orders });
      const first = sendOrder(fleet, 20);
      fleet.clock.advance(100);
      fleet.store.write('operator', 'a2', undefined, () => undefined);
      fleet.clock.advance(1200);
      const own = fleet.send('a1', { timeLeftMs: 5000 });
      fleet.links.reset('a1', 'a2');
      fleet.clock.advance(2000);
      expect([readBody(first), readBody(own)]).toEqual(['i-a2:r1', 'i-a2:r2']);
    });
  });
});
