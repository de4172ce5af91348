import { request } from 'undici';
import { FailureError } from '../schema/failure.js';
import type { MemberRecord } from '../schema/member.js';
import { eventPageSchema, nodeStatusSchema } from '../schema/status.js';
import { compileSchema } from '../schema/validate.js';
import type { Validator } from '../schema/validate.js';
import type { EventSource } from '../timeline/mergeEvents.js';

const FETCH_TIMEOUT_MS = 5000;
const statusValidator = compileSchema(nodeStatusSchema);
const pageValidator = compileSchema(eventPageSchema);

/** By host and incarnation of a process: position in its event buffer from which the next fetch continues. */
export type EventCursors = Map<string, number>;

export interface FetchedEvents {
  sources: EventSource[];
  /** Hosts whose events could not be fetched. */
  unreachableHosts: string[];
}

/**
 * Fetches the events of all members that a node lists, starting at the cursor of each; advances the cursors.
 *
 * @throws FailureError `nodeUnreachable` when the member list cannot be read from the node itself.
 * @example
 * const { sources } = await fetchEvents('127.0.0.1:7003');
 */
export async function fetchEvents(node: string, cursors: EventCursors = new Map()): Promise<FetchedEvents> {
  const { members } = await fetchJson(node, '/status', statusValidator);
  const fetched = await Promise.all(members.map((member) => fetchSource(member, cursors)));
  const sources = fetched.filter((source) => source !== undefined);
  const reachableHosts = new Set(sources.map(({ host }) => host));
  return { sources, unreachableHosts: members.map(({ id }) => id).filter((id) => !reachableHosts.has(id)) };
}

async function fetchSource(member: MemberRecord, cursors: EventCursors): Promise<EventSource | undefined> {
  const { id: host, incarnation, dataCenter, operatorAddress } = member;
  // The event positions of a restarted process start at 0 again.
  const key = `${host} ${incarnation}`;
  try {
    const { next, events } = await fetchJson(operatorAddress, `/events?from=${cursors.get(key) ?? 0}`, pageValidator);
    cursors.set(key, next);
    return { host, dataCenter, events };
  } catch {
    return undefined;
  }
}

async function fetchJson<Schema extends Parameters<typeof compileSchema>[0]>(
  address: string,
  path: string,
  validator: Validator<Schema>,
) {
  const limits = { headersTimeout: FETCH_TIMEOUT_MS, bodyTimeout: FETCH_TIMEOUT_MS };
  try {
    const response = await request(`http://${address}${path}`, limits);
    const value: unknown = await response.body.json();
    if (validator.isValid(value)) return value;
  } catch (error) {
    throw createUnreachableError(address, path, String(error));
  }
  throw createUnreachableError(address, path, 'the response does not match the expected schema');
}

function createUnreachableError(address: string, path: string, reason: string): FailureError {
  const message = `cannot read ${path} from the operator port ${address}: ${reason}; check the address and that the node is running`;
  return new FailureError({ kind: 'nodeUnreachable', message, address });
}
