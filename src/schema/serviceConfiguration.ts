import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import type { Fault } from './failure.js';
import { compileSchema } from './validate.js';

/** Maximum size of a document, so that it fits into one frame to a peer. */
export const MAX_DOCUMENT_BYTES = 64 * 1024;

const createNameSchema = (description: string) => Type.String({ pattern: '^[a-zA-Z][a-zA-Z0-9-]{0,62}$', description });

export const operationSchema = Type.Object(
  {
    idempotent: Type.Boolean({ description: 'true or false: whether the operation may safely run more than once' }),
    priority: createNameSchema('the name of one of the priorities of this document'),
    expectedCostMs: Type.Number({ exclusiveMinimum: 0, maximum: 600_000, description: 'a number above 0 (ms)' }),
    deadlineMs: Type.Integer({ minimum: 1, maximum: 600_000, description: 'an integer from 1 to 600000 (ms)' }),
  },
  { additionalProperties: false, description: 'an operation: idempotent, priority, expectedCostMs, deadlineMs' },
);
export type Operation = Static<typeof operationSchema>;

export const prioritySchema = Type.Object(
  {
    name: createNameSchema('a name of letters, digits and hyphens'),
    worth: Type.Number({ minimum: 0, maximum: 1_000_000, description: 'a number from 0 to 1000000' }),
    guaranteedShare: Type.Number({ minimum: 0, maximum: 1, description: 'a number from 0 to 1' }),
  },
  { additionalProperties: false, description: 'a priority: name, worth, guaranteedShare' },
);
export type Priority = Static<typeof prioritySchema>;

/** The configuration document that a team publishes for one service. */
export const serviceConfigurationSchema = Type.Object(
  {
    $schema: Type.Optional(Type.String({ description: 'the path of the JSON Schema' })),
    service: createNameSchema('a service name of letters, digits and hyphens'),
    operations: Type.Record(Type.String({ pattern: '^[a-zA-Z][a-zA-Z0-9-]{0,62}$' }), operationSchema, {
      minProperties: 1,
      additionalProperties: false,
      description: 'an object that maps operation names to operations',
    }),
    priorities: Type.Array(prioritySchema, {
      minItems: 1,
      maxItems: 16,
      description: 'a list of 1 to 16 priorities',
    }),
    retryAllowance: Type.Integer({
      minimum: 0,
      maximum: 100,
      default: 2,
      description: 'an integer from 0 to 100: extra attempts for one request in its whole call graph',
    }),
    retryRatio: Type.Optional(
      Type.Number({
        minimum: 0,
        maximum: 1,
        default: 0.1,
        description: 'a number from 0 to 1: retries per first attempt',
      }),
    ),
    /** Concurrency up to which the limit of a newly started target doubles with each adjustment. */
    concurrencyHint: Type.Optional(
      Type.Integer({ minimum: 1, maximum: 100_000, default: 16, description: 'an integer from 1 to 100000' }),
    ),
    connectionLimit: Type.Optional(
      Type.Integer({ minimum: 1, maximum: 100_000, default: 256, description: 'an integer from 1 to 100000' }),
    ),
    /** Maximum number of calls that wait for one target. */
    queueLimit: Type.Optional(
      Type.Integer({ minimum: 0, maximum: 100_000, default: 512, description: 'an integer from 0 to 100000' }),
    ),
    /** Duration of the first quarantine of a fingerprint whose requests crash targets. */
    quarantineMs: Type.Optional(
      Type.Integer({
        minimum: 1000,
        maximum: 86_400_000,
        default: 60_000,
        description: 'an integer from 1000 to 86400000 (ms)',
      }),
    ),
    /** Hosts whose targets get no new calls of the service. */
    drainedHosts: Type.Optional(
      Type.Array(Type.String({ minLength: 1, maxLength: 255 }), {
        maxItems: 1000,
        default: [],
        description: 'a list of host names',
      }),
    ),
  },
  { $id: 'serviceConfiguration', additionalProperties: false, description: 'a service configuration' },
);
export type ServiceConfiguration = Static<typeof serviceConfigurationSchema>;

export const serviceConfigurationDefaults = {
  retryRatio: 0.1,
  concurrencyHint: 16,
  connectionLimit: 256,
  queueLimit: 512,
  quarantineMs: 60_000,
} as const;

const validator = compileSchema(serviceConfigurationSchema);

/**
 * Validates a document against its schema, then against rules across its fields; returns the faults.
 *
 * @example
 * const faults = validateServiceConfiguration(JSON.parse(text));
 * if (faults.length === 0) publish(document);
 */
export function validateServiceConfiguration(value: unknown): Fault[] {
  if (!validator.isValid(value)) return validator.listFaults(value);
  return [...checkPriorityNames(value), ...checkOperationPriorities(value), ...checkShares(value), ...checkSize(value)];
}

function checkPriorityNames(document: ServiceConfiguration): Fault[] {
  const seen = new Set<string>();
  return document.priorities.flatMap((priority, index) => {
    if (!seen.has(priority.name)) {
      seen.add(priority.name);
      return [];
    }
    return [{ path: `priorities.${index}.name`, found: `duplicate name "${priority.name}"`, allowed: 'unique names' }];
  });
}

function checkOperationPriorities(document: ServiceConfiguration): Fault[] {
  const names = document.priorities.map((priority) => priority.name);
  return Object.entries(document.operations)
    .filter(([, operation]) => !names.includes(operation.priority))
    .map(([operationName, operation]) => ({
      path: `operations.${operationName}.priority`,
      found: `"${operation.priority}"`,
      allowed: `one of ${names.map((text) => `"${text}"`).join(', ')}`,
    }));
}

function checkShares(document: ServiceConfiguration): Fault[] {
  const sum = document.priorities.reduce((total, priority) => total + priority.guaranteedShare, 0);
  // The floating-point sum of decimal fractions may exceed 1 by a rounding error.
  if (sum <= 1 + 1e-9) return [];
  return [{ path: 'priorities', found: `guaranteed shares that add up to ${sum.toFixed(3)}`, allowed: 'at most 1' }];
}

function checkSize(document: ServiceConfiguration): Fault[] {
  const bytes = new TextEncoder().encode(JSON.stringify(document)).length;
  if (bytes <= MAX_DOCUMENT_BYTES) return [];
  return [{ path: '(document)', found: `${bytes} bytes`, allowed: `at most ${MAX_DOCUMENT_BYTES} bytes` }];
}
