import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { LISTEN_PORT_PATTERN } from './address.js';
import type { Fault } from './failure.js';
import { compileSchema } from './validate.js';

export const targetStateSchema = Type.Union([
  Type.Literal('none'),
  Type.Literal('starting'),
  Type.Literal('ready'),
  Type.Literal('draining'),
]);
export type TargetState = Static<typeof targetStateSchema>;

export const nodeStateSchema = Type.Union([Type.Literal('alive'), Type.Literal('leaving'), Type.Literal('down')]);
export type NodeState = Static<typeof nodeStateSchema>;

/** Membership record of one node. Of two records of a node, the later start time wins, then the higher version. */
export const memberRecordSchema = Type.Object({
  /** Host name; unique in the fleet. */
  id: Type.String({ minLength: 1, maxLength: 255 }),
  incarnation: Type.String({ minLength: 1, maxLength: 32 }),
  /** Wall time (ms) at which the process started; orders the incarnations of a host. */
  startedAtMs: Type.Number(),
  version: Type.Integer({ minimum: 0 }),
  region: Type.String({ maxLength: 64 }),
  dataCenter: Type.String({ maxLength: 64 }),
  peerAddress: Type.String({ maxLength: 255, pattern: `^\\S+:${LISTEN_PORT_PATTERN}$` }),
  callerAddress: Type.String({ maxLength: 255 }),
  operatorAddress: Type.String({ maxLength: 255 }),
  service: Type.Optional(Type.String({ maxLength: 64 })),
  targetState: targetStateSchema,
  nodeState: nodeStateSchema,
});
export type MemberRecord = Static<typeof memberRecordSchema>;

/** Announcement that a target sends to its node every second. */
export const targetAnnouncementSchema = Type.Object(
  {
    service: Type.String({ pattern: '^[a-zA-Z][a-zA-Z0-9-]{0,62}$', description: 'a service name' }),
    address: Type.String({ pattern: '^https?://[^/]+$', description: 'an address such as http://127.0.0.1:8080' }),
    state: Type.Union([Type.Literal('starting'), Type.Literal('ready'), Type.Literal('draining')]),
    /** Differs for each start of the target process, so that its node can detect a restart. */
    incarnation: Type.String({ minLength: 1, maxLength: 64, description: 'a text of 1 to 64 characters' }),
  },
  { additionalProperties: false },
);
export type TargetAnnouncement = Static<typeof targetAnnouncementSchema>;

const announcementValidator = compileSchema(targetAnnouncementSchema);

export type ParsedAnnouncement =
  { type: 'parsed'; announcement: TargetAnnouncement } | { type: 'invalid'; faults: Fault[] };

/**
 * Validates an announcement against its schema, and its address against what connections accept.
 *
 * @example
 * const parsed = parseAnnouncement(JSON.parse(text));
 */
export function parseAnnouncement(value: unknown): ParsedAnnouncement {
  if (!announcementValidator.isValid(value))
    return { type: 'invalid', faults: announcementValidator.listFaults(value) };
  if (isOrigin(value.address)) return { type: 'parsed', announcement: value };
  const allowed = 'an address such as http://127.0.0.1:8080';
  return { type: 'invalid', faults: [{ path: 'address', found: JSON.stringify(value.address), allowed }] };
}

/** True for a URL of a scheme, a host and a port. */
function isOrigin(address: string): boolean {
  if (!URL.canParse(address)) return false;
  const { origin, href } = new URL(address);
  return href === `${origin}/`;
}
