import type { AcceptRequest, ClientReply, ClientRequest } from '../control/requests/entry.js';
import type { RunHandle } from '../control/requests/runPort.js';
import { targetIdSchema } from '../schema/headText.js';
import { heartbeatSchema, leaveSchema } from '../schema/nodeMember.js';
import type { Heartbeat } from '../schema/nodeMember.js';
import { compileSchema, formatFault } from '../schema/validate.js';
import { parseJsonBody } from './parseJsonBody.js';

export interface TargetRouteOptions {
  /** Maps the JSON body of a heartbeat or a leave to their fields; the result is validated afterwards. */
  decodeTargetMessage: (body: unknown) => unknown;
  /** Handles a heartbeat; calls `acknowledge` or `refuse` once to send the response. */
  receiveHeartbeat: (
    id: string,
    heartbeat: Heartbeat,
    acknowledge: () => void,
    refuse: (fault: string) => void,
  ) => void;
  /**
   * Handles the announcement that the local target leaves; calls `acknowledge` once to send the response. `startedAtMs` is the
   * Unix time at which the target started, if it names it.
   */
  receiveLeave: (id: string, acknowledge: () => void, startedAtMs?: number) => void;
  /** Called with the kind of the error, the target and the first fault of an invalid heartbeat, or with an internal error. */
  reportInvalidHeartbeat: (outcome: string, inputs: Record<string, string>) => void;
}

const heartbeatValidator = compileSchema(heartbeatSchema);
const leaveValidator = compileSchema(leaveSchema);
const targetIdValidator = compileSchema(targetIdSchema);
/** Time within which a message of the target is acknowledged or refused (ms); it waits for a second. */
const MAX_ACKNOWLEDGE_MS = 900;
/** Path of a message of a target with this id, which may be percent-encoded. */
const TARGET_PATH = /^\/v1\/targets\/([^/]{0,300})\/(heartbeat|leave)$/;
/** Handle of a request that has its whole body and cannot be cancelled. */
export const handleWithoutBody: RunHandle = {
  cancel: () => undefined,
  grantAnswer: () => undefined,
  sendBody: () => undefined,
};

/**
 * Creates the handler of heartbeats and of announcements that the target leaves.
 *
 * @example
 * const accept = createTargetRoutes({ decodeTargetMessage, receiveHeartbeat, receiveLeave, reportInvalidHeartbeat });
 */
export function createTargetRoutes(options: TargetRouteOptions): AcceptRequest {
  const receiveHeartbeat = (id: string, body: unknown, reply: ClientReply): RunHandle => {
    const value = options.decodeTargetMessage(body);
    if (heartbeatValidator.isValid(value)) {
      const acknowledgement = createAcknowledgement(reply);
      options.receiveHeartbeat(id, value, acknowledgement.acknowledge, acknowledgement.refuse);
      return acknowledgement.handle;
    }
    const fault = heartbeatValidator.listFaults(value).map(formatFault)[0] ?? 'not JSON';
    options.reportInvalidHeartbeat('malformed heartbeat', { target: id, fault });
    sendJson(reply, 400, { fault });
    return handleWithoutBody;
  };
  return (request, reply) => {
    const [, encodedId = '', message] = TARGET_PATH.exec(readPath(request)) ?? [];
    const id = decodeId(encodedId);
    if (id === undefined || message === undefined || request.method !== 'POST') return refuseUnknown(reply);
    const [idFault] = targetIdValidator.listFaults(id).map(formatFault);
    if (idFault !== undefined) {
      options.reportInvalidHeartbeat('invalid target id', { target: id, fault: idFault });
      sendJson(reply, 400, { fault: idFault });
      return handleWithoutBody;
    }
    if (message === 'heartbeat') return receiveHeartbeat(id, parseJsonBody(request.body), reply);
    const acknowledgement = createAcknowledgement(reply);
    const leave = options.decodeTargetMessage(parseJsonBody(request.body));
    // A leave without a body, or with one that cannot be read, names no start.
    const startedAtMs = leaveValidator.isValid(leave) ? leave.startedAtMs : undefined;
    options.receiveLeave(id, acknowledgement.acknowledge, startedAtMs);
    return acknowledgement.handle;
  };
}

/**
 * Creates the handler of a listener with one path, which is read.
 *
 * @example
 * const accept = createReadRoute('/metrics', async () => ({ status: 200, type: 'text/plain', text: await render() }));
 */
export function createReadRoute(
  path: string,
  read: () => Promise<{ status: number; type: string; text: string }>,
): AcceptRequest {
  return (request, reply) => {
    const isRead = request.method === 'GET' || request.method === 'HEAD';
    if (!isRead || readPath(request) !== path) return refuseUnknown(reply);
    read().then(
      ({ status, type, text }) => {
        send(reply, { status, type, text });
      },
      (error: unknown) => {
        reply.refuse({ kind: 'failed', detail: String(error) });
      },
    );
    return handleWithoutBody;
  };
}

/**
 * Wraps a handler so that an error in it fails only its request, with 500.
 *
 * @example
 * const accept = wrapErrors(createTargetRoutes(options), reportError);
 */
export function wrapErrors(accept: AcceptRequest, report: (error: unknown) => void): AcceptRequest {
  return (request, reply, origin) => {
    try {
      return accept(request, reply, origin);
    } catch (error) {
      report(error);
      sendJson(reply, 500, { fault: 'internal error' });
      return handleWithoutBody;
    }
  };
}

/** Responses to a message of a target; only the first one is sent. */
interface Acknowledgement {
  acknowledge: () => void;
  refuse: (fault: string) => void;
  handle: RunHandle;
}

/** Creates the responses to a message; without one of them in time, the message is refused. */
function createAcknowledgement(reply: ClientReply): Acknowledgement {
  let isSent = false;
  const sendOnce = (status: number, value: unknown): void => {
    if (isSent) return;
    isSent = true;
    clearTimeout(timer);
    sendJson(reply, status, value);
  };
  const timer = setTimeout(() => {
    sendOnce(503, { fault: `not acknowledged within ${MAX_ACKNOWLEDGE_MS} ms` });
  }, MAX_ACKNOWLEDGE_MS);
  const cancel = (): void => {
    isSent = true;
    clearTimeout(timer);
  };
  return {
    acknowledge: () => {
      sendOnce(200, {});
    },
    refuse: (fault) => {
      sendOnce(400, { fault });
    },
    handle: { ...handleWithoutBody, cancel },
  };
}

function readPath({ path }: ClientRequest): string {
  return path.split('?', 1)[0] ?? '';
}

/** Decodes the id of a target in a path; returns undefined if its percent-encoding is invalid. */
function decodeId(encoded: string): string | undefined {
  try {
    return decodeURIComponent(encoded);
  } catch {
    return undefined;
  }
}

function refuseUnknown(reply: ClientReply): RunHandle {
  queueMicrotask(() => {
    reply.refuse({ kind: 'noRoute', detail: 'there is no such path here, or not for this method' });
  });
  return handleWithoutBody;
}

function sendJson(reply: ClientReply, status: number, value: unknown): void {
  send(reply, { status, type: 'application/json', text: JSON.stringify(value) });
}

/** Responds once all that was received with the request was read: a connection with more behind it is closed. */
function send(reply: ClientReply, response: { status: number; type: string; text: string }): void {
  const { status, type, text } = response;
  const headers = ['Content-Type', `${type}; charset=utf-8`];
  queueMicrotask(() => {
    reply.answer({ status, headers, body: Buffer.from(text), isStreamed: false });
  });
}
