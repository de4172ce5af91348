/** A first-in first-out list whose ends cost the same at any length. */
export interface Fifo<T> {
  readonly length: number;
  add(item: T): void;
  /** The oldest item. */
  readonly first: T | undefined;
  /** Removes and returns the oldest item. */
  takeFirst(): T | undefined;
}

/** Consumed places are given back once there are this many and they are half of the array. */
const MIN_COMPACTION_LENGTH = 64;

/**
 * Creates an empty list.
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
