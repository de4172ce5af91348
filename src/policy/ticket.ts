import { createCallFailure } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';
import type { TicketOutcome, TicketRecord } from '../schema/state.js';

/**
 * A ticket gives a request at-most-once execution. It identifies its home, the node that stores the outcome of the
 * ticket's request and alone decides whether the request runs.
 */
export interface Ticket {
  /** Id of the home node. */
  home: string;
  /** Random text that identifies one start of the home process. */
  incarnation: string;
  /** Number of the ticket within the incarnation. */
  counter: number;
  /** Message authentication code over the other fields. */
  mac: string;
}

/** Computes the message authentication code of a text; only the home process has the key. */
export type ComputeMac = (text: string) => string;

/** Tickets stored by their home. */
export interface TicketState {
  readonly incarnation: string;
  /** Requests of unknown tickets with a lower counter may have run, since their records may have been evicted. */
  readonly lowWaterMark: number;
  readonly running: ReadonlyMap<number, { readonly fingerprint: string }>;
  readonly finished: ReadonlyMap<number, Pick<TicketRecord, 'fingerprint' | 'outcome'>>;
}

/** `run`: run the request; `join`: wait for the running one; `repeat`: respond with the stored outcome. */
export type TicketDecision =
  | { type: 'run' }
  | { type: 'join' }
  | { type: 'repeat'; outcome: TicketOutcome & { type: 'ran' | 'failed' } }
  | { type: 'refuse'; failure: CallFailure };

/** Version of the format, the first field of a ticket. */
const VERSION = 't1';
/** Not allowed in host names, so that the fields can be separated unambiguously. */
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

/** Parses a ticket; undefined when the text has another format. Only the home can verify the ticket. */
export function parseTicket(text: string): Ticket | undefined {
  const [version, home = '', incarnation = '', counter = '', mac = '', ...rest] = text.split(SEPARATOR);
  if (version !== VERSION || rest.length > 0 || incarnation === '' || mac === '') return undefined;
  if (!HOST.test(home) || !COUNTER.test(counter)) return undefined;
  return { home, incarnation, counter: parseInt(counter, 36), mac };
}

/** True when the ticket was issued with the home's key. */
export function verifyTicket(ticket: Ticket, computeMac: ComputeMac): boolean {
  const expected = computeMac(formatSigned(ticket));
  if (expected.length !== ticket.mac.length) return false;
  let difference = 0;
  // Constant-time comparison, so that the duration does not reveal how many characters match.
  for (let index = 0; index < expected.length; index++)
    difference |= expected.charCodeAt(index) ^ ticket.mac.charCodeAt(index);
  return difference === 0;
}

/** Decides at the home how to handle a request with a ticket. */
export function resolveTicket(
  state: TicketState,
  ticket: Ticket,
  fingerprint: string,
  computeMac: ComputeMac,
): TicketDecision {
  if (ticket.incarnation !== state.incarnation) {
    return refuseUnknown(`node ${ticket.home} was restarted since it issued this ticket`);
  }
  if (!verifyTicket(ticket, computeMac)) {
    return { type: 'refuse', failure: createInvalidTicketFailure(`node ${ticket.home} did not issue this ticket`) };
  }
  const stored = state.running.get(ticket.counter) ?? state.finished.get(ticket.counter);
  if (stored === undefined) {
    if (ticket.counter >= state.lowWaterMark) return { type: 'run' };
    return refuseUnknown(`node ${ticket.home} has evicted the record of this ticket`);
  }
  if (stored.fingerprint !== fingerprint) {
    const message = 'the ticket was used for another operation or body; use one ticket for each request';
    return { type: 'refuse', failure: createCallFailure('ticketMismatch', message) };
  }
  const outcome = state.finished.get(ticket.counter)?.outcome;
  if (outcome === undefined) return { type: 'join' };
  if (outcome.type === 'notRun') return { type: 'run' };
  if (outcome.type === 'forgotten') return refuseUnknown(`node ${ticket.home} has evicted the answer`);
  return { type: 'repeat', outcome };
}

/** Creates the failure for an invalid ticket; the message explains how to get tickets. */
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
