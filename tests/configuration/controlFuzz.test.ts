import { describe, it } from 'node:test';
import { expect } from 'earl';
import { runControlActions } from '../../src/fuzz/runControlActions.js';
import { listAccepted } from '../../src/fuzz/controlOracle.js';
import { runControlSuite } from '../../src/fuzz/controlSuite.js';
import { createChange } from '../fixtures/changes.js';

const RUNS_IN_CI = 40;

describe('fuzzing of the configuration', () => {
  it('should not find a reverted version, a conflicting decision or a lost acceptance', () => {
    expect(runControlSuite({ seed: 20_261_204, runs: RUNS_IN_CI })).toEqual({ runs: RUNS_IN_CI, failure: undefined });
  });

  it('should recover from an outage in which invalid records expired unread', () => {
    const broken = {
      type: 'publish',
      operator: 0,
      service: 0,
      isBroken: true,
      isRepeated: true,
      baseOffset: 0,
    } as const;
    runControlActions({
      seed: 0,
      actions: [
        broken,
        { type: 'outage', isDown: true },
        { type: 'advance', durationMs: 70_000 },
        { type: 'wrongSnapshot', form: 0, host: 'd1-0' },
        { type: 'outage', isDown: false },
        broken,
      ],
    });
  });

  it('should use an oracle that accepts the first of concurrent changes, and each change id once', () => {
    const values = [createChange('a', 0), createChange('b', 0), createChange('c', 1), createChange('c', 3), 'text'];
    const accepted = listAccepted(values.map((value, index) => ({ offset: index + 1, value })));
    expect(accepted.map(({ version }) => version)).toEqual([1, 3]);
  });
});
