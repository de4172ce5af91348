import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRunQueue } from '../../src/policy/runQueue.js';
import type { QueuedRun, RunQueue } from '../../src/policy/runQueue.js';

interface NamedRun extends QueuedRun {
  name: string;
}

function buildQueuedRun(name: string, change: Partial<QueuedRun> = {}): NamedRun {
  const defaults = { priority: 1, isStarted: false, flow: '', costMs: 10, worthUntilMs: 1000, isDropped: false };
  return { name, ...defaults, ...change };
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
    expect(queue.countAhead({ priority: 1, isStarted: true, flow: '' })).toEqual(3);
    expect(queue.countAhead({ priority: 1, isStarted: false, flow: '' })).toEqual(5);
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

  // Guards against an organisation that delays all others by sending many times its usual demand.
  it('should let an organisation that sends most wait behind its own requests, and give an idle one its turn at once', () => {
    const queue = createRunQueue<NamedRun>();
    for (let index = 0; index < 100; index++) queue.add(buildQueuedRun(`big ${index}`, { flow: 'big' }));
    for (let index = 0; index < 3; index++) queue.add(buildQueuedRun(`small ${index}`, { flow: 'small' }));
    const names = Array.from({ length: 8 }, () => queue.takeNext(0, 10)?.name ?? '');
    expect(names.filter((name) => name.startsWith('small')).length).toEqual(3);
    queue.add(buildQueuedRun('idle', { flow: 'idle' }));
    const next = [queue.takeNext(0, 10)?.name, queue.takeNext(0, 10)?.name];
    expect(next.includes('idle')).toEqual(true);
    expect(queue.length).toEqual(94);
  });

  // Guards against an organisation that gains turns by sending its requests one by one.
  it('should share the time of the target by the duration of runs, also with a flow that sends its requests singly', () => {
    const queue = createRunQueue<NamedRun>();
    const sums = new Map<string, number>();
    for (let index = 0; index < 400; index++) queue.add(buildQueuedRun('long', { flow: 'long', costMs: 40 }));
    queue.add(buildQueuedRun('single', { flow: 'single', costMs: 10 }));
    for (let index = 0; index < 200; index++) {
      const run = queue.takeNext(0, 10) as NamedRun;
      sums.set(run.name, (sums.get(run.name) ?? 0) + run.costMs);
      if (run.name === 'single') queue.add(buildQueuedRun('single', { flow: 'single', costMs: 10 }));
    }
    const ratio = (sums.get('single') ?? 0) / (sums.get('long') ?? 1);
    expect(ratio > 0.9 && ratio < 1.1).toEqual(true);
  });

  it('should take turns among late requests, too, and serve none twice', () => {
    const queue = createRunQueue<NamedRun>();
    for (const name of ['a1', 'a2', 'a3']) queue.add(buildQueuedRun(name, { flow: 'a', worthUntilMs: 5 }));
    queue.add(buildQueuedRun('b1', { flow: 'b', worthUntilMs: 5 }));
    const names = takeNames(queue);
    expect(names.length).toEqual(4);
    expect(names.indexOf('b1') <= 1).toEqual(true);
  });

  it('should serve many flows evenly', () => {
    const queue = createRunQueue<NamedRun>();
    const flows = Array.from({ length: 50 }, (_, index) => `o${index}`);
    for (const flow of flows) for (let index = 0; index < 10; index++) queue.add(buildQueuedRun(flow, { flow }));
    const counts = new Map<string, number>();
    for (let index = 0; index < 250; index++) {
      const { name = '' } = queue.takeNext(0, 10) ?? {};
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    expect([...counts.values()].every((count) => count === 5)).toEqual(true);
    expect(counts.size).toEqual(50);
  });
});
