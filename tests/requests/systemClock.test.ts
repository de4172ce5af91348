import { describe, it } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { expect } from 'earl';
import { createSystemClock } from '../../src/core/clock.js';
import { createDeadlineTimer } from '../../src/core/deadlineTimer.js';

const MAX_TIMER_MS = 2 ** 31 - 1;
const OBSERVED_MS = 50;

describe('the system clock', () => {
  // Guards against Node's treatment of long delays, which it replaces by 1 ms, with a warning for each timer.
  for (const delayMs of [MAX_TIMER_MS + 1, Number.MAX_VALUE, Infinity]) {
    it(`should not run a function early that is due in ${delayMs} ms`, async () => {
      const warnings: Error[] = [];
      const recordWarning = (warning: Error): void => void warnings.push(warning);
      process.on('warning', recordWarning);
      let runs = 0;
      const cancel = createSystemClock().schedule(delayMs, () => runs++);
      await wait(OBSERVED_MS);
      cancel();
      process.off('warning', recordWarning);
      expect({ runs, warnings }).toEqual({ runs: 0, warnings: [] });
    });
  }

  it('should run a function with a delay that is past or no number at once', async () => {
    const clock = createSystemClock();
    const run: number[] = [];
    for (const delayMs of [-Infinity, -1, 0, NaN]) clock.schedule(delayMs, () => run.push(delayMs));
    await wait(OBSERVED_MS);
    expect(run).toEqual([-Infinity, -1, 0, NaN]);
  });

  // Guards against a deadline timer that wakes the process each millisecond until the deadline is near enough for a timer.
  it('should let a deadline in some weeks wait without waking the process', async () => {
    const clock = createSystemClock();
    let scheduled = 0;
    const deadlines = createDeadlineTimer({
      ...clock,
      schedule: (delayMs, run) => {
        scheduled++;
        return clock.schedule(delayMs, run);
      },
    });
    const cancel = deadlines.add(clock.now() + 2 * MAX_TIMER_MS, () => undefined);
    await wait(OBSERVED_MS);
    cancel();
    expect(scheduled).toEqual(1);
  });
});
