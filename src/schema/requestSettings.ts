import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { createAddressSchema, createListenSchema, createServerSchema } from './address.js';
import { FailureError } from './failure.js';
import { compileSchema } from './validate.js';

/** Bounds set by the operator that the node must keep. */
export const requestBoundsSchema = Type.Object({
  /** Time for which requests may still reach a target after its node has acknowledged that it drains or leaves. */
  drainMs: Type.Number({ minimum: 0, description: 'ms' }),
  /** Time from SIGTERM to SIGKILL. */
  graceSeconds: Type.Number({ minimum: 0, description: 'seconds' }),
  /** Maximum time until a published configuration is in force. */
  configurationApplyMs: Type.Number({ minimum: 0, description: 'ms' }),
  /**
   * Maximum number of retries per request of a service, in any window and over all nodes. A retry is a repeated arrival
   * of the same request at a target.
   */
  retryRatio: Type.Number({ minimum: 0, description: 'a number of at least 0: retries per request' }),
  /** Number of retries per window that are allowed in addition. */
  retryExtra: Type.Number({ minimum: 0, description: 'a number of at least 0: retries per window' }),
  retryWindowSeconds: Type.Number({ exclusiveMinimum: 0, description: 'seconds' }),
  /**
   * Bound of the quotas of organisations: in any window of this length, over all nodes, at most rate x window x (1 + excess) +
   * burst + slack requests of an organisation reach targets.
   */
  quotaWindowSeconds: Type.Optional(Type.Number({ exclusiveMinimum: 0, description: 'seconds' })),
  quotaExcess: Type.Optional(Type.Number({ minimum: 0, description: 'a number of at least 0: share of the quota' })),
  quotaSlack: Type.Optional(Type.Number({ minimum: 0, description: 'a number of at least 0: requests per window' })),
});
export type RequestBounds = Static<typeof requestBoundsSchema>;

/** Settings of one process that serves routed requests. */
export const requestSettingsSchema = Type.Object({
  host: Type.String({ minLength: 1, description: 'a host name, unique in the fleet' }),
  dataCenter: Type.String({ minLength: 1, description: 'the name of a data centre' }),
  region: Type.String({ minLength: 1, description: 'the name of a region' }),
  /** Service of the host's target; sent to targets as the caller of all requests that enter at this node. */
  service: Type.String({ minLength: 1, description: 'the service of the host' }),
  requestListen: createListenSchema('the address for requests of clients and the target'),
  targetListen: createListenSchema('the address for heartbeats of the target'),
  /** Address of the host's target. If it is set, heartbeats with another one are refused. */
  targetAddress: Type.Optional(createAddressSchema("the address of the host's target")),
  readyListen: createListenSchema('the address for readiness probes'),
  linkListen: createListenSchema('the address for connections of other nodes'),
  metricsListen: createListenSchema('the address for metrics'),
  storeAddress: createServerSchema("the address of the platform's store"),
  /** Maximum number of file descriptors that the process may open. */
  maxDescriptors: Type.Integer({
    minimum: 64,
    description: 'an integer from 64: the maximum number of open file descriptors',
  }),
  /**
   * Maximum number of bytes that all clients together hold in the process: unfinished heads and bodies, requests that wait and
   * responses that clients have not read. Default: computed from the memory of the process.
   */
  maxClientBytes: Type.Optional(Type.Integer({ minimum: 65_536, description: 'an integer from 65536: bytes' })),
  /**
   * Maximum number of bytes that all connections of one of the listeners for heartbeats, readiness and metrics hold together.
   * Default: 2 MiB.
   */
  maxListenerBytes: Type.Optional(Type.Integer({ minimum: 65_536, description: 'an integer from 65536: bytes' })),
  /**
   * Maximum number of bytes that all links opened by other nodes hold together: unfinished frames, and what peers have not
   * read. Default: as for `maxClientBytes`.
   */
  maxLinkBytes: Type.Optional(Type.Integer({ minimum: 65_536, description: 'an integer from 65536: bytes' })),
  /** Interval at which the target sends heartbeats. */
  heartbeatMs: Type.Number({ exclusiveMinimum: 0, description: 'ms' }),
  bounds: requestBoundsSchema,
});
export type RequestSettings = Static<typeof requestSettingsSchema>;

const validator = compileSchema(requestSettingsSchema);

/**
 * Validates settings; unknown fields are ignored.
 *
 * @throws FailureError `settingsInvalid` with one fault per invalid field.
 * @example
 * const settings = parseRequestSettings(JSON.parse(text));
 */
export function parseRequestSettings(value: unknown): RequestSettings {
  if (validator.isValid(value)) return value;
  const faults = validator.listFaults(value);
  throw new FailureError({ kind: 'settingsInvalid', message: 'the settings are invalid', faults });
}
