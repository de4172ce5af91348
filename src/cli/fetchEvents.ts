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

/** Position in the event ring of each process up to which events were fetched. */
export type EventCursors = Map<string, number>;

export interface FetchedEvents {
  sources: EventSource[];
  /** Hosts whose events could not be fetched. */
  missing: string[];
}

/**
 * Fetches the events of all processes that a node knows, from each cursor on; moves the cursors.
 *
 * @throws FailureError `nodeUnreachable` when the node itself gives no list of members.
 * @example
 * const { sources } = await fetchEvents('127.0.0.1:7003');
 */
export async function fetchEvents(node: string, cursors: EventCursors = new Map()): Promise<FetchedEvents> {
  const { members } = await fetchJson(node, '/status', statusValidator);
  const fetched = await Promise.all(members.map((member) => fetchSource(member, cursors)));
  const sources = fetched.filter((source) => source !== undefined);
  const found = new Set(sources.map(({ host }) => host));
  return { sources, missing: members.map(({ id }) => id).filter((id) => !found.has(id)) };
}

async function fetchSource(member: MemberRecord, cursors: EventCursors): Promise<EventSource | undefined> {
  const { id: host, incarnation, dataCenter, operatorAddress } = member;
  // A restarted process counts its events from the start again.
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
  throw createUnreachableError(address, path, 'its answer has another form');
}

function createUnreachableError(address: string, path: string, reason: string): FailureError {
  const message = `cannot read ${path} from the operator port ${address}: ${reason}; check the address and that the node runs`;
  return new FailureError({ kind: 'nodeUnreachable', message, address });
}
