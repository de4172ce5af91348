import type { DocumentDifference } from '../schema/commandReport.js';

/**
 * Lists the differences between two JSON values, sorted by path.
 *
 * @example
 * compareDocuments({ queueLimit: 1 }, { queueLimit: 2 }); // [{ path: 'queueLimit', before: '1', after: '2' }]
 */
export function compareDocuments(before: unknown, after: unknown): DocumentDifference[] {
  const left = new Map(listLeaves(before, ''));
  const right = new Map(listLeaves(after, ''));
  const paths = [...new Set([...left.keys(), ...right.keys()])].sort();
  return paths
    .filter((path) => left.get(path) !== right.get(path))
    .map((path) => {
      const difference: DocumentDifference = { path };
      const [oldValue, newValue] = [left.get(path), right.get(path)];
      if (oldValue !== undefined) difference.before = oldValue;
      if (newValue !== undefined) difference.after = newValue;
      return difference;
    });
}

/** Formats a difference as one line. */
export function formatDifference({ path, before, after }: DocumentDifference): string {
  if (before === undefined) return `+ ${path}: ${after ?? ''}`;
  if (after === undefined) return `- ${path}: ${before}`;
  return `~ ${path}: ${before} -> ${after}`;
}

function listLeaves(value: unknown, path: string): [string, string][] {
  if (typeof value !== 'object' || value === null || Object.keys(value).length === 0) {
    return value === undefined ? [] : [[path, JSON.stringify(value)]];
  }
  return Object.entries(value).flatMap(([key, part]) => listLeaves(part, path === '' ? key : `${path}.${key}`));
}
