import { request } from 'undici';
import { logAppendAnswerSchema, logPageSchema } from '../schema/logRecord.js';
import type { LogAppendOutcome, LogReadOutcome, LogRecord } from '../schema/logRecord.js';
import { compileSchema } from '../schema/validate.js';

export interface LogClient {
  /** Reads records from an offset on; if there are none, the log waits up to `waitMs` for one. */
  read(fromOffset: number, options?: { waitMs?: number }): Promise<LogReadOutcome>;
  append(record: LogRecord): Promise<LogAppendOutcome>;
}

const RESPONSE_TIMEOUT_MS = 5000;
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
  const timeoutMs = options.timeoutMs ?? RESPONSE_TIMEOUT_MS;
  return {
    read: async (fromOffset, { waitMs = 0 } = {}) => {
      try {
        const limits = { headersTimeout: timeoutMs + waitMs, bodyTimeout: timeoutMs };
        const response = await request(`${url}/records?from=${fromOffset}&waitMs=${waitMs}`, limits);
        const page: unknown = await response.body.json();
        if (response.statusCode === 200 && pageValidator.isValid(page)) return { type: 'page', page };
        return { type: 'unavailable', message: `log responded with status ${response.statusCode}` };
      } catch (error) {
        return { type: 'unavailable', message: `no response from log: ${String(error)}` };
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
        // With status 429 or 503 the log has not written the record.
        const isNotWritten = response.statusCode === 429 || response.statusCode === 503;
        return {
          type: isNotWritten ? 'unavailable' : 'unknown',
          message: `log responded with status ${response.statusCode}`,
        };
      } catch (error) {
        const type = isConnectionRefused(error) ? 'unavailable' : 'unknown';
        return { type, message: `no response from log: ${String(error)}` };
      }
    },
  };
}

function isConnectionRefused(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}
