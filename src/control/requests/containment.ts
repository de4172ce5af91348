import type { RequestBoard } from './sections.js';

/** One unit of work that comes from outside. Where it is handled, an error ends this unit and nothing else. */
export type ContainedUnit = 'request' | 'run' | 'link frame' | 'heartbeat' | 'store record';

const MAX_STACK_LENGTH = 1000;

/**
 * Logs and counts an error in the handling of one unit of work; the caller then ends this unit in the usual way. Errors outside
 * such a unit end the process, since its state is unknown then.
 *
 * @example
 * try {
 *   receive(frame);
 * } catch (error) {
 *   reportInternalError(board, { unit: 'link frame', error });
 *   connection.close();
 * }
 */
export function reportInternalError(
  board: Pick<RequestBoard, 'post'>,
  { unit, id, error }: { unit: ContainedUnit; id?: string; error: unknown },
): void {
  const stack = error instanceof Error ? (error.stack ?? error.message) : String(error);
  board.post('decisions', {
    kind: 'faultFound',
    ...(id === undefined ? {} : { id }),
    outcome: `error in a ${unit}`,
    inputs: { error: stack.slice(0, MAX_STACK_LENGTH) },
  });
}
