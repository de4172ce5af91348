/** A bounded set of starts of targets, each named by the id of the target and the time of the start (Unix ms). */
export interface StartSet {
  has(id: string, startedAtMs: number): boolean;
  /** Adds a start, and drops the oldest one when there are too many. */
  add(id: string, startedAtMs: number): void;
  delete(id: string, startedAtMs: number): void;
}

/** A host has one target at a time, and each new start of it takes seconds. */
const MAX_STARTS = 16;

/**
 * Creates an empty set.
 *
 * @example
 * const refuted = createStartSet();
 * refuted.add('i-1', 1_600_000_000_000);
 */
export function createStartSet(): StartSet {
  const keys = new Set<string>();
  const formatKey = (id: string, startedAtMs: number): string => `${startedAtMs} ${id}`;
  return {
    has: (id, startedAtMs) => keys.has(formatKey(id, startedAtMs)),
    add: (id, startedAtMs) => {
      keys.add(formatKey(id, startedAtMs));
      const [oldest] = keys;
      if (keys.size > MAX_STARTS && oldest !== undefined) keys.delete(oldest);
    },
    delete: (id, startedAtMs) => {
      keys.delete(formatKey(id, startedAtMs));
    },
  };
}
