import { write } from 'node:fs';

/**
 * Creates a writer of log lines that never blocks the process: a slow reader delays `done`, and the caller keeps what
 * comes meanwhile.
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

/** Pause before a descriptor that takes no bytes is tried again (ms). */
const RETRY_DELAY_MS = 20;
