import { readFileSync } from 'node:fs';
import { FailureError } from '../schema/failure.js';
import type { Fault } from '../schema/failure.js';
import { validateServiceConfiguration } from '../schema/serviceConfiguration.js';
import type { ServiceConfiguration } from '../schema/serviceConfiguration.js';

/**
 * Reads a document and lists what is wrong with it.
 *
 * @throws FailureError `fileUnreadable` when the file cannot be read or is not JSON.
 */
export function readDocumentFaults(path: string): { value: unknown; faults: Fault[] } {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    const message = `cannot read ${path}: ${String(error)}; give the path of a service configuration`;
    throw new FailureError({ kind: 'fileUnreadable', message, path });
  }
  try {
    const value: unknown = JSON.parse(text);
    return { value, faults: validateServiceConfiguration(value) };
  } catch (error) {
    const message = `cannot read ${path} as JSON: ${String(error)}; correct the file`;
    throw new FailureError({ kind: 'fileUnreadable', message, path });
  }
}

/**
 * Reads a valid document.
 *
 * @throws FailureError `fileUnreadable`, or `documentInvalid` with one fault per wrong place.
 */
export function readDocument(path: string): ServiceConfiguration {
  const { value, faults } = readDocumentFaults(path);
  if (faults.length === 0) return value as ServiceConfiguration;
  const message = `${path} is not a valid service configuration; correct what follows, then validate it again`;
  throw new FailureError({ kind: 'documentInvalid', message, faults });
}
