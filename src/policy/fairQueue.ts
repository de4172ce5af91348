import { createFifo } from '../core/fifo.js';
import type { Fifo } from '../core/fifo.js';

/** A queue that serves several flows in proportion to the cost of what they take. */
export interface FairQueue<Item> {
  add(item: Item): void;
  /** Estimates the number of items that go before a new one of this flow. */
  countAhead(flow: string): number;
  /**
   * Removes and returns the next item for which `accept` returns true. Items before it for which it returns false are
   * removed, too, and cost their flow nothing.
   */
  takeFirst(accept: (item: Item) => boolean): Item | undefined;
}

interface Flow<Item> {
  readonly name: string;
  readonly items: Fifo<Item>;
  /** Virtual time at which its first item starts. */
  startTag: number;
  /** Virtual time at which the last item that it took ends. */
  finishTag: number;
}

/** Number of flows without items that are remembered beside as many as there are flows with items. */
const MAX_IDLE_FLOWS = 16;

/**
 * Creates an empty queue (start-time fair queueing). It answers a load in which one flow sends many times as much as the
 * others: that one waits behind its own items. A flow that was idle starts at the current virtual time, so it gets its turn
 * at once, but gains nothing from the time in which it was idle. A single flow is served in order of arrival. Adding and
 * taking cost O(log n) in the number of flows with items.
 *
 * @param options.getFlow Returns the name of the flow of an item.
 * @param options.getCost Returns the cost of an item, greater than 0.
 * @example
 * const queue = createFairQueue<Run>({ getFlow: ({ flow }) => flow, getCost: ({ costMs }) => costMs });
 */
export function createFairQueue<Item>(options: {
  getFlow: (item: Item) => string;
  getCost: (item: Item) => number;
}): FairQueue<Item> {
  const flows = new Map<string, Flow<Item>>();
  /** The flows with items as a binary heap, the lowest start tag first. */
  const heap: Flow<Item>[] = [];
  let virtualTime = 0;

  const removeIdleFlows = (): void => {
    if (heap.length === 0) {
      flows.clear();
      virtualTime = 0;
    } else if (flows.size > 2 * heap.length + MAX_IDLE_FLOWS) {
      for (const [name, flow] of flows)
        if (flow.items.length === 0 && flow.finishTag <= virtualTime) flows.delete(name);
    }
  };
  const removeFirstFlow = (): void => {
    const last = heap.pop();
    if (last !== undefined && heap.length > 0) {
      heap[0] = last;
      sortDown(heap);
    }
    removeIdleFlows();
  };
  const settleFirst = (flow: Flow<Item>): void => {
    if (flow.items.length === 0) {
      removeFirstFlow();
      return;
    }
    flow.startTag = Math.max(flow.startTag, flow.finishTag);
    sortDown(heap);
  };
  return {
    add: (item) => {
      const name = options.getFlow(item);
      let flow = flows.get(name);
      if (flow === undefined) {
        flow = { name, items: createFifo<Item>(), startTag: virtualTime, finishTag: virtualTime };
        flows.set(name, flow);
      }
      flow.items.add(item);
      if (flow.items.length > 1) return;
      flow.startTag = Math.max(virtualTime, flow.finishTag);
      heap.push(flow);
      sortUp(heap);
    },
    countAhead: (name) => ((flows.get(name)?.items.length ?? 0) + 1) * heap.length,
    takeFirst: (accept) => {
      for (let flow = heap[0]; flow !== undefined; flow = heap[0]) {
        const item = flow.items.takeFirst();
        const isAccepted = item !== undefined && accept(item);
        if (isAccepted) {
          virtualTime = flow.startTag;
          flow.finishTag = flow.startTag + options.getCost(item);
        }
        settleFirst(flow);
        if (isAccepted) return item;
      }
      return undefined;
    },
  };
}

/** Moves the last element of a heap up to its place. */
function sortUp<Item>(heap: Flow<Item>[]): void {
  for (let index = heap.length - 1; index > 0;) {
    const parent = (index - 1) >> 1;
    if (!isBefore(heap[index], heap[parent])) return;
    putSwapped(heap, index, parent);
    index = parent;
  }
}

/** Moves the first element of a heap down to its place. */
function sortDown<Item>(heap: Flow<Item>[]): void {
  for (let index = 0; ;) {
    const left = 2 * index + 1;
    const child = isBefore(heap[left + 1], heap[left]) ? left + 1 : left;
    if (!isBefore(heap[child], heap[index])) return;
    putSwapped(heap, index, child);
    index = child;
  }
}

function isBefore<Item>(left: Flow<Item> | undefined, right: Flow<Item> | undefined): boolean {
  return left !== undefined && right !== undefined && left.startTag < right.startTag;
}

function putSwapped<Item>(heap: Flow<Item>[], first: number, second: number): void {
  const entry = heap[first];
  const other = heap[second];
  if (entry === undefined || other === undefined) return;
  heap[first] = other;
  heap[second] = entry;
}
