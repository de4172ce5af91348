import type { AppendLog, ReadLog } from '../control/context.js';
import type { Clock } from '../core/clock.js';
import type { ProcessClock } from '../bench/fakes/processClock.js';
import type { LogRecord } from '../schema/logRecord.js';
import type { LogStore } from '../standins/logStore.js';

/** A log on a fake clock, with the faults that a run asks for. */
export interface ControlLog {
  readonly store: LogStore;
  /** Every record ever appended, also after it expired: what the oracle reads. */
  readonly records: { offset: number; value: unknown }[];
  /** Reads that reached the log, also while it was down. */
  reads: number;
  isDown: boolean;
  delayMs: number;
  /** Number of further appends that are written but whose answer is lost. */
  loseAnswers: number;
  /** Places (host or data centre) that cannot reach the log: reads and appends vanish without an answer. */
  readonly cutOff: Set<string>;
  append(value: unknown): number;
  createFunctions(host: string, dataCenter: string, process: ProcessClock): { readLog: ReadLog; appendLog: AppendLog };
}

const PAGE_ENTRIES = 7;
const WAIT_MS = 2000;
const REFUSED = { type: 'unavailable', message: 'connection refused' } as const;

/** Creates the log over a store; pages are short, so that reading takes several of them. */
export function createControlLog(clock: Clock, store: LogStore): ControlLog {
  const log: ControlLog = {
    store,
    records: [],
    reads: 0,
    isDown: false,
    delayMs: 5,
    loseAnswers: 0,
    cutOff: new Set(),
    append: (value) => {
      const offset = store.append(structuredClone(value));
      log.records.push({ offset, value: structuredClone(value) });
      return offset;
    },
    createFunctions: (host, dataCenter, process) => {
      const isCutOff = (): boolean => log.cutOff.has(host) || log.cutOff.has(dataCenter);
      const deliver = (run: () => void): void => {
        clock.schedule(log.delayMs, () => {
          if (!isCutOff()) process.runWhenActive(run);
        });
      };
      return {
        readLog: (fromOffset, done) => {
          const respond = (): void => {
            const page = log.isDown ? undefined : structuredClone(store.readFrom(fromOffset, PAGE_ENTRIES));
            deliver(() => {
              done(page === undefined ? REFUSED : { type: 'page', page });
            });
          };
          if (isCutOff()) return;
          log.reads++;
          if (log.isDown || store.readFrom(fromOffset, 1).entries.length > 0) respond();
          else store.waitForAppend(WAIT_MS, respond);
        },
        appendLog: (record: LogRecord, done) => {
          if (isCutOff()) return;
          if (log.isDown) {
            deliver(() => {
              done(REFUSED);
            });
            return;
          }
          const offset = log.append(record);
          if (log.loseAnswers > 0) {
            log.loseAnswers--;
            deliver(() => {
              done({ type: 'unknown', message: 'answer lost' });
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
