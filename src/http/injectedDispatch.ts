import { setImmediate } from 'node:timers/promises';
import type { FastifyInstance, LightMyRequestResponse } from 'fastify';
import type { AcceptRequest, ClientRequest } from '../control/requests/entry.js';
import type { RunAnswer } from '../control/requests/runPort.js';
import { handleWithoutBody } from './controlRoutes.js';
import { isHopByHop } from './requestHeaders.js';

/** Scheme and host in front of a path: without them, a path that begins with two slashes would be read as a host. */
const PATH_BASE = 'http://localhost';

/**
 * Creates the handler of requests that injects them into a fastify instance without a listener of its own. An injection that
 * fails ends its connection: whether the request has run is not known then.
 *
 * @param reportFault Called with the error of a failed injection.
 * @example
 * const server = await startRequestServer({ ...options, accept: createInjectedDispatch(fastify, reportFault) });
 */
export function createInjectedDispatch(fastify: FastifyInstance, reportFault: (error: unknown) => void): AcceptRequest {
  return (request, reply, { remoteAddress }) => {
    const cancellation = new AbortController();
    const { method, path, body } = request;
    fastify
      .inject({
        method: method as 'POST',
        url: `${PATH_BASE}${path}`,
        headers: collectHeaders(request),
        ...(body === undefined ? {} : { payload: Buffer.from(body.buffer, body.byteOffset, body.byteLength) }),
        ...(remoteAddress === undefined ? {} : { remoteAddress }),
        signal: cancellation.signal,
        validate: false,
      })
      .then(async (response) => {
        // An injection is released only in the next turn of the event loop, and all of them may end within one.
        if (request.isExcess) await setImmediate();
        reply.answer(buildAnswer(response));
      })
      .catch((error: unknown) => {
        if (cancellation.signal.aborted) return;
        reportFault(error);
        reply.abort();
      });
    return {
      ...handleWithoutBody,
      cancel: () => {
        cancellation.abort();
      },
    };
  };
}

/** Joins the values of repeated headers, whose names are in lower case then. */
function collectHeaders({ headers, identityHeaders, host }: ClientRequest): Record<string, string> {
  const collected = new Map([['host', host]]);
  const all = [...headers, ...identityHeaders];
  for (let index = 0; index + 1 < all.length; index += 2) {
    const name = (all[index] ?? '').toLowerCase();
    const value = all[index + 1] ?? '';
    const earlier = name === 'host' ? undefined : collected.get(name);
    collected.set(name, earlier === undefined ? value : `${earlier}, ${value}`);
  }
  return Object.fromEntries(collected);
}

function buildAnswer({ statusCode, headers, rawPayload }: LightMyRequestResponse): RunAnswer {
  const forwarded: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !isHopByHop(name)) forwarded.push(name, String(value));
  }
  return { status: statusCode, headers: forwarded, body: rawPayload, isStreamed: false };
}
