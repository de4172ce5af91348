import { findHeader } from './requestHeaders.js';
import type { RequestHeaderNames } from './requestHeaders.js';

/** The head of a target's answer. */
export interface ResponseHead {
  status: number;
  /** Names and values in turn. */
  rawHeaders: readonly string[];
}

/**
 * Finds out why an answer cannot be the target's own answer to a request: it names another request, or is a success
 * without signature or in another encoding than asked for.
 */
export function findResponseFault(
  { status, rawHeaders }: ResponseHead,
  requestId: string,
  names: RequestHeaderNames,
): string | undefined {
  const echoed = findHeader(rawHeaders, names.requestId);
  if (echoed !== requestId) return `the answer names request ${echoed ?? '(none)'}`;
  if (status < 200 || status > 299) return undefined;
  if (findHeader(rawHeaders, names.signature) === undefined) return 'a success without signature';
  const encoding = findHeader(rawHeaders, 'content-encoding');
  if (encoding !== undefined && encoding !== 'identity') return `a body in encoding ${encoding}`;
  return undefined;
}

/** True when only the end of the connection ends the body: it has neither a length nor chunks. */
export function isCloseDelimited({ status, rawHeaders }: ResponseHead, method: string): boolean {
  if (status === 204 || status === 304 || method === 'HEAD') return false;
  return (
    findHeader(rawHeaders, 'content-length') === undefined && findHeader(rawHeaders, 'transfer-encoding') === undefined
  );
}

/** How long the target says that it keeps an idle connection (ms). */
export function parseKeepAliveTimeout({ rawHeaders }: ResponseHead): number | undefined {
  const seconds = /timeout=(\d+)/.exec(findHeader(rawHeaders, 'keep-alive') ?? '')?.[1];
  return seconds === undefined ? undefined : Number(seconds) * 1000;
}
