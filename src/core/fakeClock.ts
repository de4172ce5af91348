import type { Clock } from './clock.js';

interface ScheduledRun {
  atMs: number;
  order: number;
  run: (() => void) | undefined;
}

/** A clock for benches and tests whose time advances only on request. */
export interface FakeClock extends Clock {
  /** Advances the time and runs the functions due within `durationMs`, in order of time, then of scheduling. */
  advance(durationMs: number): void;
  /** Advances the time to the next scheduled function and runs it; returns false when none is scheduled. */
  runNext(): boolean;
}

/**
 * Creates a fake clock.
 *
 * @example
 * const clock = createFakeClock();
 * clock.schedule(10, () => list.push('a'));
 * clock.advance(10);
 */
export function createFakeClock(options: { startWallMs?: number } = {}): FakeClock {
  const startWallMs = options.startWallMs ?? 1_700_000_000_000;
  const heap: ScheduledRun[] = [];
  let nowMs = 0;
  let nextOrder = 0;

  const runFirst = (): void => {
    const first = takeFirst(heap);
    if (first?.run === undefined) return;
    nowMs = Math.max(nowMs, first.atMs);
    first.run();
  };
  return {
    now: () => nowMs,
    wallTime: () => startWallMs + nowMs,
    schedule: (delayMs, run) => {
      const entry: ScheduledRun = { atMs: nowMs + (delayMs > 0 ? delayMs : 0), order: nextOrder++, run };
      addEntry(heap, entry);
      return () => {
        entry.run = undefined;
      };
    },
    advance: (durationMs) => {
      const endMs = nowMs + durationMs;
      for (let first = heap[0]; first !== undefined && first.atMs <= endMs; first = heap[0]) runFirst();
      nowMs = endMs;
    },
    runNext: () => {
      if (heap.length === 0) return false;
      runFirst();
      return true;
    },
  };
}

function isBefore(left: ScheduledRun, right: ScheduledRun): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);
}

function addEntry(heap: ScheduledRun[], entry: ScheduledRun): void {
  let index = heap.length;
  heap.push(entry);
  while (index > 0) {
    const parentIndex = (index - 1) >> 1;
    const parent = heap[parentIndex];
    if (parent === undefined || !isBefore(entry, parent)) break;
    heap[index] = parent;
    index = parentIndex;
  }
  heap[index] = entry;
}

function takeFirst(heap: ScheduledRun[]): ScheduledRun | undefined {
  const first = heap[0];
  const last = heap.pop();
  if (first === undefined || last === undefined || heap.length === 0) return first;
  let index = 0;
  for (;;) {
    const childIndex = findSmallerChild(heap, index);
    const child = heap[childIndex];
    if (child === undefined || !isBefore(child, last)) break;
    heap[index] = child;
    index = childIndex;
  }
  heap[index] = last;
  return first;
}

function findSmallerChild(heap: ScheduledRun[], index: number): number {
  const leftIndex = 2 * index + 1;
  const left = heap[leftIndex];
  const right = heap[leftIndex + 1];
  return left !== undefined && right !== undefined && isBefore(right, left) ? leftIndex + 1 : leftIndex;
}
