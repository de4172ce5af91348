/** A queue with amortized constant-time `add` and `takeFirst`. */
export interface Fifo<T> {
  readonly length: number;
  add(item: T): void;
  /** The oldest item. */
  readonly first: T | undefined;
  /** Removes and returns the oldest item. */
  takeFirst(): T | undefined;
}

/**
 * Minimum number of unused places at the start of the array before it is compacted; they must also make up half of it.
 */
const MIN_COMPACTION_LENGTH = 64;

/**
 * Creates an empty queue.
 *
 * @example
 * const fifo = createFifo<number>();
 * fifo.add(1);
 * fifo.takeFirst(); // 1
 */
export function createFifo<T>(): Fifo<T> {
  let items: (T | undefined)[] = [];
  let head = 0;
  return {
    get length() {
      return items.length - head;
    },
    get first() {
      return items[head];
    },
    add: (item) => {
      items.push(item);
    },
    takeFirst: () => {
      if (head === items.length) return undefined;
      const item = items[head];
      items[head] = undefined;
      head++;
      if (head >= MIN_COMPACTION_LENGTH && head * 2 >= items.length) {
        items = items.slice(head);
        head = 0;
      }
      return item;
    },
  };
}
