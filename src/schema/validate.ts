import type { Static, TSchema } from '@sinclair/typebox';
import { TypeCompiler } from '@sinclair/typebox/compiler';
import type { ValueError } from '@sinclair/typebox/errors';
import type { Fault } from './failure.js';

const MAX_FAULTS = 20;
const MAX_FOUND_LENGTH = 80;

/** Validates values against one schema. */
export interface Validator<Schema extends TSchema> {
  /** True if the value matches the schema. */
  isValid(value: unknown): value is Static<Schema>;
  /** Returns one fault per invalid path, at most 20; empty when the value is valid. */
  listFaults(value: unknown): Fault[];
}

/**
 * Compiles a schema to a validator.
 *
 * @example
 * const validator = compileSchema(settingsSchema);
 * if (!validator.isValid(value)) print(validator.listFaults(value).map(formatFault));
 */
export function compileSchema<Schema extends TSchema>(schema: Schema): Validator<Schema> {
  const compiled = TypeCompiler.Compile(schema);
  return {
    isValid: (value): value is Static<Schema> => compiled.Check(value),
    listFaults: (value) => collectFaults(compiled.Errors(value)),
  };
}

/**
 * Formats a fault as one line.
 *
 * @example
 * formatFault({ path: 'peer.port', found: '"x"', allowed: 'integer' }); // peer.port: found "x", allowed: integer
 */
export function formatFault(fault: Fault): string {
  return `${fault.path}: found ${fault.found}, allowed: ${fault.allowed}`;
}

function collectFaults(errors: Iterable<ValueError>): Fault[] {
  const byPath = new Map<string, Fault>();
  for (const error of errors) {
    const path = formatPath(error.path);
    if (byPath.has(path)) continue;
    byPath.set(path, { path, found: describeFound(error.value), allowed: describeAllowed(error) });
    if (byPath.size === MAX_FAULTS) break;
  }
  return [...byPath.values()];
}

function formatPath(pointer: string): string {
  const parts = pointer
    .split('/')
    .slice(1)
    .map((part) => part.replaceAll('~1', '/').replaceAll('~0', '~'));
  return parts.length === 0 ? '(document)' : parts.join('.');
}

function describeFound(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = formatJson(value) ?? typeof value;
  return text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}...` : text;
}

/** Returns undefined for values without JSON: the BigInt of a msgpack message, or arrays nested beyond the depth of the stack. */
function formatJson(value: unknown): string | undefined {
  try {
    return JSON.stringify(value);
  } catch {
    return undefined;
  }
}

function describeAllowed(error: ValueError): string {
  const schema = error.schema;
  if (error.message === 'Unexpected property') return 'no property of this name';
  if (typeof schema['description'] === 'string') return schema['description'];
  if (Array.isArray(schema['anyOf'])) {
    const values = (schema['anyOf'] as TSchema[]).map((part) => part['const'] as unknown);
    if (values.every((value) => value !== undefined)) {
      return `one of ${values.map((value) => JSON.stringify(value)).join(', ')}`;
    }
  }
  return error.message.replace(/^Expected /, '');
}
