import { write } from 'node:fs';

/**
 * Creates a writer of log lines that never blocks the process. A slow reader of the descriptor delays `done`; the
 * caller buffers further lines until then.
 */
export function createLineWriter(descriptor: number): (lines: readonly string[], done: () => void) => void {
  return (lines, done) => {
    const bytes = Buffer.from(`${lines.join('\n')}\n`);
    const writeFrom = (start: number): void => {
      write(descriptor, bytes, start, bytes.length - start, null, (error, written) => {
        if (error?.code === 'EAGAIN') setTimeout(writeFrom, RETRY_DELAY_MS, start);
        else if (error === null && start + written < bytes.length) writeFrom(start + written);
        else done();
      });
    };
    writeFrom(0);
  };
}

/** Delay before retrying a write to a descriptor that accepts no bytes (`EAGAIN`). */
const RETRY_DELAY_MS = 20;
