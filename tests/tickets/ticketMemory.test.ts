import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { ControllerContext } from '../../src/control/context.js';
import { createSections } from '../../src/control/sections.js';
import type { NodeBoard, Posts, Sections } from '../../src/control/sections.js';
import { createTicketController, ticketMemoryDefaults } from '../../src/control/ticketController.js';
import { createBoard } from '../../src/core/blackboard.js';
import { createFakeClock } from '../../src/core/fakeClock.js';
import type { FakeClock } from '../../src/core/fakeClock.js';
import { parseTicket, resolveTicket } from '../../src/policy/ticket.js';
import { createCallFailure } from '../../src/schema/failure.js';
import type { TicketOutcome } from '../../src/schema/state.js';

interface Setup {
  board: NodeBoard;
  clock: FakeClock;
  /** Issues a ticket, starts its request, records the outcome if one is given, and returns the ticket. */
  runTicket(outcome?: TicketOutcome): string;
  issue(): string;
  /** Returns the decision type for a request with this ticket, or the failure kind if it is refused. */
  resolve(ticket: string): string;
}

function createSetup(options: Partial<typeof ticketMemoryDefaults> = {}): Setup {
  const clock = createFakeClock();
  const board = createBoard<Sections, Posts>(createSections({} as Sections['members']['self']));
  const computeTicketMac = (text: string): string => `m${text.length}`;
  const context = { board, clock, computeTicketMac, generateToken: () => 'i1', settings: { host: 'h1' } };
  createTicketController(context as unknown as ControllerContext, options).start();
  const issue = (): string => {
    const taken: string[] = [];
    board.post('tickets', { type: 'issue', count: 1, take: (tickets) => taken.push(...tickets) });
    return taken[0] ?? '';
  };
  return {
    board,
    clock,
    issue,
    runTicket: (outcome) => {
      const ticket = issue();
      const counter = parseTicket(ticket)?.counter ?? -1;
      board.post('tickets', { type: 'started', counter, fingerprint: 'f' });
      if (outcome !== undefined) board.post('tickets', { type: 'finished', counter, outcome });
      return ticket;
    },
    resolve: (text) => {
      const ticket = parseTicket(text);
      if (ticket === undefined) return 'not a ticket';
      const decision = resolveTicket(board.read('tickets'), ticket, 'f', computeTicketMac);
      return decision.type === 'refuse' ? decision.failure.kind : decision.type;
    },
  };
}

const buildAnswer = (bytes: number): TicketOutcome => ({
  type: 'ran',
  status: 200,
  contentType: 'text/plain',
  body: new Uint8Array(bytes),
});

describe('ticket records', () => {
  it('should decide by the stored record of a ticket', () => {
    const { runTicket, issue, resolve } = createSetup();
    expect(resolve(issue())).toEqual('run');
    expect(resolve(runTicket())).toEqual('join');
    expect(resolve(runTicket(buildAnswer(1)))).toEqual('repeat');
    expect(resolve(runTicket({ type: 'failed', failure: createCallFailure('connectionLost', '') }))).toEqual('repeat');
    expect(resolve(runTicket({ type: 'notRun' }))).toEqual('run');
  });

  it('should refuse tickets without a record below the low-water mark, so that an evicted one never runs again', () => {
    const { runTicket, issue, resolve } = createSetup({ maxRecords: 2 });
    const unused = issue();
    const tickets = [runTicket(buildAnswer(1)), runTicket(buildAnswer(1)), runTicket(buildAnswer(1))];
    expect(tickets.map(resolve)).toEqual(['ticketUnknown', 'repeat', 'repeat']);
    expect(resolve(unused)).toEqual('ticketUnknown');
    expect(resolve(issue())).toEqual('run');
  });

  it('should evict a record after 10 min and refuse its ticket from then on', () => {
    const { clock, runTicket, resolve } = createSetup();
    const ran = runTicket(buildAnswer(1));
    const running = runTicket();
    clock.advance(ticketMemoryDefaults.retentionMs - 2000);
    expect(resolve(ran)).toEqual('repeat');
    clock.advance(4000);
    expect([ran, running].map(resolve)).toEqual(['ticketUnknown', 'join']);
  });

  it('should run a ticket whose request did not run, even after its record expired', () => {
    const { clock, runTicket, resolve } = createSetup();
    const ticket = runTicket({ type: 'notRun' });
    clock.advance(ticketMemoryDefaults.retentionMs + 2000);
    expect(resolve(ticket)).toEqual('run');
  });

  it('should evict the oldest answers at the memory limit and keep unused tickets valid', () => {
    const { board, runTicket, issue, resolve } = createSetup({ maxBytes: 10_000 });
    const unused = issue();
    const tickets = [runTicket(buildAnswer(4000)), runTicket(buildAnswer(4000)), runTicket(buildAnswer(4000))];
    expect(tickets.map(resolve)).toEqual(['ticketUnknown', 'repeat', 'repeat']);
    expect(resolve(unused)).toEqual('run');
    expect(board.read('tickets').bytes).toBeLessThanOrEqual(10_000);
  });

  it('should refuse a forged ticket and one from an earlier start of the process', () => {
    const { issue, resolve } = createSetup();
    expect(resolve(issue().replace(/m\d+$/, 'm0'))).toEqual('ticketInvalid');
    expect(resolve(issue().replace(':i1:', ':i0:'))).toEqual('ticketUnknown');
  });
});
