import { writeSync } from 'node:fs';
import type { RequestBoard } from '../control/requests/sections.js';

export interface UncaughtErrorOptions {
  board: Pick<RequestBoard, 'post' | 'read'>;
  /** Writes text before it returns, since the process ends right after it. */
  writeNow: (text: string) => void;
}

/**
 * Logs the error that ends the process, after the log lines that have not been written yet. Node then ends the process as
 * usual: after an error that nothing handled, its state is unknown. Returns a function that stops this.
 *
 * @example
 * reportUncaughtErrors({ board, writeNow: createImmediateWriter(1) });
 */
export function reportUncaughtErrors({ board, writeNow }: UncaughtErrorOptions): () => void {
  const report = (error: unknown, origin: string): void => {
    const inputs = { origin, error: error instanceof Error ? (error.stack ?? error.message) : String(error) };
    board.post('decisions', { kind: 'nodeChanged', outcome: 'ends after an uncaught error', inputs });
    writeNow(`${board.read('decisions').lines.join('\n')}\n`);
  };
  process.on('uncaughtExceptionMonitor', report);
  return () => process.off('uncaughtExceptionMonitor', report);
}

/** Creates a function that writes text to a descriptor before it returns, as far as the descriptor accepts it. */
export function createImmediateWriter(descriptor: number): (text: string) => void {
  return (text) => {
    const bytes = Buffer.from(text);
    try {
      for (let start = 0; start < bytes.length;) start += writeSync(descriptor, bytes, start);
    } catch {
      // The reader of the log is slow or gone; the process ends all the same.
    }
  };
}
