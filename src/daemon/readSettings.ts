import { readFileSync } from 'node:fs';
import { FailureError } from '../schema/failure.js';
import { parseSettings } from '../schema/settings.js';
import type { Settings } from '../schema/settings.js';

/**
 * Reads and validates a settings file.
 *
 * @throws FailureError `fileUnreadable`, or `settingsInvalid` with one entry per fault.
 */
export function readSettings(path: string): Settings {
  return parseSettings(parseFile(path));
}

function parseFile(path: string): unknown {
  try {
    return JSON.parse(readFileSync(path, 'utf8'));
  } catch (error) {
    throw new FailureError({
      kind: 'fileUnreadable',
      message: `cannot read settings from ${path}: ${String(error)}`,
      path,
    });
  }
}
