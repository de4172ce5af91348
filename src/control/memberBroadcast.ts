import { MAX_RECORDS_PER_FRAME } from '../schema/frame.js';
import type { Frame } from '../schema/frame.js';
import type { MemberRecord } from '../schema/member.js';
import type { ControllerContext } from './context.js';

/** Records that arrive within this time leave in one frame; a change crosses the fleet in some ten such pauses. */
const BATCH_DELAY_MS = 20;
/**
 * More news than this at once comes from a fleet or data centre that starts: a longer pause lets copies from several
 * neighbours meet here, so that fewer are sent on.
 */
const LARGE_BATCH_RECORDS = 16;
const LARGE_BATCH_DELAY_MS = 250;

interface PendingRecord {
  record: MemberRecord;
  /** Neighbours that sent it and need not get it. */
  senders: Set<string>;
}

export interface MemberBroadcast {
  /** Sends a new record to all neighbours but those that send it meanwhile. */
  add(record: MemberRecord, sender?: string): void;
  /** Notes that a neighbour holds a record that may still wait here. */
  recordSender(record: MemberRecord, sender: string): void;
  /** Sends what waits, without a pause. */
  flush(): void;
}

/** Creates the spreading of new member records along the control links. */
export function createMemberBroadcast({ board, clock, io }: ControllerContext): MemberBroadcast {
  const pending = new Map<string, PendingRecord>();
  let isScheduled = false;
  let lastSentMs = -Infinity;
  let lastBatchSize = 0;

  const flush = (): void => {
    if (pending.size === 0) return;
    const batch = [...pending.values()];
    pending.clear();
    lastSentMs = clock.now();
    lastBatchSize = batch.length;
    for (const neighbour of board.read('links').neighbours.keys()) {
      const records = batch.filter(({ senders }) => !senders.has(neighbour)).map(({ record }) => record);
      sendRecords(records, (frame) => io.sendFrame(neighbour, 'control', frame));
    }
  };
  return {
    add: (record, sender) => {
      pending.set(record.id, { record, senders: new Set(sender === undefined ? [] : [sender]) });
      if (isScheduled) return;
      isScheduled = true;
      const isLarge = lastBatchSize > LARGE_BATCH_RECORDS && clock.now() - lastSentMs < LARGE_BATCH_DELAY_MS;
      clock.schedule(isLarge ? LARGE_BATCH_DELAY_MS : BATCH_DELAY_MS, () => {
        isScheduled = false;
        flush();
      });
    },
    recordSender: (record, sender) => {
      const waiting = pending.get(record.id);
      if (waiting?.record.version === record.version && waiting.record.startedAtMs === record.startedAtMs)
        waiting.senders.add(sender);
    },
    flush,
  };
}

/** Sends records in frames of bounded size. */
export function sendRecords(
  records: readonly MemberRecord[],
  send: (frame: Frame) => void,
  options: { isWelcome?: boolean } = {},
): void {
  for (let start = 0; start < records.length; start += MAX_RECORDS_PER_FRAME)
    send({ type: 'members', records: records.slice(start, start + MAX_RECORDS_PER_FRAME), ...options });
}
