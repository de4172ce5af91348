import { MAX_RECORDS_PER_FRAME } from '../schema/frame.js';
import type { Frame } from '../schema/frame.js';
import type { MemberRecord } from '../schema/member.js';
import type { ControllerContext } from './context.js';

/** Records that arrive within this time are sent in one batch; a change propagates in about ten such delays. */
const BATCH_DELAY_MS = 20;
/**
 * Larger batches occur when a whole fleet or data centre starts. A longer delay then gives several neighbours time to
 * send the same records, which are not sent back to them.
 */
const LARGE_BATCH_RECORDS = 16;
const LARGE_BATCH_DELAY_MS = 250;

interface PendingRecord {
  record: MemberRecord;
  /** Neighbours that sent the record and do not need it. */
  senders: Set<string>;
}

export interface MemberBroadcast {
  /** Schedules a new record for all neighbours except those that send it in the meantime. */
  add(record: MemberRecord, sender?: string): void;
  /** Records that a neighbour has a record, which is then not sent to it if it is still pending. */
  recordSender(record: MemberRecord, sender: string): void;
  /** Sends the pending records now. */
  flush(): void;
}

/** Creates the broadcast of new member records along the control links. */
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
      const pendingRecord = pending.get(record.id);
      if (pendingRecord?.record.version === record.version && pendingRecord.record.startedAtMs === record.startedAtMs)
        pendingRecord.senders.add(sender);
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
