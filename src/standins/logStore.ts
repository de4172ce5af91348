import type { Clock } from '../core/clock.js';
import type { LogEntry, LogPage } from '../schema/logRecord.js';

/** The records of the stand-in log, in memory. */
export interface LogStore {
  /** Appends a record and returns its offset. */
  append(value: unknown): number;
  readFrom(fromOffset: number, maxEntries: number): LogPage;
  /** Drops all records before an offset, as the end of their retention does. */
  dropBefore(offset: number): void;
  /** Calls back once, at the next append or after a time. */
  waitForAppend(waitMs: number, done: () => void): void;
}

/** Creates the store; records older than `retentionMs` are dropped at each append and read. */
export function createLogStore(clock: Clock, options: { retentionMs?: number } = {}): LogStore {
  const retentionMs = options.retentionMs ?? Infinity;
  const waiting = new Set<() => void>();
  let entries: LogEntry[] = [];
  let nextOffset = 1;

  const dropExpired = (): void => {
    const keepFromMs = clock.wallTime() - retentionMs;
    if ((entries[0]?.appendedAtMs ?? Infinity) < keepFromMs) {
      entries = entries.filter((entry) => entry.appendedAtMs >= keepFromMs);
    }
  };
  return {
    append: (value) => {
      dropExpired();
      const offset = nextOffset++;
      entries.push({ offset, appendedAtMs: clock.wallTime(), value });
      const readers = [...waiting];
      waiting.clear();
      for (const wake of readers) wake();
      return offset;
    },
    readFrom: (fromOffset, maxEntries) => {
      dropExpired();
      const found = entries.filter((entry) => entry.offset >= fromOffset).slice(0, maxEntries);
      return { entries: found, oldestOffset: entries[0]?.offset ?? nextOffset, nextOffset };
    },
    dropBefore: (offset) => {
      entries = entries.filter((entry) => entry.offset >= offset);
    },
    waitForAppend: (waitMs, done) => {
      const cancel = clock.schedule(waitMs, () => {
        waiting.delete(finishWait);
        done();
      });
      const finishWait = (): void => {
        cancel();
        done();
      };
      waiting.add(finishWait);
    },
  };
}
