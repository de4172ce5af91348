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
  /** Issues a ticket, runs it to an outcome, and returns it. */
  use(outcome?: TicketOutcome): string;
  issue(): string;
  /** What a request with this ticket gets: the type of the decision, or the kind of the refusal. */
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
    use: (outcome) => {
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

describe('ticket memory', () => {
  it('should decide by what is remembered of a ticket', () => {
    const { use, issue, resolve } = createSetup();
    expect(resolve(issue())).toEqual('run');
    expect(resolve(use())).toEqual('join');
    expect(resolve(use(buildAnswer(1)))).toEqual('repeat');
    expect(resolve(use({ type: 'failed', failure: createCallFailure('connectionLost', '') }))).toEqual('repeat');
    expect(resolve(use({ type: 'notRun' }))).toEqual('run');
  });

  it('should answer unknown below the low-water mark, so that a forgotten ticket never runs again', () => {
    const { use, issue, resolve } = createSetup({ maxRecords: 2 });
    const unused = issue();
    const tickets = [use(buildAnswer(1)), use(buildAnswer(1)), use(buildAnswer(1))];
    expect(tickets.map(resolve)).toEqual(['ticketUnknown', 'repeat', 'repeat']);
    expect(resolve(unused)).toEqual('ticketUnknown');
    expect(resolve(issue())).toEqual('run');
  });

  it('should forget a record after 10 min, but not that it existed', () => {
    const { clock, use, resolve } = createSetup();
    const ran = use(buildAnswer(1));
    const running = use();
    clock.advance(ticketMemoryDefaults.retentionMs - 2000);
    expect(resolve(ran)).toEqual('repeat');
    clock.advance(4000);
    expect([ran, running].map(resolve)).toEqual(['ticketUnknown', 'join']);
  });

  it('should run a ticket whose request did not run, also after its record is gone', () => {
    const { clock, use, resolve } = createSetup();
    const ticket = use({ type: 'notRun' });
    clock.advance(ticketMemoryDefaults.retentionMs + 2000);
    expect(resolve(ticket)).toEqual('run');
  });

  it('should drop the oldest answers at the bound of bytes and keep unused tickets valid', () => {
    const { board, use, issue, resolve } = createSetup({ maxBytes: 10_000 });
    const unused = issue();
    const tickets = [use(buildAnswer(4000)), use(buildAnswer(4000)), use(buildAnswer(4000))];
    expect(tickets.map(resolve)).toEqual(['ticketUnknown', 'repeat', 'repeat']);
    expect(resolve(unused)).toEqual('run');
    expect(board.read('tickets').bytes).toBeLessThanOrEqual(10_000);
  });

  it('should refuse a forged ticket and one of an earlier start of the process', () => {
    const { issue, resolve } = createSetup();
    expect(resolve(issue().replace(/m\d+$/, 'm0'))).toEqual('ticketInvalid');
    expect(resolve(issue().replace(':i1:', ':i0:'))).toEqual('ticketUnknown');
  });
});
