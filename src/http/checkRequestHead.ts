import type { Refusal } from '../schema/refusal.js';
import type { RequestLimits } from '../schema/routeConfiguration.js';
import type { MessageHead, ParseError } from './messageParser.js';
import type { RequestHead } from './requestHead.js';

/** Error code of Node's parser, and of the reader, for a head beyond the limit. */
export const HEAD_OVERFLOW_CODE = 'HPE_HEADER_OVERFLOW';

/** Returns the refusal of a request that does not name the host it is for. */
export function checkHost({ host }: RequestHead): Refusal | undefined {
  return host === '' ? { kind: 'malformed', detail: 'the Host header is missing' } : undefined;
}

/** Returns the refusal of a request without what a node needs to route it and to name its response. */
export function checkRoutedHead(head: RequestHead): Refusal | undefined {
  const refusal = checkHost(head);
  if (refusal !== undefined) return refusal;
  return head.requestId === '' ? { kind: 'malformed', detail: 'the header with the request id is missing' } : undefined;
}

/** Returns the refusal of a request whose head is invalid or beyond the limits. */
export function checkRequestHead(
  request: { head: RequestHead; message: MessageHead; readBytes: number },
  limits: RequestLimits | undefined,
): Refusal | undefined {
  const { head, message, readBytes } = request;
  if (message.isUpgrade) return { kind: 'malformed', detail: 'protocol upgrades are not supported' };
  if (!message.url.startsWith('/')) return { kind: 'malformed', detail: 'the path must begin with a slash' };
  if (limits === undefined) return undefined;
  const { headBytes, bodyBytes } = head;
  // `headBytes` counts a space after each colon, which clients may leave out; `readBytes` may count more than the head.
  if (Math.min(headBytes, readBytes) > limits.maxHeaderBytes)
    return { kind: 'headersTooLarge', detail: `${headBytes} bytes` };
  return bodyBytes > limits.maxBodyBytes ? { kind: 'bodyTooLarge', detail: `${bodyBytes} bytes` } : undefined;
}

/**
 * Builds the refusal of a request that cannot be parsed.
 *
 * @example
 * exchange.refuse(buildFaultRefusal(fault));
 */
export function buildFaultRefusal({ code, message }: ParseError): Refusal {
  return { kind: code === HEAD_OVERFLOW_CODE ? 'headersTooLarge' : 'malformed', detail: message };
}
