import { readFileSync } from 'node:fs';
import { FailureError } from '../schema/failure.js';
import type { Fault } from '../schema/failure.js';
import { validateServiceConfiguration } from '../schema/serviceConfiguration.js';
import type { ServiceConfiguration } from '../schema/serviceConfiguration.js';

/**
 * Reads a JSON file; `content` says in the error message what it should contain.
 *
 * @throws FailureError `fileUnreadable` when the file cannot be read or is not JSON.
 */
export function readJsonFile(path: string, content: string): unknown {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    const message = `cannot read ${path}: ${String(error)}; pass the path of a ${content} file`;
    throw new FailureError({ kind: 'fileUnreadable', message, path });
  }
  try {
    return JSON.parse(text) as unknown;
  } catch (error) {
    const message = `cannot parse ${path} as JSON: ${String(error)}; correct the file`;
    throw new FailureError({ kind: 'fileUnreadable', message, path });
  }
}

/**
 * Reads a service configuration and lists its faults.
 *
 * @throws FailureError `fileUnreadable` when the file cannot be read or is not JSON.
 */
export function readDocumentFaults(path: string): { value: unknown; faults: Fault[] } {
  const value = readJsonFile(path, 'service configuration');
  return { value, faults: validateServiceConfiguration(value) };
}

/**
 * Reads a service configuration and requires it to be valid.
 *
 * @throws FailureError `fileUnreadable`, or `documentInvalid` with one entry per fault.
 */
export function readDocument(path: string): ServiceConfiguration {
  const { value, faults } = readDocumentFaults(path);
  if (faults.length === 0) return value as ServiceConfiguration;
  const message = `${path} is not a valid service configuration; correct the faults below, then validate it again`;
  throw new FailureError({ kind: 'documentInvalid', message, faults });
}
