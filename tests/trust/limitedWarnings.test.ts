import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createLimitedWarnings } from '../../src/daemon/limitedWarnings.js';

describe('warnings about input from outside', () => {
  // Guards against a peer that fills the log, and the time of the process, with lines about what it sends.
  it('should drop warnings beyond the lines of a second, and tell how many', () => {
    const lines: [string, unknown][] = [];
    let nowMs = 0;
    const warn = createLimitedWarnings({
      logger: { warn: (message, fields) => lines.push([message, fields]) },
      now: () => nowMs,
      maxLinesPerSecond: 2,
    });
    for (let index = 0; index < 5; index++) warn('odd frame', { index });
    nowMs = 999;
    warn('odd frame', { index: 5 });
    nowMs = 1000;
    warn('odd frame', { index: 6 });
    warn('odd frame', { index: 7 });
    expect(lines.map(([, fields]) => fields)).toEqual([
      { index: 0 },
      { index: 1 },
      { index: 6, dropped: 4 },
      { index: 7 },
    ]);
  });
});
