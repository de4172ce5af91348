/**
 * A bounded list that drops its oldest items when full. Positions count all items ever added, so that a reader can keep
 * a cursor and detect how many items it missed.
 */
export interface RingBuffer<T> {
  add(item: T): void;
  /** Position of the oldest retained item. */
  readonly start: number;
  /** Position after the newest item. */
  readonly end: number;
  /** Returns the item at a position in [`start`, `end`). */
  get(position: number): T | undefined;
  /** Returns the retained items from a position on, oldest first. */
  listFrom(position: number): T[];
}

/**
 * Creates a ring buffer.
 *
 * @example
 * const ring = createRingBuffer<number>(2);
 * ring.add(1);
 * ring.listFrom(ring.start); // [1]
 */
export function createRingBuffer<T>(capacity: number): RingBuffer<T> {
  const items: T[] = [];
  let end = 0;
  const getStart = (): number => end - items.length;
  const get = (position: number): T | undefined =>
    position >= getStart() && position < end ? items[position % capacity] : undefined;
  return {
    add: (item) => {
      items[end % capacity] = item;
      end++;
    },
    get start() {
      return getStart();
    },
    get end() {
      return end;
    },
    get,
    listFrom: (position) => {
      const found: T[] = [];
      for (let at = Math.max(position, getStart()); at < end; at++) found.push(items[at % capacity] as T);
      return found;
    },
  };
}
