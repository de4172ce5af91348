import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { FakeFleet } from '../../src/bench/fakes/fakeFleet.js';
import { buildOrderCall, createOrderFleet, describeOrderResult } from '../../src/bench/fakes/orderFleet.js';
import type { CancelCall } from '../../src/control/calls.js';
import type { CallResult } from '../../src/schema/call.js';

interface Setup {
  fleet: FakeFleet;
  /** Bodies of the orders that ran at a target. */
  runs: string[];
  results: CallResult[];
  send(host: string, body: string, ticket?: string, operation?: string): CancelCall;
  issueTicket(host: string): string;
  listResults(): string[];
}

function createSetup(options: { meanMs?: number; dataCenters?: string[] } = {}): Setup {
  const runs: string[] = [];
  const results: CallResult[] = [];
  const fleet = createOrderFleet({
    seed: 3,
    dataCenters: options.dataCenters ?? ['d1', 'd2'],
    meanMs: options.meanMs ?? 5,
    onRun: (_host, request) => {
      if (request.operation === 'order') runs.push(new TextDecoder().decode(request.body));
    },
  });
  fleet.clock.advance(3000);
  return {
    fleet,
    runs,
    results,
    send: (host, body, ticket, operation = 'order') =>
      fleet.hosts
        .get(host)
        ?.node.handleCallerCall(
          buildOrderCall(operation, body, ticket === undefined ? {} : { idempotencyKey: ticket }),
          (result) => results.push(result),
        ) ?? ((): void => undefined),
    issueTicket: (host) => fleet.hosts.get(host)?.node.issueTickets(1)[0] ?? '',
    listResults: () => results.map(describeOrderResult),
  };
}

describe('requests with tickets', () => {
  it('should run a resent request once and repeat its response at any node', () => {
    const { fleet, runs, send, issueTicket, listResults } = createSetup();
    const ticket = issueTicket('d1-shop1');
    for (const host of ['d1-shop1', 'd1-shop2', 'd2-stock1']) {
      send(host, 'a', ticket);
      fleet.clock.advance(500);
    }
    expect(runs).toEqual(['a']);
    expect(listResults()).toEqual(['200 a', '200 a', '200 a']);
  });

  it('should let a resend join the run in progress', () => {
    const { fleet, runs, send, issueTicket, listResults } = createSetup();
    const ticket = issueTicket('d1-shop1');
    send('d1-shop1', 'a', ticket);
    send('d2-shop1', 'a', ticket);
    send('d1-shop1', 'a', ticket);
    fleet.clock.advance(500);
    expect(runs).toEqual(['a']);
    expect(listResults()).toEqual(['200 a', '200 a', '200 a']);
  });

  it('should issue a ticket to a request without one and return it with the response', () => {
    const { fleet, runs, results, send, listResults } = createSetup();
    send('d1-shop1', 'a');
    fleet.clock.advance(500);
    send('d2-shop1', 'a', results[0]?.ticket ?? '');
    fleet.clock.advance(500);
    expect(runs).toEqual(['a']);
    expect(listResults()).toEqual(['200 a', '200 a']);
  });

  it('should refuse a key that is not a ticket and explain how to get one', () => {
    const { runs, results, send, issueTicket, listResults } = createSetup();
    send('d1-shop1', 'a', 'my-own-key');
    send('d1-shop1', 'a', `${issueTicket('d1-shop1')}x`);
    expect(listResults()).toEqual(['ticketInvalid ran no', 'ticketInvalid ran no']);
    for (const result of results) {
      expect(result.type === 'refusal' ? result.failure.message : '').toEqual(expect.includes('POST /v1/tickets'));
    }
    expect(runs).toEqual([]);
  });

  it('should refuse a ticket that was used for another body', () => {
    const { fleet, runs, send, issueTicket, listResults } = createSetup();
    const ticket = issueTicket('d1-shop1');
    send('d1-shop1', 'a', ticket);
    send('d2-shop1', 'b', ticket);
    fleet.clock.advance(500);
    send('d1-shop1', 'c', ticket);
    expect(runs).toEqual(['a']);
    expect(listResults().sort()).toEqual(['200 a', 'ticketMismatch ran no', 'ticketMismatch ran no']);
  });

  it('should run a resend of a request that was refused before it ran', () => {
    const { fleet, runs, send, issueTicket, listResults } = createSetup({ dataCenters: ['d1'] });
    const ticket = issueTicket('d1-stock1');
    for (const host of ['d1-shop1', 'd1-shop2']) fleet.hosts.get(host)?.target?.crash();
    send('d1-stock1', 'a', ticket);
    fleet.clock.advance(100);
    expect(listResults()).toEqual([expect.regex(/ran no$/)]);
    for (const host of ['d1-shop1', 'd1-shop2']) fleet.hosts.get(host)?.target?.restart();
    fleet.clock.advance(3000);
    send('d1-stock1', 'a', ticket);
    fleet.clock.advance(500);
    expect(runs).toEqual(['a']);
    expect(listResults()[1]).toEqual('200 a');
  });

  it('should report unknown when the home was killed or restarted, or is unreachable', () => {
    const { fleet, runs, send, issueTicket, listResults } = createSetup();
    const ticket = issueTicket('d1-shop1');
    send('d1-shop1', 'a', ticket);
    fleet.clock.advance(500);
    fleet.network.cut('d1', 'd2');
    send('d2-shop1', 'a', ticket);
    fleet.clock.advance(2000);
    fleet.network.heal('d1', 'd2');
    const options = fleet.hosts.get('d1-shop1')?.options;
    fleet.killHost('d1-shop1');
    fleet.clock.advance(100);
    send('d2-shop1', 'a', ticket);
    fleet.clock.advance(2000);
    if (options !== undefined) fleet.startHost(options);
    fleet.clock.advance(3000);
    send('d2-shop1', 'a', ticket);
    send('d1-shop1', 'a', ticket);
    fleet.clock.advance(2000);
    expect(runs).toEqual(['a']);
    expect(listResults()).toEqual([
      '200 a',
      'deadlineExceeded ran unknown',
      'ticketUnknown ran unknown',
      'ticketUnknown ran unknown',
      'ticketUnknown ran unknown',
    ]);
  });

  it('should keep the result for a resend after the caller disconnected', () => {
    const { fleet, runs, send, issueTicket, listResults } = createSetup();
    const ticket = issueTicket('d1-shop1');
    const cancel = send('d2-shop1', 'a', ticket);
    fleet.clock.advance(2);
    cancel();
    fleet.clock.advance(500);
    send('d2-shop1', 'a', ticket);
    fleet.clock.advance(500);
    expect(runs).toEqual(['a']);
    expect(listResults()).toEqual(['200 a']);
  });

  it('should not report a resent request as not run when only its home can know', () => {
    const { fleet, send, issueTicket, listResults } = createSetup();
    const ticket = issueTicket('d1-shop1');
    send('d2-shop1', 'a', ticket);
    fleet.clock.advance(500);
    fleet.hosts.get('d2-shop1')?.node.stop(() => undefined);
    send('d2-shop1', 'a', ticket);
    send('d2-shop1', 'a', ticket, 'noSuchOperation');
    expect(listResults()).toEqual(['200 a', 'stopping ran unknown', 'unknownOperation ran unknown']);
  });

  it('should repeat a response from a stopping home and refuse unused tickets there', () => {
    const { fleet, runs, send, issueTicket, listResults } = createSetup();
    const used = issueTicket('d1-shop1');
    const unused = issueTicket('d1-shop1');
    send('d1-shop1', 'a', used);
    fleet.clock.advance(500);
    fleet.hosts.get('d1-shop1')?.node.stop(() => undefined);
    send('d2-shop1', 'a', used);
    send('d2-shop1', 'b', unused);
    fleet.clock.advance(500);
    expect(listResults()).toEqual(['200 a', '200 a', 'stopping ran no']);
    expect(runs).toEqual(['a']);
  });
});
