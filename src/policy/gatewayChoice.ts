import { hashText } from '../core/hash.js';
import type { MemberRecord } from '../schema/member.js';

/** The part of a member record that the choice depends on. */
export type GatewayCandidate = Pick<MemberRecord, 'id' | 'dataCenter' | 'nodeState'>;

export const GATEWAYS_PER_DATA_CENTER = 2;

/**
 * Lists the gateways of a data centre: its first two live nodes by hash of their id.
 *
 * @example
 * const isGateway = listGateways(members.byId.values(), settings.dataCenter).includes(settings.host);
 */
export function listGateways(members: Iterable<GatewayCandidate>, dataCenter: string): string[] {
  return [...members]
    .filter((member) => member.dataCenter === dataCenter && member.nodeState === 'alive')
    .map(({ id }) => ({ id, hash: hashText(id) }))
    .sort((left, right) => left.hash - right.hash || (left.id < right.id ? -1 : 1))
    .slice(0, GATEWAYS_PER_DATA_CENTER)
    .map(({ id }) => id);
}
