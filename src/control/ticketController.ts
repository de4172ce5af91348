import { scheduleRepeated } from '../core/clock.js';
import { formatTicket } from '../policy/ticket.js';
import type { TicketOutcome, TicketRecord } from '../schema/state.js';
import type { Controller, ControllerContext } from './context.js';

/** Limits for the stored ticket records; see docs/design.md, section 4.6. */
export const ticketMemoryDefaults = { maxRecords: 65_536, maxBytes: 64 * 1024 * 1024, retentionMs: 600_000 };

/** Estimated memory of a record without its answer: map entry, record object and short strings. */
const RECORD_BYTES = 512;
const EXPIRY_INTERVAL_MS = 1000;

/** Writes the records of the tickets that this process issued. */
export function createTicketController(
  context: ControllerContext,
  options: Partial<typeof ticketMemoryDefaults> = {},
): Controller {
  const { maxRecords, maxBytes, retentionMs } = { ...ticketMemoryDefaults, ...options };
  const { board, clock, computeTicketMac, settings } = context;
  const tickets = board.claim('tickets', 'ticketController');
  const { section } = tickets;
  section.incarnation = context.generateToken();
  /** Counters of the records that contain an answer, oldest first. */
  const answered = new Set<number>();
  let stopTimer = (): void => undefined;

  const issue = (): string => {
    const counter = section.nextCounter++;
    return formatTicket({ home: settings.host, incarnation: section.incarnation, counter }, computeTicketMac);
  };
  const recordOutcome = (counter: number, outcome: TicketOutcome): void => {
    const run = section.running.get(counter);
    if (run === undefined) return;
    section.running.delete(counter);
    const bytes = RECORD_BYTES + (outcome.type === 'ran' ? outcome.body.length : 0);
    section.finished.set(counter, { fingerprint: run.fingerprint, finishedAtMs: clock.now(), bytes, outcome });
    section.bytes += bytes;
    if (outcome.type === 'ran') answered.add(counter);
    evictAnswers();
    for (const [oldest, record] of section.finished) {
      if (section.finished.size <= maxRecords) break;
      removeRecord(oldest, record);
    }
  };
  /** Evicts the oldest answers but keeps their records: removing these would invalidate unused tickets. */
  const evictAnswers = (): void => {
    for (const counter of answered) {
      if (section.bytes <= maxBytes) return;
      answered.delete(counter);
      const record = section.finished.get(counter);
      if (record === undefined) continue;
      section.bytes -= record.bytes - RECORD_BYTES;
      record.bytes = RECORD_BYTES;
      record.outcome = { type: 'forgotten' };
    }
  };
  const removeRecord = (counter: number, record: TicketRecord): void => {
    section.finished.delete(counter);
    answered.delete(counter);
    section.bytes -= record.bytes;
    // A ticket without a record counts as unused at or above the mark, which is right only if its request did not run.
    if (record.outcome.type !== 'notRun') section.lowWaterMark = Math.max(section.lowWaterMark, counter + 1);
  };
  const expire = (): void => {
    const retainedSinceMs = clock.now() - retentionMs;
    for (const [counter, record] of section.finished) {
      if (record.finishedAtMs > retainedSinceMs) return;
      removeRecord(counter, record);
    }
  };
  tickets.handlePosts((post) => {
    if (post.type === 'issue') post.take(Array.from({ length: post.count }, issue));
    else if (post.type === 'finished') recordOutcome(post.counter, post.outcome);
    else {
      const earlier = section.finished.get(post.counter);
      if (earlier !== undefined) {
        section.finished.delete(post.counter);
        section.bytes -= earlier.bytes;
      }
      section.running.set(post.counter, { fingerprint: post.fingerprint });
    }
  });
  return {
    start: () => {
      stopTimer = scheduleRepeated(clock, EXPIRY_INTERVAL_MS, expire);
    },
    stop: () => {
      stopTimer();
    },
  };
}
