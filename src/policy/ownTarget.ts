import { isAddress } from '../schema/address.js';
import type { PublishedTarget } from '../schema/nodeMember.js';
import type { RequestSettings } from '../schema/requestSettings.js';

/**
 * Returns the reason why a target cannot be the one of this host; undefined if it can. Other senders may send heartbeats to any
 * node, and a record may have been published by an earlier version or for the settings of an earlier start.
 *
 * @example
 * const fault = findTargetFault(heartbeat, board.read('settings').current);
 * if (fault !== undefined) refuse(fault);
 */
export function findTargetFault(
  { service, address }: Pick<PublishedTarget, 'service' | 'address'>,
  settings: Pick<RequestSettings, 'service' | 'targetAddress'>,
): string | undefined {
  if (!isAddress(address)) return 'no connection can be opened to its address';
  if (service !== settings.service) return `the target of this host serves ${settings.service}`;
  const { targetAddress } = settings;
  if (targetAddress === undefined || address === targetAddress) return undefined;
  return `the target of this host has the address ${targetAddress}`;
}
