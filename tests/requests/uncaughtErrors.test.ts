import { describe, it } from 'node:test';
import { expect } from 'earl';
import { reportUncaughtErrors } from '../../src/daemon/uncaughtErrors.js';
import { createRequestFleet } from '../fixtures/requestFleet.js';

describe('an error that nothing handles', () => {
  // Guards against a process that ends without a log line that names the cause.
  it('should be the last line of the log, after the lines that were not written yet', () => {
    const fleet = createRequestFleet({ hosts: [{ host: 'a1', dataCenter: 'd1', service: 'stock' }] });
    const board = fleet.nodes.get('a1')?.board;
    if (board === undefined) return;
    let text = '';
    const stop = reportUncaughtErrors({ board, writeNow: (written) => (text += written) });
    try {
      board.post('decisions', { kind: 'targetChanged', outcome: 'ready' });
      for (const listener of process.listeners('uncaughtExceptionMonitor'))
        listener(new RangeError('bad port'), 'uncaughtException');
    } finally {
      stop();
    }
    const lines = text
      .trimEnd()
      .split('\n')
      .map((line) => JSON.parse(line) as Record<string, unknown>);
    expect(lines.slice(-2).map(({ kind, outcome }) => [kind, outcome])).toEqual([
      ['targetChanged', 'ready'],
      ['nodeChanged', 'ends after an uncaught error'],
    ]);
    expect(JSON.stringify(lines.at(-1)?.['inputs']).includes('RangeError: bad port')).toEqual(true);
  });
});
