import type { AppendLog, ReadLog } from '../control/context.js';
import type { Clock } from '../core/clock.js';
import type { ProcessClock } from '../bench/fakes/processClock.js';
import type { LogRecord } from '../schema/logRecord.js';
import type { LogStore } from '../standins/logStore.js';

/** A log on a fake clock, with fault injection. */
export interface ControlLog {
  readonly store: LogStore;
  /** All records ever appended, including expired ones, for the oracle. */
  readonly records: { offset: number; value: unknown }[];
  /** Number of reads that were not cut off by `unreachableFrom`, including those refused while the log was down. */
  reads: number;
  isDown: boolean;
  delayMs: number;
  /** Number of upcoming appends that are stored but whose response is lost. */
  loseAnswers: number;
  /** Hosts and data centres that cannot reach the log: their reads and appends get no response. */
  readonly unreachableFrom: Set<string>;
  append(value: unknown): number;
  createLogFunctions(
    host: string,
    dataCenter: string,
    process: ProcessClock,
  ): { readLog: ReadLog; appendLog: AppendLog };
}

const PAGE_SIZE = 7;
const LONG_POLL_TIMEOUT_MS = 2000;
const UNAVAILABLE = { type: 'unavailable', message: 'connection refused' } as const;

/** Creates a log on top of a store. Its pages are short, so that readers need several of them. */
export function createControlLog(clock: Clock, store: LogStore): ControlLog {
  const log: ControlLog = {
    store,
    records: [],
    reads: 0,
    isDown: false,
    delayMs: 5,
    loseAnswers: 0,
    unreachableFrom: new Set(),
    append: (value) => {
      const offset = store.append(structuredClone(value));
      log.records.push({ offset, value: structuredClone(value) });
      return offset;
    },
    createLogFunctions: (host, dataCenter, process) => {
      const isUnreachable = (): boolean => log.unreachableFrom.has(host) || log.unreachableFrom.has(dataCenter);
      const deliver = (run: () => void): void => {
        clock.schedule(log.delayMs, () => {
          if (!isUnreachable()) process.runWhenActive(run);
        });
      };
      return {
        readLog: (fromOffset, done) => {
          const respond = (): void => {
            const page = log.isDown ? undefined : structuredClone(store.readFrom(fromOffset, PAGE_SIZE));
            deliver(() => {
              done(page === undefined ? UNAVAILABLE : { type: 'page', page });
            });
          };
          if (isUnreachable()) return;
          log.reads++;
          if (log.isDown || store.readFrom(fromOffset, 1).entries.length > 0) respond();
          else store.waitForAppend(LONG_POLL_TIMEOUT_MS, respond);
        },
        appendLog: (record: LogRecord, done) => {
          if (isUnreachable()) return;
          if (log.isDown) {
            deliver(() => {
              done(UNAVAILABLE);
            });
            return;
          }
          const offset = log.append(record);
          if (log.loseAnswers > 0) {
            log.loseAnswers--;
            deliver(() => {
              done({ type: 'unknown', message: 'response lost' });
            });
            return;
          }
          deliver(() => {
            done({ type: 'appended', offset });
          });
        },
      };
    },
  };
  return log;
}
