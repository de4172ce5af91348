/**
 * Divides a total among requests for parts of it such that nobody who gets less than requested gets less than another. So
 * one that needs little keeps all of it, whatever the others ask for.
 *
 * @returns The parts, in the order of `requested`.
 *
 * @example
 * splitEvenly(10, [2, 90, 30]); // [2, 4, 4]
 */
export function splitEvenly(total: number, requested: readonly number[]): number[] {
  const granted = requested.map(() => 0);
  const ascending = [...requested.keys()].sort((left, right) => (requested[left] ?? 0) - (requested[right] ?? 0));
  let rest = total;
  for (const [position, index] of ascending.entries()) {
    const part = Math.min(requested[index] ?? 0, rest / (ascending.length - position));
    granted[index] = part;
    rest -= part;
  }
  return granted;
}
