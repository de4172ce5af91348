import { FailureError } from '../schema/failure.js';

/**
 * Throws a failure with the message if a condition does not hold.
 *
 * @throws FailureError `processFailed`.
 * @example
 * check(runCount === 1, `I5: ${operation} ran ${runCount} times`);
 */
export function check(holds: boolean, message: string): void {
  if (!holds) throw new FailureError({ kind: 'processFailed', message });
}
