import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { FailureError } from './failure.js';
import { compileSchema } from './validate.js';

const createAddressSchema = (what: string) =>
  Type.String({ pattern: '^[^:]+:[0-9]+$', description: `${what} as IP:PORT` });

/** The operator's bounds that the node's decisions keep. */
export const requestBoundsSchema = Type.Object({
  /** Time within which no request may reach a target that was acknowledged as leaving. */
  drainMs: Type.Number({ minimum: 0, description: 'ms' }),
  /** Time from SIGTERM to SIGKILL. */
  graceSeconds: Type.Number({ minimum: 0, description: 'seconds' }),
  /** Time within which a configuration is in force. */
  configurationApplyMs: Type.Number({ minimum: 0, description: 'ms' }),
  /** Repeated arrivals at a service that all nodes may cause in any window, as a share of its requests. */
  retryRatio: Type.Number({ minimum: 0, description: 'a share' }),
  /** The same in addition to the share, as a number. */
  retryExtra: Type.Number({ minimum: 0, description: 'a number of requests' }),
  retryWindowSeconds: Type.Number({ exclusiveMinimum: 0, description: 'seconds' }),
});
export type RequestBounds = Static<typeof requestBoundsSchema>;

/** Settings of one process that serves routed requests. */
export const requestSettingsSchema = Type.Object({
  host: Type.String({ minLength: 1, description: 'a host name, unique in the fleet' }),
  dataCenter: Type.String({ minLength: 1, description: 'the name of a data centre' }),
  region: Type.String({ minLength: 1, description: 'the name of a region' }),
  /** Service of the host's target, named to targets as the caller of all requests that begin here. */
  service: Type.String({ minLength: 1, description: 'the service of the host' }),
  requestListen: createAddressSchema('where clients and the target send requests'),
  targetListen: createAddressSchema('where the target sends heartbeats'),
  readyListen: createAddressSchema('where readiness is asked'),
  linkListen: createAddressSchema('where other nodes connect'),
  metricsListen: createAddressSchema('where metrics are served'),
  storeAddress: createAddressSchema("the platform's store"),
  maxDescriptors: Type.Integer({ minimum: 64, description: 'an integer from 64' }),
  heartbeatMs: Type.Number({ exclusiveMinimum: 0, description: 'ms' }),
  bounds: requestBoundsSchema,
});
export type RequestSettings = Static<typeof requestSettingsSchema>;

const validator = compileSchema(requestSettingsSchema);

/**
 * Checks settings; fields that are not known are ignored.
 *
 * @throws FailureError `settingsInvalid` with one fault per wrong place.
 * @example
 * const settings = parseRequestSettings(JSON.parse(text));
 */
export function parseRequestSettings(value: unknown): RequestSettings {
  if (validator.isValid(value)) return value;
  const faults = validator.listFaults(value);
  throw new FailureError({ kind: 'settingsInvalid', message: 'the settings are invalid', faults });
}

/** Splits `IP:PORT`. */
export function parseAddress(text: string): { host: string; port: number } {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
