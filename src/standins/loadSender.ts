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

/** Sends one request with its resends. */
export type SendLoadRequest = (request: LoadRequest) => Promise<LoadOutcome>;

interface Attempt {
  result: RequestResult;
  /** False when the answer forbids a resend or the work may have run and must not run twice. */
  isResendUseful: boolean;
  /** The ticket under which the attempt ran, which makes a resend safe. */
  ticket: string | undefined;
}

const FIRST_PAUSE_MS = 50;
const HARD_PAUSE_MS = 10;
const OK = 200;

/** Creates the sending side of the callers: to nodes in turn, or to targets in turn without hemlockstack. */
export function createLoadSender(settings: LoadSettings, agent: Agent): SendLoadRequest {
  let nextAddress = 0;
  const buildUrl = ({ service, operation }: LoadOperation): string => {
    const direct = settings.direct?.[service];
    const addresses = direct ?? settings.nodes.map((node) => `http://${node}/v1/call/${service}`);
    return `${addresses[nextAddress++ % addresses.length] ?? ''}/${operation}`;
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
      const answer = await sendRequest(buildUrl(operation), {
        method: 'POST',
        dispatcher: agent,
        headers,
        body,
        signal,
      });
      const text = await answer.body.text();
      if (answer.statusCode === OK) return { result: 'completed', isResendUseful: false, ticket };
      const key = answer.headers['idempotency-key'];
      return { ...parseRefusal(text), ticket: typeof key === 'string' ? key : ticket };
    } catch {
      return { result: 'failed', isResendUseful: operation.idempotent || settings.direct !== undefined, ticket };
    }
  };
  return async (request) => {
    const { deadlineMs } = request.operation;
    const startedAtMs = performance.now();
    let ticket: string | undefined;
    for (let resends = 0; ; resends++) {
      const spentMs = settings.isRetryingHard ? 0 : performance.now() - startedAtMs;
      const attempt = await sendAttempt(request, Math.max(1, deadlineMs - spentMs), ticket);
      ticket = attempt.ticket;
      const isInTime = performance.now() - startedAtMs <= deadlineMs;
      const isLast =
        resends >= settings.maxResends || (!settings.isRetryingHard && !(attempt.isResendUseful && isInTime));
      if (attempt.result === 'completed') return { result: isInTime ? 'completed' : 'failed', resends };
      if (isLast) return { result: attempt.result, resends };
      await waitFor(settings.isRetryingHard ? HARD_PAUSE_MS : FIRST_PAUSE_MS * 2 ** resends);
    }
  };
}

function parseRefusal(text: string): Pick<Attempt, 'result' | 'isResendUseful'> {
  try {
    const { failure } = JSON.parse(text) as { failure?: { ran?: string; retry?: string } };
    if (failure?.ran === 'no') return { result: 'refused', isResendUseful: failure.retry !== 'never' };
  } catch {
    // An answer of another form says nothing about the work.
  }
  return { result: 'failed', isResendUseful: false };
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
