import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { Value } from '@sinclair/typebox/value';
import { createServerSchema } from './address.js';
import { FailureError } from './failure.js';
import type { Fault } from './failure.js';
import { compileSchema } from './validate.js';

const listenSchema = Type.Object(
  {
    host: Type.String({ minLength: 1, description: 'an IP address' }),
    port: Type.Integer({ minimum: 0, maximum: 65_535, description: 'an integer from 0 to 65535' }),
  },
  { additionalProperties: false, description: 'an object with host and port' },
);
export type ListenSettings = Static<typeof listenSchema>;

const tlsSchema = Type.Object(
  {
    keyFile: Type.String({ minLength: 1, description: 'a path to a PEM file' }),
    certificateFile: Type.String({ minLength: 1, description: 'a path to a PEM file' }),
    authorityFile: Type.String({ minLength: 1, description: 'a path to a PEM file' }),
  },
  { additionalProperties: false, description: 'an object with keyFile, certificateFile and authorityFile' },
);

/** Settings of one hemlockd process. */
export const settingsSchema = Type.Object(
  {
    $schema: Type.Optional(Type.String({ description: 'the path of the JSON Schema' })),
    host: Type.String({
      pattern: '^[a-zA-Z0-9][a-zA-Z0-9._-]{0,254}$',
      description: 'a host name, unique in the fleet',
    }),
    dataCenter: Type.String({ pattern: '^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$', description: 'the name of a data centre' }),
    region: Type.String({ pattern: '^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$', description: 'the name of a region' }),
    /** For calls from external callers. */
    callerListen: listenSchema,
    /** For the announcements and downstream calls of the target on this host. */
    localListen: listenSchema,
    /** For the status, events and metrics that operators read. */
    operatorListen: listenSchema,
    /** For connections from other nodes. */
    peerListen: listenSchema,
    /** Nodes that this node contacts first to find the others. */
    seeds: Type.Array(createServerSchema('a peer address such as 127.0.0.1:7000,'), {
      default: [],
      description: 'a list of addresses of nodes that this node contacts first to find the others',
    }),
    logUrl: Type.Optional(Type.String({ pattern: '^https?://', description: "the URL of the platform's log" })),
    logRetentionMs: Type.Integer({
      minimum: 60_000,
      maximum: 31_536_000_000,
      default: 3_600_000,
      description: "an integer from 60000 to 31536000000 (ms): how long the platform's log retains a record",
    }),
    tls: Type.Optional(tlsSchema),
    /** Allows other addresses than loopback addresses for connections between nodes without TLS. */
    allowPlainText: Type.Boolean({
      default: false,
      description: 'true or false: whether nodes may connect to non-loopback addresses without tls',
    }),
    /** Maximum number of open connections of external callers. */
    maxCallerConnections: Type.Integer({
      minimum: 1,
      maximum: 65_535,
      default: 1024,
      description: 'an integer from 1 to 65535',
    }),
    /**
     * Maximum number of bytes that all connections of each listener for HTTP hold together. Default: a share of the memory of
     * the process.
     */
    maxListenerBytes: Type.Optional(Type.Integer({ minimum: 65_536, description: 'an integer from 65536: bytes' })),
    /**
     * Number of connections opened by other nodes from which on a new one takes the place of another; apart for those that have
     * not said who they are.
     */
    maxPeerConnections: Type.Integer({
      minimum: 8,
      maximum: 65_535,
      default: 1312,
      description: 'an integer from 8 to 65535',
    }),
    /** Maximum number of bytes that all connections opened by other nodes hold together. Default: as for `maxListenerBytes`. */
    maxPeerBytes: Type.Optional(Type.Integer({ minimum: 65_536, description: 'an integer from 65536: bytes' })),
    /** Maximum number of calls that this node has dispatched or forwarded and that have not ended. */
    maxCallsInFlight: Type.Integer({
      minimum: 1,
      maximum: 1_000_000,
      default: 4096,
      description: 'an integer from 1 to 1000000',
    }),
    /** Maximum time for open calls to end after the node was asked to stop. */
    stopGraceMs: Type.Integer({
      minimum: 0,
      maximum: 600_000,
      default: 30_000,
      description: 'an integer from 0 to 600000 (ms)',
    }),
    logLevel: Type.Union(
      [Type.Literal('trace'), Type.Literal('debug'), Type.Literal('info'), Type.Literal('warn'), Type.Literal('error')],
      { default: 'info' },
    ),
  },
  { $id: 'settings', additionalProperties: false, description: 'an object with the settings of hemlockd' },
);
export type Settings = Static<typeof settingsSchema>;

const validator = compileSchema(settingsSchema);
const LOOPBACK = /^(127\.\d+\.\d+\.\d+|::1|localhost)$/;

/**
 * Applies defaults and validates the settings.
 *
 * @throws FailureError `settingsInvalid` with one fault per invalid field.
 * @example
 * const settings = parseSettings(JSON.parse(text));
 */
export function parseSettings(value: unknown): Settings {
  const filled = Value.Default(settingsSchema, Value.Clone(value));
  const faults = validator.isValid(filled) ? checkTrust(filled) : validator.listFaults(filled);
  if (faults.length > 0 || !validator.isValid(filled)) {
    throw new FailureError({ kind: 'settingsInvalid', message: 'the settings are invalid', faults });
  }
  return filled;
}

/** True if an address can be reached only from this machine. */
export function isLoopback(host: string): boolean {
  return LOOPBACK.test(host);
}

function checkTrust(settings: Settings): Fault[] {
  const faults: Fault[] = [];
  if (!isLoopback(settings.localListen.host)) {
    faults.push({
      path: 'localListen.host',
      found: `"${settings.localListen.host}"`,
      allowed: 'a loopback address, since this listener does not authenticate its clients',
    });
  }
  if (settings.tls === undefined && !settings.allowPlainText && !isLoopback(settings.peerListen.host)) {
    faults.push({
      path: 'peerListen.host',
      found: `"${settings.peerListen.host}" without tls`,
      allowed: 'a loopback address, or tls, or allowPlainText',
    });
  }
  return [...faults, ...checkSeeds(settings)];
}

function checkSeeds(settings: Settings): Fault[] {
  if (settings.tls !== undefined || settings.allowPlainText) return [];
  return settings.seeds.flatMap((seed, index) => {
    if (isLoopback(seed.slice(0, seed.lastIndexOf(':')))) return [];
    const allowed = 'a loopback address, or tls, or allowPlainText';
    return [{ path: `seeds.${index}`, found: `"${seed}" without tls`, allowed }];
  });
}
