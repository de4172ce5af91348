import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { FakeFleet, FakeHost } from '../../src/bench/fakes/fakeFleet.js';
import { buildOrderCall, createOrderFleet, describeOrderResult } from '../../src/bench/fakes/orderFleet.js';
import type { CancelCall } from '../../src/control/calls.js';
import type { CallerCall, TargetRequest } from '../../src/schema/call.js';

interface Setup {
  fleet: FakeFleet;
  starts: { host: string; request: TargetRequest }[];
  results: string[];
  /** Sends a request from an external caller; the returned function closes the caller's connection. */
  send(host: string, operation: string, options?: Partial<CallerCall>): CancelCall;
  listBusyHosts(): string[];
  countOpenCalls(): number;
}

function createSetup(options: { meanMs?: number; hostsPerService?: number; slots?: number } = {}): Setup {
  const starts: Setup['starts'] = [];
  const results: string[] = [];
  const fleet = createOrderFleet({
    seed: 5,
    dataCenters: ['d1'],
    meanMs: 100,
    distribution: 'constant',
    hostsPerService: 1,
    ...options,
    onRun: (host, request) => starts.push({ host, request }),
  });
  fleet.clock.advance(3000);
  const countCallsOfHost = ({ node }: FakeHost): number => {
    const { dispatched, forwarded, homeRuns, incoming, remote, running } = node.board.read('calls');
    return dispatched.size + forwarded.size + homeRuns.size + incoming.size + remote.size + running.size;
  };
  return {
    fleet,
    starts,
    results,
    send: (host, operation, callOptions) =>
      fleet.hosts.get(host)?.node.handleCallerCall(buildOrderCall(operation, 'a', callOptions), (result) => {
        results.push(describeOrderResult(result));
      }) ?? ((): void => undefined),
    listBusyHosts: () =>
      [...fleet.hosts.values()].filter(({ target }) => (target?.busySlots ?? 0) > 0).map((host) => host.options.host),
    countOpenCalls: () => [...fleet.hosts.values()].reduce((sum, host) => sum + countCallsOfHost(host), 0),
  };
}

describe('cancellation', () => {
  for (const operation of ['browse', 'order']) {
    it(`should cancel ${operation} at every depth when the caller disconnects`, () => {
      const { fleet, results, send, listBusyHosts, countOpenCalls } = createSetup({ hostsPerService: 2 });
      const cancel = send('d1-stock2', operation);
      fleet.clock.advance(150);
      expect(listBusyHosts().length).toEqual(2);
      cancel();
      fleet.clock.advance(5);
      expect(listBusyHosts()).toEqual([]);
      expect(countOpenCalls()).toEqual(0);
      fleet.clock.advance(2000);
      expect(results).toEqual([]);
    });
  }

  it('should remove a waiting call from the queue of another node when the caller disconnects', () => {
    const { fleet, starts, send, countOpenCalls } = createSetup({ slots: 1 });
    for (let count = 0; count < 40; count++) send('d1-stock1', 'browse');
    const cancel = send('d1-stock1', 'browse', { body: new TextEncoder().encode('cancelled') });
    fleet.clock.advance(5);
    cancel();
    fleet.clock.advance(10_000);
    expect(starts.filter(({ request }) => new TextDecoder().decode(request.body) === 'cancelled')).toEqual([]);
    expect(countOpenCalls()).toEqual(0);
  });

  it('should cancel a request when its entry node crashes', () => {
    const { fleet, send, listBusyHosts } = createSetup({ hostsPerService: 2 });
    send('d1-stock2', 'browse');
    fleet.clock.advance(50);
    expect(listBusyHosts().length).toEqual(1);
    fleet.killHost('d1-stock2');
    fleet.clock.advance(5);
    expect(listBusyHosts()).toEqual([]);
  });

  it('should cancel downstream calls when the target that made them crashes', () => {
    const { fleet, send, listBusyHosts } = createSetup();
    send('d1-stock1', 'order');
    fleet.clock.advance(150);
    expect(listBusyHosts()).toEqual(['d1-shop1', 'd1-stock1']);
    fleet.hosts.get('d1-shop1')?.target?.crash();
    fleet.clock.advance(5);
    expect(listBusyHosts()).toEqual([]);
  });
});

describe('deadlines', () => {
  it('should end a request at its deadline and cancel its work at every depth', () => {
    const { fleet, results, send, listBusyHosts, countOpenCalls } = createSetup();
    send('d1-stock1', 'browse', { deadlineMs: 150 });
    fleet.clock.advance(145);
    expect(listBusyHosts()).toEqual(['d1-shop1', 'd1-stock1']);
    fleet.clock.advance(15);
    expect(results).toEqual(['deadlineExceeded ran unknown']);
    expect(listBusyHosts()).toEqual([]);
    expect(countOpenCalls()).toEqual(0);
  });

  it('should give each hop less time than its caller has left', () => {
    const { fleet, starts, send } = createSetup();
    send('d1-stock1', 'browse', { deadlineMs: 400 });
    fleet.clock.advance(400);
    const [first = Infinity, second = Infinity] = starts.map(({ request }) => request.deadlineMs);
    expect(starts.length).toEqual(2);
    expect(first).toBeLessThanOrEqual(400);
    expect(second).toBeLessThanOrEqual(first - 100);
  });

  it('should drop and count a reply that arrives after the deadline', () => {
    const { fleet, results, send } = createSetup();
    fleet.network.dropFrames('cancel', 10);
    send('d1-stock1', 'browse', { deadlineMs: 50 });
    fleet.clock.advance(2000);
    expect(results).toEqual(['deadlineExceeded ran unknown']);
    expect(fleet.hosts.get('d1-stock1')?.node.board.read('calls').lateReplies).toEqual(1);
  });
});

describe('the ran field of a failure', () => {
  it('should be "unknown" if an earlier attempt may have run', () => {
    const { fleet, starts, results, send } = createSetup({ hostsPerService: 2 });
    send('d1-stock1', 'browse');
    fleet.clock.advance(50);
    const first = starts[0]?.host ?? '';
    const other = first === 'd1-shop1' ? 'd1-shop2' : 'd1-shop1';
    fleet.hosts.get(other)?.target?.crash();
    fleet.killHost(first);
    fleet.clock.advance(1500);
    expect(starts.length).toEqual(1);
    expect(results).toEqual(['targetUnreachable ran unknown']);
  });
});
