import { hashText } from '../core/hash.js';

/** Fields by which a repeated request is recognized. */
export interface FingerprintedRequest {
  method: string;
  path: string;
  /** Undefined when the request has no body or its body is streamed; a streamed body does not enter the hash. */
  body?: Uint8Array | undefined;
  /** Service of the host at which the request entered. */
  callerService: string;
  /** Organisation that sent the request; undefined if none did. */
  organisation?: string | undefined;
}

/**
 * Computes a hash by which a request that crashes targets is recognized when it is sent again, also to another host.
 *
 * @example
 * const fingerprint = computeFingerprint({ method: 'GET', path: '/orders/7', callerService: 'desk' });
 */
export function computeFingerprint(request: FingerprintedRequest): number {
  const { method, path, body, callerService, organisation = '' } = request;
  const bodyHash = body === undefined || body.length === 0 ? 0 : hashText(Buffer.from(body).toString('latin1'));
  return hashText(JSON.stringify([method, path, bodyHash, callerService, organisation]));
}
