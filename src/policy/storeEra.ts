/**
 * Decisions on the era of the store, which rises each time it is restored from an older copy of its records. They address
 * a store that has lost acknowledged writes and assigns offsets again. Undefined stands for a store without eras.
 */
export type StoreEra = number | undefined;

/**
 * True when a response tells of a restore that is not known yet.
 *
 * @example
 * isNewEra(2, 1); // true
 */
export function isNewEra(received: StoreEra, known: StoreEra): boolean {
  return received !== undefined && (known === undefined || received > known);
}

/**
 * True when a response comes from the store as it was before a restore.
 *
 * @example
 * isPastEra(1, 2); // true
 */
export function isPastEra(received: StoreEra, known: StoreEra): boolean {
  return received !== undefined && known !== undefined && received < known;
}

/**
 * True when a write is part of the store's present records: it was begun in the era that is known at its end, and the
 * response is of that era. One that was begun before may have been lost with the records of its time.
 *
 * @example
 * isWriteOfEra({ begun: 1, received: 2, known: 2 }); // false
 */
export function isWriteOfEra({
  begun,
  received,
  known,
}: {
  begun: StoreEra;
  received: StoreEra;
  known: StoreEra;
}): boolean {
  return begun === known && (received === undefined || received === known);
}
