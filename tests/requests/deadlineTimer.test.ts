import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Clock } from '../../src/core/clock.js';
import { createDeadlineTimer } from '../../src/core/deadlineTimer.js';
import { createFakeClock } from '../../src/core/fakeClock.js';
import type { FakeClock } from '../../src/core/fakeClock.js';

/** Creates a fake clock that counts how many scheduled functions ran. */
function createCountingClock(): { clock: FakeClock; counts: { runs: number } } {
  const fake = createFakeClock();
  const counts = { runs: 0 };
  const schedule: Clock['schedule'] = (delayMs, run) =>
    fake.schedule(delayMs, () => {
      counts.runs++;
      run();
    });
  return { clock: { ...fake, schedule }, counts };
}

describe('the deadline timer', () => {
  it('should not wake the process for deadlines that were cancelled', () => {
    // With one timer per deadline, each finished request woke the process again at its deadline.
    const { clock, counts } = createCountingClock();
    const deadlines = createDeadlineTimer(clock);
    for (let request = 0; request < 200; request++) {
      const cancel = deadlines.add(clock.now() + 600, () => undefined);
      clock.advance(10);
      cancel();
    }
    clock.advance(2000);
    expect(counts.runs < 10).toEqual(true);
  });

  it('should run deadlines in order and skip cancelled ones', () => {
    const { clock } = createCountingClock();
    const deadlines = createDeadlineTimer(clock, { granularityMs: 5 });
    const seen: string[] = [];
    const record = (name: string) => (): void => {
      seen.push(`${name} ${clock.now()}`);
    };
    deadlines.add(50, record('late'));
    const cancelFirst = deadlines.add(10, record('cancelled'));
    deadlines.add(21, () => {
      record('early')();
      deadlines.add(clock.now() + 5, record('added while running'));
    });
    cancelFirst();
    clock.advance(100);
    expect(seen).toEqual(['early 25', 'added while running 30', 'late 50']);
  });

  it('should run an earlier deadline on time if it is added after a later one', () => {
    const { clock } = createCountingClock();
    const deadlines = createDeadlineTimer(clock);
    const seen: number[] = [];
    deadlines.add(500, () => seen.push(clock.now()));
    deadlines.add(20, () => seen.push(clock.now()));
    clock.advance(600);
    expect(seen).toEqual([20, 500]);
  });
});
