import { isAddress } from '../schema/address.js';
import { targetIdSchema } from '../schema/headText.js';
import type { PublishedTarget } from '../schema/nodeMember.js';
import type { RequestSettings } from '../schema/requestSettings.js';
import { compileSchema } from '../schema/validate.js';

const idValidator = compileSchema(targetIdSchema);

/** True if a target may have this id. */
export function isTargetId(id: string): boolean {
  return idValidator.isValid(id);
}

/**
 * Returns the reason why a target cannot be the one of this host; undefined if it can. Other senders may send heartbeats to any
 * node, and a record may have been published by an earlier version or for the settings of an earlier start.
 *
 * @example
 * const fault = findTargetFault({ ...heartbeat, id }, board.read('settings').current);
 * if (fault !== undefined) refuse(fault);
 */
export function findTargetFault(
  { id, service, address }: Pick<PublishedTarget, 'id' | 'service' | 'address'>,
  settings: Pick<RequestSettings, 'service' | 'targetAddress'>,
): string | undefined {
  if (!isTargetId(id)) return 'its id cannot be sent in a header';
  if (!isAddress(address)) return 'no connection can be opened to its address';
  if (service !== settings.service) return `the target of this host serves ${settings.service}`;
  const { targetAddress } = settings;
  if (targetAddress === undefined || address === targetAddress) return undefined;
  return `the target of this host has the address ${targetAddress}`;
}

/**
 * The same for a published target. One that left before any heartbeat of it arrived has neither service nor address, and its
 * leave holds all the same.
 *
 * @example
 * if (findPublishedTargetFault(previousTarget, settings) === undefined) restoreTarget(previousTarget);
 */
export function findPublishedTargetFault(
  target: PublishedTarget,
  settings: Pick<RequestSettings, 'service' | 'targetAddress'>,
): string | undefined {
  const { id, phase, service, address } = target;
  if (isTargetId(id) && phase === 'left' && service === '' && address === '') return undefined;
  return findTargetFault(target, settings);
}
