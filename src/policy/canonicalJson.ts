/**
 * Formats a JSON value with sorted keys, so that equal values give equal texts on every node.
 *
 * @example
 * formatCanonical({ b: 1, a: 2 }); // {"a":2,"b":1}
 */
export function formatCanonical(value: unknown): string {
  return JSON.stringify(value, (_key, part: unknown) => {
    if (typeof part !== 'object' || part === null || Array.isArray(part)) return part;
    return Object.fromEntries(Object.entries(part).sort(([left], [right]) => (left < right ? -1 : 1)));
  });
}
