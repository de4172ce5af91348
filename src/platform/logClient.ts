import { request } from 'undici';
import { logAppendAnswerSchema, logPageSchema } from '../schema/logRecord.js';
import type { LogAppendOutcome, LogReadOutcome, LogRecord } from '../schema/logRecord.js';
import { compileSchema } from '../schema/validate.js';

export interface LogClient {
  /** Reads from an offset on; with `waitMs` the log answers when there is a record or after that time. */
  read(fromOffset: number, options?: { waitMs?: number }): Promise<LogReadOutcome>;
  append(record: LogRecord): Promise<LogAppendOutcome>;
}

const ANSWER_TIMEOUT_MS = 5000;
const pageValidator = compileSchema(logPageSchema);
const appendValidator = compileSchema(logAppendAnswerSchema);

/**
 * Creates a client of the platform's log over HTTP.
 *
 * @example
 * const log = createLogClient('http://127.0.0.1:7500');
 * const outcome = await log.append(record);
 */
export function createLogClient(url: string, options: { timeoutMs?: number } = {}): LogClient {
  const timeoutMs = options.timeoutMs ?? ANSWER_TIMEOUT_MS;
  return {
    read: async (fromOffset, { waitMs = 0 } = {}) => {
      try {
        const limits = { headersTimeout: timeoutMs + waitMs, bodyTimeout: timeoutMs };
        const response = await request(`${url}/records?from=${fromOffset}&waitMs=${waitMs}`, limits);
        const page: unknown = await response.body.json();
        if (response.statusCode === 200 && pageValidator.isValid(page)) return { type: 'page', page };
        return { type: 'unavailable', message: `the log answered ${response.statusCode}` };
      } catch (error) {
        return { type: 'unavailable', message: `the log gave no answer: ${String(error)}` };
      }
    },
    append: async (record) => {
      try {
        const response = await request(`${url}/records`, {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(record),
          headersTimeout: timeoutMs,
          bodyTimeout: timeoutMs,
        });
        const answer: unknown = await response.body.json();
        if (response.statusCode === 200 && appendValidator.isValid(answer))
          return { type: 'appended', offset: answer.offset };
        // The log states with 429 and 503 that it did not write.
        const isNotWritten = response.statusCode === 429 || response.statusCode === 503;
        return { type: isNotWritten ? 'unavailable' : 'unknown', message: `the log answered ${response.statusCode}` };
      } catch (error) {
        const type = isRefusedConnection(error) ? 'unavailable' : 'unknown';
        return { type, message: `the log gave no answer: ${String(error)}` };
      }
    },
  };
}

function isRefusedConnection(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}
