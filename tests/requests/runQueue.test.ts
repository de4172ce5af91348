import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRunQueue } from '../../src/policy/runQueue.js';
import type { QueuedRun, RunQueue } from '../../src/policy/runQueue.js';

interface NamedRun extends QueuedRun {
  name: string;
}

function buildQueuedRun(name: string, change: Partial<QueuedRun> = {}): NamedRun {
  return { name, priority: 1, isStarted: false, worthUntilMs: 1000, isDropped: false, ...change };
}

function takeNames(queue: RunQueue<NamedRun>, nowMs = 0): string[] {
  const names: string[] = [];
  for (let run = queue.takeNext(nowMs, 10); run !== undefined; run = queue.takeNext(nowMs, 10)) names.push(run.name);
  return names;
}

describe('the queue of a target', () => {
  it('should order by priority, calls of running requests before new ones, and timely before late', () => {
    const queue = createRunQueue<NamedRun>();
    queue.add(buildQueuedRun('late', { worthUntilMs: 5 }));
    queue.add(buildQueuedRun('new'));
    queue.add(buildQueuedRun('late call', { isStarted: true, worthUntilMs: 5 }));
    queue.add(buildQueuedRun('call', { isStarted: true }));
    queue.add(buildQueuedRun('routine call', { isStarted: true, priority: 2 }));
    queue.add(buildQueuedRun('urgent', { priority: 0 }));
    expect(queue.countAhead({ priority: 1, isStarted: true })).toEqual(3);
    expect(queue.countAhead({ priority: 1, isStarted: false })).toEqual(5);
    expect(takeNames(queue)).toEqual(['urgent', 'call', 'late call', 'new', 'late', 'routine call']);
    expect(queue.length).toEqual(0);
  });

  it('should leave out dropped requests and keep the order of arrival within a rank', () => {
    const queue = createRunQueue<NamedRun>();
    const runs = ['a', 'b', 'c'].map((name) => buildQueuedRun(name));
    for (const run of runs) queue.add(run);
    queue.drop(runs[1] as NamedRun);
    expect(queue.length).toEqual(2);
    expect(takeNames(queue)).toEqual(['a', 'c']);
  });
});
