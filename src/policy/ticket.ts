import { createCallFailure } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';
import type { TicketOutcome, TicketRecord } from '../schema/state.js';

/** A ticket names the process that alone decides about its request, and the place in that process's memory. */
export interface Ticket {
  /** Node id of the home. */
  home: string;
  /** Random text of one start of the home process. */
  incarnation: string;
  counter: number;
  mac: string;
}

/** Computes a keyed hash of a text; only the home process has the key. */
export type ComputeMac = (text: string) => string;

/** What a home process remembers of its tickets. */
export interface TicketMemory {
  readonly incarnation: string;
  /** Tickets below it that are not remembered may have run. */
  readonly lowWaterMark: number;
  readonly running: ReadonlyMap<number, { readonly fingerprint: string }>;
  readonly finished: ReadonlyMap<number, Pick<TicketRecord, 'fingerprint' | 'outcome'>>;
}

export type TicketDecision =
  | { type: 'run' }
  | { type: 'join' }
  | { type: 'repeat'; outcome: TicketOutcome & { type: 'ran' | 'failed' } }
  | { type: 'refuse'; failure: CallFailure };

const VERSION = 't1';
/** A host name has no colon, so that the parts cannot run into each other. */
const SEPARATOR = ':';
const COUNTER = /^[0-9a-z]{1,11}$/;
const HOST = /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,254}$/;

/**
 * Formats a ticket as the text that callers send in `idempotency-key`.
 *
 * @example
 * formatTicket({ home: 'h1', incarnation: 'x9', counter: 7 }, computeMac); // t1:h1:x9:7:q83v
 */
export function formatTicket(fields: Omit<Ticket, 'mac'>, computeMac: ComputeMac): string {
  const text = formatSigned(fields);
  return `${text}${SEPARATOR}${computeMac(text)}`;
}

/** Reads a ticket; undefined when the text is not one. Whether it is genuine, only its home can tell. */
export function parseTicket(text: string): Ticket | undefined {
  const [version, home = '', incarnation = '', counter = '', mac = '', ...rest] = text.split(SEPARATOR);
  if (version !== VERSION || rest.length > 0 || incarnation === '' || mac === '') return undefined;
  if (!HOST.test(home) || !COUNTER.test(counter)) return undefined;
  return { home, incarnation, counter: parseInt(counter, 36), mac };
}

/** True when the home's own key made this ticket. */
export function verifyTicket(ticket: Ticket, computeMac: ComputeMac): boolean {
  const expected = computeMac(formatSigned(ticket));
  if (expected.length !== ticket.mac.length) return false;
  let difference = 0;
  // All characters are compared, so that the time taken tells nothing about the expected text.
  for (let index = 0; index < expected.length; index++)
    difference |= expected.charCodeAt(index) ^ ticket.mac.charCodeAt(index);
  return difference === 0;
}

/** Decides at its home what a request with a ticket gets. */
export function resolveTicket(
  memory: TicketMemory,
  ticket: Ticket,
  fingerprint: string,
  computeMac: ComputeMac,
): TicketDecision {
  if (ticket.incarnation !== memory.incarnation) {
    return refuseUnknown(`node ${ticket.home} was restarted since it issued this ticket`);
  }
  if (!verifyTicket(ticket, computeMac)) {
    return { type: 'refuse', failure: createInvalidTicketFailure(`node ${ticket.home} did not issue this ticket`) };
  }
  const known = memory.running.get(ticket.counter) ?? memory.finished.get(ticket.counter);
  if (known === undefined) {
    if (ticket.counter >= memory.lowWaterMark) return { type: 'run' };
    return refuseUnknown(`node ${ticket.home} no longer remembers this ticket`);
  }
  if (known.fingerprint !== fingerprint) {
    const message = 'the ticket was used for another operation or body; use one ticket for each request';
    return { type: 'refuse', failure: createCallFailure('ticketMismatch', message) };
  }
  const outcome = memory.finished.get(ticket.counter)?.outcome;
  if (outcome === undefined) return { type: 'join' };
  if (outcome.type === 'notRun') return { type: 'run' };
  if (outcome.type === 'forgotten') return refuseUnknown(`node ${ticket.home} no longer keeps the answer`);
  return { type: 'repeat', outcome };
}

/** The failure of a key that no node issued; it says how to get tickets. */
export function createInvalidTicketFailure(reason: string): CallFailure {
  const message = `${reason}; get tickets with POST /v1/tickets {"count": 10} on any node and send one as idempotency-key`;
  return createCallFailure('ticketInvalid', message);
}

function refuseUnknown(reason: string): TicketDecision {
  return {
    type: 'refuse',
    failure: createCallFailure('ticketUnknown', `${reason}: whether the request ran is unknown`),
  };
}

function formatSigned({ home, incarnation, counter }: Omit<Ticket, 'mac'>): string {
  return [VERSION, home, incarnation, counter.toString(36)].join(SEPARATOR);
}
