import type { StructuredLogger } from './logger.js';

export interface LimitedWarningsOptions {
  logger: Pick<StructuredLogger, 'warn'>;
  /** Monotonic time (ms). */
  now: () => number;
  /** Default: 20. */
  maxLinesPerSecond?: number;
}

const SECOND_MS = 1000;

/**
 * Creates a function that logs warnings, and drops those beyond a number of lines per second: what causes them comes from
 * outside and has no bound. The first line of a later second tells in `dropped` how many were dropped before it.
 *
 * @example
 * const warn = createLimitedWarnings({ logger, now: clock.now });
 * warn('a peer sent bytes that are not a frame', { address });
 */
export function createLimitedWarnings(options: LimitedWarningsOptions): StructuredLogger['warn'] {
  const { logger, now, maxLinesPerSecond = 20 } = options;
  let startedAtMs = -Infinity;
  let lines = 0;
  let dropped = 0;
  return (message, fields) => {
    if (now() - startedAtMs >= SECOND_MS) {
      startedAtMs = now();
      lines = 0;
    }
    if (lines >= maxLinesPerSecond) {
      dropped++;
      return;
    }
    lines++;
    logger.warn(message, dropped === 0 ? fields : { ...fields, dropped });
    dropped = 0;
  };
}
