import { beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import type { LinkConnection } from '../../src/control/requests/context.js';
import type { ClientRequest } from '../../src/control/requests/entry.js';
import type { RequestNode } from '../../src/node/createRequestNode.js';
import { FailureError } from '../../src/schema/failure.js';
import type { LinkFrame } from '../../src/schema/linkFrame.js';
import type { NodeMember } from '../../src/schema/nodeMember.js';
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

function buildRequest(): ClientRequest {
  return {
    requestId: 'r',
    method: 'GET',
    path: '/check/1',
    headers: [],
    identityHeaders: [],
    key: undefined,
    timeLeftMs: 1000,
    isExcess: false,
    body: undefined,
    isStreamed: false,
    host: 'shop.example',
  };
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
    const request = buildRequest();
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

  /** Sends a request whose answer throws when it is passed on to the client. */
  function sendWithFaultyReply(): { isAborted: boolean } {
    const client = { isAborted: false };
    const reply = {
      answer: injectFault,
      part: injectFault,
      abort: () => (client.isAborted = true),
      grantBody: injectFault,
      refuse: injectFault,
    };
    node.acceptRequest(buildRequest(), reply);
    fleet.clock.advance(100);
    return client;
  }

  // Guards against a client that gets neither an answer nor the end of its connection.
  it('should close the connection of a request whose answer cannot be passed on', () => {
    expect(sendWithFaultyReply()).toEqual({ isAborted: true });
    verifyService();
  });

  // Guards against a run that holds its slot until the deadline of a request that has ended.
  it('should cancel the run of a request whose streamed answer cannot be passed on', () => {
    const target = getTarget(fleet, 'a1');
    target.respond = (_send, events) => {
      fleet.clock.schedule(5, () => {
        events.answer({ status: 200, headers: [], body: Buffer.alloc(0), isStreamed: true });
      });
      return 'handled';
    };
    expect(sendWithFaultyReply()).toEqual({ isAborted: true });
    target.respond = () => 'answer';
    verifyService();
  });

  // Guards against a count of open requests that never returns to 0, so that the node waits for them when it stops.
  it('should not count a request as open whose acceptance throws', () => {
    let isFaulty = false;
    fleet = createRequestFleet({
      hosts,
      configuration,
      wrapClock: (_host, clock) => ({
        ...clock,
        schedule: (delayMs, run) => (isFaulty ? injectFault() : clock.schedule(delayMs, run)),
      }),
    });
    isFaulty = true;
    const sent = fleet.send('a1');
    isFaulty = false;
    fleet.clock.advance(2000);
    expect(sent.refusal?.kind).toEqual('failed');
    node = fleet.nodes.get('a1') as RequestNode;
    verifyService();
  });

  // Guards against a request whose sender waits until its deadline, since the error closed the link but did not end the run.
  it('should end a run of another node whose acceptance throws', () => {
    const self = fleet.nodes.get('a2')?.board.read('members').self;
    const member = { ...self, host: 'a3', linkAddress: '10.0.0.9:7000' } as NodeMember;
    const frames: LinkFrame[] = [];
    const connection: LinkConnection = {
      send: (frame) => frames.push(frame),
      bufferedBytes: 0,
      close: () => undefined,
    };
    const hello = { type: 'hello', to: 'a1', member, lane: 'routine' } as const;
    const first = node.acceptLink(connection);
    first.receive({ ...hello, pending: [] });
    first.receive({ type: 'run', id: 7, request: Object.defineProperty({}, 'service', { get: injectFault }) as never });
    node.acceptLink(connection).receive({ ...hello, pending: [7] });
    const outcome = frames.find((frame) => frame.type === 'failed');
    expect([outcome?.id, outcome?.failure.ran]).toEqual([7, 'unknown']);
  });

  // Guards against an acknowledged leave that a restarted node does not know of.
  it('should not acknowledge a repeated draining heartbeat before it is published', () => {
    const target = getTarget(fleet, 'a1');
    target.state = 'draining';
    const stop = node.board.subscribe('target', injectFault);
    expect(fleet.sendHeartbeat('a1')).toEqual(false);
    stop();
    expect(fleet.sendHeartbeat('a1')).toEqual(true);
    const record = fleet.store.records.members.filter(({ key }) => key === 'a1').at(-1)?.value as NodeMember;
    expect(record.target?.phase).toEqual('draining');
  });
});
