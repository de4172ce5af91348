import { isAddress } from '../schema/address.js';
import type { PublishedTarget } from '../schema/nodeMember.js';

/**
 * Returns the reason why a target cannot be the one of this host; undefined if it can. Records of earlier versions and
 * heartbeats of other senders may name any target.
 *
 * @example
 * const fault = findTargetFault(heartbeat);
 * if (fault !== undefined) refuse(fault);
 */
export function findTargetFault({ address }: Pick<PublishedTarget, 'address'>): string | undefined {
  return isAddress(address) ? undefined : 'no connection can be opened to its address';
}
