import { Pool } from 'undici';
import type { Dispatcher } from 'undici';
import type { CallTarget, ProbeTarget } from '../control/context.js';
import type { TargetOutcome, TargetRequest } from '../schema/call.js';
import { createCallFailure } from '../schema/failure.js';
import type { CallFailureKind, Ran } from '../schema/failure.js';
import { MAX_ANSWER_BODY_BYTES } from '../schema/frame.js';
import { probeAddress } from './probeAddress.js';

export interface TargetClient {
  callTarget: CallTarget;
  probeTarget: ProbeTarget;
  stop(): Promise<void>;
}

const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const SERVICE_UNAVAILABLE = 503;
const MAX_STATUS = 599;
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';
const VALID_CONTENT_TYPE = /^[\x20-\x7e]{1,255}$/;

interface RequestState {
  /** True once the request was assigned to a connection; before that it cannot have reached the target. */
  isStarted: boolean;
  isSettled: boolean;
  /** 0 until the head of the response arrived. */
  status: number;
  contentType: string;
  /** True if the target responded that it did not run the call. */
  isRefused: boolean;
  chunks: Buffer[];
  bytes: number;
  controller: Dispatcher.DispatchController | undefined;
}

/**
 * Creates the HTTP client to the target on this host.
 *
 * @example
 * const client = createTargetClient({ connections: 256 });
 * const cancel = client.callTarget(request, (outcome) => settle(outcome));
 */
export function createTargetClient(options: { connections: number }): TargetClient {
  const pools = new Map<string, Pool>();
  const getPool = (address: string): Pool => {
    let pool = pools.get(address);
    if (pool === undefined) {
      pool = new Pool(address, {
        connections: options.connections,
        pipelining: 1,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      });
      pools.set(address, pool);
    }
    return pool;
  };
  return {
    callTarget: (request, done) => sendRequest(getPool(request.address), request, done),
    probeTarget: probeAddress,
    stop: async () => {
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
    },
  };
}

/** Replaces a content type that frames or HTTP headers cannot carry, so that the answer is still delivered. */
function normalizeContentType(value: string | string[] | undefined): string {
  const text = String(value ?? DEFAULT_CONTENT_TYPE);
  return VALID_CONTENT_TYPE.test(text) ? text : DEFAULT_CONTENT_TYPE;
}

function sendRequest(pool: Pool, request: TargetRequest, done: (outcome: TargetOutcome) => void): () => void {
  const state: RequestState = {
    isStarted: false,
    isSettled: false,
    status: 0,
    contentType: '',
    isRefused: false,
    chunks: [],
    bytes: 0,
    controller: undefined,
  };
  const settle = (outcome: TargetOutcome): void => {
    if (state.isSettled) return;
    state.isSettled = true;
    done(outcome);
  };
  const fail = (kind: CallFailureKind, message: string, ran?: Ran): void => {
    settle({ type: 'failure', failure: createCallFailure(kind, message, ran === undefined ? {} : { ran }) });
  };
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: (controller) => {
      state.controller = controller;
      if (state.isSettled) controller.abort(new DOMException('the call was cancelled', 'AbortError'));
      else state.isStarted = true;
    },
    onResponseStart: (_controller, status, headers) => {
      state.status = status;
      state.contentType = normalizeContentType(headers['content-type']);
      state.isRefused = status === SERVICE_UNAVAILABLE && headers['hemlock-ran'] === 'no';
    },
    onResponseData: (controller, chunk) => {
      state.bytes += chunk.length;
      if (state.bytes <= MAX_ANSWER_BODY_BYTES) {
        state.chunks.push(chunk);
        return;
      }
      fail('answerTooLarge', `the response body has more than ${MAX_ANSWER_BODY_BYTES} bytes`);
      controller.abort(new DOMException('the response body is too large', 'AbortError'));
    },
    onResponseEnd: () => {
      if (state.isRefused) fail('targetRefused', `the target of ${request.service} refused the call`);
      else if (state.status > MAX_STATUS)
        fail('targetFailed', `${request.address} responded with status ${state.status}`, 'unknown');
      else
        settle({
          type: 'answer',
          status: state.status,
          contentType: state.contentType,
          body: Buffer.concat(state.chunks),
        });
    },
    onResponseError: (_controller, error) => {
      if (!state.isStarted) fail('targetUnreachable', `cannot connect to ${request.address}: ${error.message}`);
      else if (state.status !== 0)
        fail('answerTruncated', `the response of ${request.address} was truncated: ${error.message}`);
      else fail('connectionLost', `the connection to ${request.address} was lost: ${error.message}`);
    },
  };
  pool.dispatch(
    {
      method: 'POST',
      path: `/${request.operation}`,
      headers: {
        'content-type': request.contentType,
        'hemlock-call': request.token,
        'hemlock-request': request.requestId,
        'hemlock-deadline-ms': String(Math.max(1, Math.round(request.deadlineMs))),
      },
      body: Buffer.from(request.body),
      // No timeouts: the caller of `callTarget` cancels the call.
      headersTimeout: 0,
      bodyTimeout: 0,
    },
    handler,
  );
  return () => {
    state.isSettled = true;
    state.controller?.abort(new DOMException('the call was cancelled', 'AbortError'));
  };
}
