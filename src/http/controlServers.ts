import Fastify from 'fastify';
import type { FastifyInstance, FastifyReply } from 'fastify';
import { FailureError } from '../schema/failure.js';
import { targetIdSchema } from '../schema/headText.js';
import { heartbeatSchema } from '../schema/nodeMember.js';
import type { Heartbeat } from '../schema/nodeMember.js';
import { parseAddress } from '../schema/address.js';
import { compileSchema, formatFault } from '../schema/validate.js';

const heartbeatValidator = compileSchema(heartbeatSchema);
const targetIdValidator = compileSchema(targetIdSchema);
const MAX_HEARTBEAT_BYTES = 64 * 1024;
/** Time within which a message of the target is acknowledged or refused (ms); it waits for a second. */
const MAX_ACKNOWLEDGE_MS = 900;

export interface ControlServerOptions {
  targetListen: string;
  readyListen: string;
  metricsListen: string;
  isReady: () => boolean;
  /** Maps the JSON body that the target sent to the fields of a heartbeat; the result is validated afterwards. */
  decodeHeartbeat: (body: unknown) => unknown;
  /** Handles a heartbeat; calls `acknowledge` or `refuse` once to send the response. */
  receiveHeartbeat: (
    id: string,
    heartbeat: Heartbeat,
    acknowledge: () => void,
    refuse: (fault: string) => void,
  ) => void;
  /** Handles the announcement that the local target leaves; calls `acknowledge` once to send the response. */
  receiveLeave: (id: string, acknowledge: () => void) => void;
  /** Called with the kind of the error, the target and the first fault of an invalid heartbeat. */
  reportInvalidHeartbeat: (outcome: string, inputs: Record<string, string>) => void;
  renderMetrics: () => Promise<string>;
}

export interface ControlServers {
  stop(): Promise<void>;
}

/**
 * Starts the listeners for the target's heartbeats, for readiness and for metrics.
 *
 * @throws FailureError `listenFailed`.
 */
export async function startControlServers(options: ControlServerOptions): Promise<ControlServers> {
  const servers: FastifyInstance[] = [];
  const openServer = async (address: string, addRoutes: (server: FastifyInstance) => void): Promise<void> => {
    const server = Fastify({ bodyLimit: MAX_HEARTBEAT_BYTES, forceCloseConnections: true });
    addRoutes(server);
    servers.push(server);
    try {
      await server.listen(parseAddress(address));
    } catch (error) {
      throw new FailureError({ kind: 'listenFailed', message: `cannot listen: ${String(error)}`, address });
    }
  };
  await Promise.all([
    openServer(options.targetListen, (server) => {
      addTargetRoutes(server, options);
    }),
    openServer(options.readyListen, (server) => {
      server.get('/v1/ready', (_request, reply) => reply.code(options.isReady() ? 200 : 503).send());
    }),
    openServer(options.metricsListen, (server) => {
      server.get('/metrics', async (_request, reply) => {
        const text = await options.renderMetrics();
        return reply.type('text/plain').send(text);
      });
    }),
  ]);
  return {
    stop: async () => {
      await Promise.all(servers.map((server) => server.close()));
    },
  };
}

function addTargetRoutes(server: FastifyInstance, options: ControlServerOptions): void {
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', { parseAs: 'string' }, (_request, body, done) => {
    done(null, body);
  });
  const refuseInvalidId = (id: string, reply: FastifyReply): boolean => {
    const [fault] = targetIdValidator.listFaults(id).map(formatFault);
    if (fault === undefined) return false;
    options.reportInvalidHeartbeat('invalid target id', { target: id, fault });
    void reply.code(400).send({ fault });
    return true;
  };
  server.post<{ Params: { id: string } }>('/v1/targets/:id/heartbeat', (request, reply) => {
    const { id } = request.params;
    if (refuseInvalidId(id, reply)) return reply;
    const value = options.decodeHeartbeat(parseBody(request.body));
    if (heartbeatValidator.isValid(value)) {
      const { acknowledge, refuse } = createAcknowledgement(reply);
      options.receiveHeartbeat(id, value, acknowledge, refuse);
      return reply;
    }
    const fault = heartbeatValidator.listFaults(value).map(formatFault)[0] ?? 'not JSON';
    options.reportInvalidHeartbeat('malformed heartbeat', { target: id, fault });
    return reply.code(400).send({ fault });
  });
  server.post<{ Params: { id: string } }>('/v1/targets/:id/leave', (request, reply) => {
    const { id } = request.params;
    if (!refuseInvalidId(id, reply)) options.receiveLeave(id, createAcknowledgement(reply).acknowledge);
    return reply;
  });
}

/** Responses to a message of a target; only the first one is sent. */
interface Acknowledgement {
  acknowledge: () => void;
  refuse: (fault: string) => void;
}

/** Returns the responses to a message; without one of them in time, the message is refused. */
function createAcknowledgement(reply: FastifyReply): Acknowledgement {
  const respond = (code: number, body: { fault?: string }): void => {
    if (reply.sent) return;
    clearTimeout(timer);
    void reply.code(code).send(body);
  };
  const timer = setTimeout(() => {
    respond(503, { fault: `not acknowledged within ${MAX_ACKNOWLEDGE_MS} ms` });
  }, MAX_ACKNOWLEDGE_MS);
  return {
    acknowledge: () => {
      respond(200, {});
    },
    refuse: (fault) => {
      respond(400, { fault });
    },
  };
}

function parseBody(body: unknown): unknown {
  try {
    return typeof body === 'string' ? JSON.parse(body) : undefined;
  } catch {
    return undefined;
  }
}
