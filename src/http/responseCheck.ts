import type { TargetNotice } from '../control/requests/runPort.js';
import { MAX_RATE_PER_SECOND } from '../schema/nodeMember.js';
import { findHeader, listHeader } from './requestHeaders.js';
import type { RequestHeaderNames } from './requestHeaders.js';

/** The status and headers of a target's response. */
export interface ResponseHead {
  status: number;
  /** Alternating names and values. */
  rawHeaders: readonly string[];
}

const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;
/** 101 is not among them, since no request asks to switch protocols. */
const interimStatuses: ReadonlySet<number> = new Set([100, 102, 103]);

/** True for the status of an interim response, which a final response follows. */
export function isInterimStatus(status: number): boolean {
  return status < MIN_FINAL_STATUS && interimStatuses.has(status);
}

/**
 * Returns the reason if a response cannot be the target's own response to the request: because its status is not final,
 * it has another request id, or it is a success without a signature or with a content encoding. Returns undefined for a
 * valid response.
 */
export function findResponseFault(
  { status, rawHeaders }: ResponseHead,
  requestId: string,
  names: RequestHeaderNames,
): string | undefined {
  if (status < MIN_FINAL_STATUS || status > MAX_FINAL_STATUS) return `the response has the status ${status}`;
  const echoedId = findHeader(rawHeaders, names.requestId);
  if (echoedId !== requestId) return `the response has the request id ${echoedId ?? '(none)'}`;
  if (status < 200 || status > 299) return undefined;
  if (findHeader(rawHeaders, names.signature) === undefined) return 'a successful response without a signature';
  const encoding = findHeader(rawHeaders, 'content-encoding');
  if (encoding !== undefined && encoding !== 'identity') return `unsupported content encoding ${encoding}`;
  return undefined;
}

/** Returns the timeout of the `Keep-Alive` header (ms), for which the target keeps an idle connection open. */
export function parseKeepAliveTimeout({ rawHeaders }: ResponseHead): number | undefined {
  const seconds = /timeout=(\d+)/.exec(findHeader(rawHeaders, 'keep-alive') ?? '')?.[1];
  return seconds === undefined ? undefined : Number(seconds) * 1000;
}

const DECIMAL_NUMBER = /^\d+(\.\d+)?$/;

/** Position of the pace among the figures of the load header, after running, waiting and slots. */
const PACE_POSITION = 3;
/** The pace in the load header of a target that works as fast as usual. */
const USUAL_PACE = 100;

function parsePace(load: string | undefined): number | undefined {
  const figure = load?.split(',')[PACE_POSITION]?.trim();
  return figure !== undefined && DECIMAL_NUMBER.test(figure) ? Number(figure) / USUAL_PACE : undefined;
}

/** Reads what a target says about itself in the head of a response. Of several limits the lowest one holds. */
export function parseTargetNotice({ rawHeaders }: ResponseHead, names: RequestHeaderNames): TargetNotice {
  const limits = listHeader(rawHeaders, names.rateLimit).flatMap((value) => value.split(','));
  const readable = limits.map((limit) => limit.trim()).filter((limit) => DECIMAL_NUMBER.test(limit));
  return {
    ratePerSecond: readable.length > 0 ? Math.min(...readable.map(Number), MAX_RATE_PER_SECOND) : undefined,
    isLeaving: findHeader(rawHeaders, names.leaving)?.trim() === '1',
    pace: parsePace(findHeader(rawHeaders, names.load)),
    unreadableLimit: limits.length > readable.length ? limits.join(',') : undefined,
  };
}
