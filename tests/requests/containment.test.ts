import { beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import type { LinkConnection } from '../../src/control/requests/context.js';
import type { RequestNode } from '../../src/node/createRequestNode.js';
import { FailureError } from '../../src/schema/failure.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet, getTarget } from '../fixtures/requestFleet.js';
import type { RequestFleet } from '../fixtures/requestFleet.js';

const hosts = [
  { host: 'a1', dataCenter: 'd1', service: 'stock' },
  { host: 'a2', dataCenter: 'd1', service: 'orders' },
];
const configuration = buildRouteConfiguration(1, [buildRoute('check', 'stock', { maxAttempts: 1 })]);

function injectFault(): never {
  throw new FailureError({ kind: 'usage', message: 'injected' });
}

/** Guards against one throw in the handling of outside input that ends the process, or that keeps what it occupied. */
describe('an error in one unit of work', () => {
  let fleet: RequestFleet;
  let node: RequestNode;
  beforeEach(() => {
    fleet = createRequestFleet({ hosts, configuration });
    node = fleet.nodes.get('a1') as RequestNode;
  });

  function verifyService(): void {
    for (const host of ['a1', 'a2']) {
      const sent = fleet.send(host);
      fleet.clock.advance(200);
      expect(sent.answer?.status).toEqual(200);
    }
    const { running, queue } = node.board.read('runs');
    expect([node.board.read('entries').open, running.size, queue.length]).toEqual([0, 0, 0]);
  }
  const countFaults = (fault: string): number => node.board.read('decisions').faults.get(fault) ?? 0;

  for (const host of ['a1', 'a2']) {
    it(`should fail only the request whose sending to the target throws, sent at ${host}`, () => {
      const target = getTarget(fleet, 'a1');
      target.respond = injectFault;
      const sent = fleet.send(host);
      fleet.clock.advance(200);
      expect(sent.refusal?.kind).toEqual('failed');
      expect(countFaults('error in a run')).toEqual(1);
      target.respond = () => 'answer';
      verifyService();
    });
  }

  it('should fail only the run whose answer is handled with an error', () => {
    const target = getTarget(fleet, 'a1');
    target.respond = (_send, events) => {
      fleet.clock.schedule(5, () => {
        const answer = { status: 200, headers: [], body: Buffer.alloc(0), isStreamed: false };
        events.answer(Object.defineProperty(answer, 'status', { get: injectFault }));
      });
      return 'handled';
    };
    const sent = fleet.send('a1');
    fleet.clock.advance(200);
    expect(sent.refusal?.kind).toEqual('failed');
    target.respond = () => 'answer';
    verifyService();
  });

  it('should fail only the request whose head is handled with an error', () => {
    let refused = '';
    const request = {
      requestId: 'r',
      method: 'GET',
      path: '/check/1',
      headers: [],
      identityHeaders: [],
      key: undefined,
      timeLeftMs: 1000,
      body: undefined,
      isStreamed: false,
      host: '',
    };
    const reply = {
      answer: injectFault,
      part: injectFault,
      abort: injectFault,
      grantBody: injectFault,
      refuse: ({ kind }: { kind: string }) => (refused = kind),
    };
    // The log line of the refusal names the host, which must not fail again.
    let failures = 0;
    Object.defineProperty(request, 'host', { get: () => (failures++ === 0 ? injectFault() : 'shop.example') });
    node.acceptRequest(request, reply);
    expect(refused).toEqual('failed');
    expect(countFaults('error in a request')).toEqual(1);
    verifyService();
  });

  it('should close only the link whose frame is handled with an error', () => {
    let isClosed = false;
    const connection: LinkConnection = { send: injectFault, bufferedBytes: 0, close: () => (isClosed = true) };
    const link = node.acceptLink(connection);
    const self = fleet.nodes.get('a2')?.board.read('members').self;
    const member = { ...self, host: 'a3', linkAddress: '10.0.0.9:7000' } as never;
    link.receive({ type: 'hello', to: 'a1', member, lane: 'routine', pending: [] });
    expect([isClosed, countFaults('error in a link frame')]).toEqual([true, 1]);
    fleet.clock.advance(1000);
    verifyService();
  });

  it('should not acknowledge a heartbeat that is handled with an error, and handle the next one', () => {
    const heartbeat = {
      service: 'stock',
      address: '127.0.0.1:9000',
      dataCenter: 'd1',
      slots: 4,
      state: 'ready' as const,
      sequence: 99,
      coldLeftMs: 0,
      startedAtMs: 1_600_000_000_000,
    };
    node.receiveHeartbeat('i-a1', heartbeat, injectFault);
    expect(countFaults('error in a heartbeat')).toEqual(1);
    let acknowledged = 0;
    node.receiveHeartbeat('i-a1', { ...heartbeat, sequence: 100 }, () => acknowledged++);
    expect(acknowledged).toEqual(1);
    verifyService();
  });
});
