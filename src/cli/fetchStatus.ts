import { request } from 'undici';
import { FailureError } from '../schema/failure.js';
import { nodeStatusSchema } from '../schema/status.js';
import type { NodeStatus } from '../schema/status.js';
import { compileSchema } from '../schema/validate.js';

const RESPONSE_TIMEOUT_MS = 2000;
const validator = compileSchema(nodeStatusSchema);

/**
 * Fetches the status of a node from its operator address.
 *
 * @throws FailureError `nodeUnreachable`.
 * @example
 * const status = await fetchStatus('127.0.0.1:7403');
 */
export async function fetchStatus(address: string): Promise<NodeStatus> {
  const url = `${address.startsWith('http') ? address : `http://${address}`}/status`;
  const limits = { headersTimeout: RESPONSE_TIMEOUT_MS, bodyTimeout: RESPONSE_TIMEOUT_MS };
  try {
    const response = await request(url, { ...limits, signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS) });
    const status: unknown = await response.body.json();
    if (response.statusCode === 200 && validator.isValid(status)) return status;
    throw createUnreachableError(address, `HTTP ${response.statusCode} without a valid node status`);
  } catch (error) {
    if (error instanceof FailureError) throw error;
    throw createUnreachableError(address, String(error));
  }
}

function createUnreachableError(address: string, reason: string): FailureError {
  const message = `cannot read the status of the node at ${address}: ${reason}; pass the operator address of a running node`;
  return new FailureError({ kind: 'nodeUnreachable', message, address });
}
