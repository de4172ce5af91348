import log from 'loglevel';
import type { Logger, LogLevelDesc } from 'loglevel';

/** Logger whose lines have a message and structured fields. */
export interface StructuredLogger {
  debug(message: string, fields?: Record<string, unknown>): void;
  info(message: string, fields?: Record<string, unknown>): void;
  warn(message: string, fields?: Record<string, unknown>): void;
  error(message: string, fields?: Record<string, unknown>): void;
}

/**
 * Creates a logger that writes one JSON object per line to standard error.
 *
 * @example
 * createLogger('a1', 'info').info('listening', { address });
 */
export function createLogger(host: string, level: LogLevelDesc): StructuredLogger {
  const logger: Logger = log.getLogger(host);
  logger.methodFactory = (method) => (message: string, fields?: Record<string, unknown>) => {
    const line = { time: new Date().toISOString(), level: method, host, message, ...fields };
    process.stderr.write(`${JSON.stringify(line)}\n`);
  };
  logger.setLevel(level, false);
  return logger;
}
