import { hashText } from '../core/hash.js';

/** What tells a request that comes again from others. */
export interface FingerprintedRequest {
  method: string;
  path: string;
  /** Undefined where there is none or it is streamed, which counts as any body. */
  body?: Uint8Array | undefined;
}

/**
 * Computes by what a request that crashes targets is recognized when it comes again, perhaps at another host.
 *
 * @example
 * const fingerprint = computeFingerprint({ method: 'GET', path: '/orders/7' });
 */
export function computeFingerprint({ method, path, body }: FingerprintedRequest): number {
  const bodyHash = body === undefined || body.length === 0 ? 0 : hashText(Buffer.from(body).toString('latin1'));
  return hashText(`${method} ${path} ${bodyHash}`);
}
