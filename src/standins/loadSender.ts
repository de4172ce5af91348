import type { Agent } from 'undici';
import { request as sendRequest } from 'undici';
import type { RequestResult } from './loadRecorder.js';
import type { LoadOperation, LoadSettings } from './loadSettings.js';

export interface LoadRequest {
  operation: LoadOperation;
  callerId: string;
  body: string;
}

export interface LoadOutcome {
  result: RequestResult;
  resends: number;
}

/** Sends one request and its retries; returns the final outcome. */
export type SendLoadRequest = (request: LoadRequest) => Promise<LoadOutcome>;

interface Attempt {
  result: RequestResult;
  /** False if the response forbids a retry, or if the request may have run and must not run twice. */
  isRetryable: boolean;
  /** Ticket of the attempt; a retry with the same ticket does not run the request twice. */
  ticket: string | undefined;
}

const INITIAL_BACKOFF_MS = 50;
const IMMEDIATE_RETRY_DELAY_MS = 10;
const HTTP_OK = 200;

/** Creates the sender of the simulated callers. Picks nodes, or targets if `direct` is set, in round-robin order. */
export function createLoadSender(settings: LoadSettings, agent: Agent): SendLoadRequest {
  let nextAddressIndex = 0;
  const buildUrl = ({ service, operation }: LoadOperation): string => {
    const directAddresses = settings.direct?.[service];
    const addresses = directAddresses ?? settings.nodes.map((node) => `http://${node}/v1/call/${service}`);
    return `${addresses[nextAddressIndex++ % addresses.length] ?? ''}/${operation}`;
  };
  const sendAttempt = async (
    request: LoadRequest,
    deadlineMs: number,
    ticket: string | undefined,
  ): Promise<Attempt> => {
    const { operation, callerId, body } = request;
    const headers: Record<string, string> = { 'content-type': 'application/json' };
    if (settings.direct === undefined) {
      headers['caller-id'] = callerId;
      headers['deadline-ms'] = String(Math.ceil(deadlineMs));
      if (ticket !== undefined) headers['idempotency-key'] = ticket;
    }
    try {
      const signal = AbortSignal.timeout(Math.ceil(deadlineMs));
      const response = await sendRequest(buildUrl(operation), {
        method: 'POST',
        dispatcher: agent,
        headers,
        body,
        signal,
      });
      const text = await response.body.text();
      if (response.statusCode === HTTP_OK) return { result: 'completed', isRetryable: false, ticket };
      const key = response.headers['idempotency-key'];
      return { ...parseErrorResponse(text), ticket: typeof key === 'string' ? key : ticket };
    } catch {
      return { result: 'failed', isRetryable: operation.idempotent || settings.direct !== undefined, ticket };
    }
  };
  return async (request) => {
    const { deadlineMs } = request.operation;
    const startedAtMs = performance.now();
    let ticket: string | undefined;
    for (let resends = 0; ; resends++) {
      const elapsedMs = settings.isRetryingHard ? 0 : performance.now() - startedAtMs;
      const attempt = await sendAttempt(request, Math.max(1, deadlineMs - elapsedMs), ticket);
      ticket = attempt.ticket;
      const isWithinDeadline = performance.now() - startedAtMs <= deadlineMs;
      const isLast =
        resends >= settings.maxResends || (!settings.isRetryingHard && !(attempt.isRetryable && isWithinDeadline));
      if (attempt.result === 'completed') return { result: isWithinDeadline ? 'completed' : 'failed', resends };
      if (isLast) return { result: attempt.result, resends };
      await waitFor(settings.isRetryingHard ? IMMEDIATE_RETRY_DELAY_MS : INITIAL_BACKOFF_MS * 2 ** resends);
    }
  };
}

function parseErrorResponse(text: string): Pick<Attempt, 'result' | 'isRetryable'> {
  try {
    const { failure } = JSON.parse(text) as { failure?: { ran?: string; retry?: string } };
    if (failure?.ran === 'no') return { result: 'refused', isRetryable: failure.retry !== 'never' };
  } catch {
    // A response of any other form does not tell whether the request ran.
  }
  return { result: 'failed', isRetryable: false };
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
