import type { Clock } from '../core/clock.js';
import type { LogEntry, LogPage } from '../schema/logRecord.js';

/** In-memory records of the stand-in log. */
export interface LogStore {
  /** Appends a record and returns its offset. */
  append(value: unknown): number;
  readFrom(fromOffset: number, maxEntries: number): LogPage;
  /** Deletes all records before an offset, as if their retention had expired. */
  dropBefore(offset: number): void;
  /** Calls `done` once: at the next append or after `waitMs`. */
  waitForAppend(waitMs: number, done: () => void): void;
}

/** Creates an empty store. Records older than `retentionMs` are deleted at each append and read. */
export function createLogStore(clock: Clock, options: { retentionMs?: number } = {}): LogStore {
  const retentionMs = options.retentionMs ?? Infinity;
  const waiters = new Set<() => void>();
  let entries: LogEntry[] = [];
  let nextOffset = 1;

  const deleteExpired = (): void => {
    const keepFromMs = clock.wallTime() - retentionMs;
    if ((entries[0]?.appendedAtMs ?? Infinity) < keepFromMs) {
      entries = entries.filter((entry) => entry.appendedAtMs >= keepFromMs);
    }
  };
  return {
    append: (value) => {
      deleteExpired();
      const offset = nextOffset++;
      entries.push({ offset, appendedAtMs: clock.wallTime(), value });
      const pending = [...waiters];
      waiters.clear();
      for (const finish of pending) finish();
      return offset;
    },
    readFrom: (fromOffset, maxEntries) => {
      deleteExpired();
      const found = entries.filter((entry) => entry.offset >= fromOffset).slice(0, maxEntries);
      return { entries: found, oldestOffset: entries[0]?.offset ?? nextOffset, nextOffset };
    },
    dropBefore: (offset) => {
      entries = entries.filter((entry) => entry.offset >= offset);
    },
    waitForAppend: (waitMs, done) => {
      const cancel = clock.schedule(waitMs, () => {
        waiters.delete(finishWait);
        done();
      });
      const finishWait = (): void => {
        cancel();
        done();
      };
      waiters.add(finishWait);
    },
  };
}
