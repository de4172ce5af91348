import { getRequiredOption, getSecondsOption } from './commandContext.js';
import type { CommandContext } from './commandContext.js';
import { readLogToEnd } from './readLog.js';
import type { LogView } from './readLog.js';

/**
 * Reads the log that the options name to its end.
 *
 * @throws FailureError `usage`, `logUnavailable` or `logIncomplete`.
 * @example
 * const view = await readNamedLog(context, { log: 'http://127.0.0.1:7500', timeout: 15 });
 */
export async function readNamedLog(context: CommandContext, options: Record<string, unknown>): Promise<LogView> {
  const url = getRequiredOption(options, 'log', 'HEMLOCK_LOG');
  const timeoutMs = getSecondsOption(options, 'timeout') * 1000;
  return readLogToEnd(context, context.createLog(url), { url, timeoutMs });
}

/** Returns the name that is stored with a change: the option `--operator`, by default the user name. */
export function getOperator(context: CommandContext, { operator }: Record<string, unknown>): string {
  return typeof operator === 'string' && operator !== '' ? operator : context.operator;
}
