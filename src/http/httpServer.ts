import type { Socket } from 'node:net';
import { Server as NetServer } from 'node:net';
import { Module } from '@nestjs/common';
import type { DynamicModule, Type } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import type { FastifyInstance, FastifyReply } from 'fastify';
import { FailureError } from '../schema/failure.js';
import { MAX_REQUEST_BODY_BYTES } from '../schema/frame.js';
import type { ListenSettings } from '../schema/settings.js';
import { sendFailure } from './callReply.js';
import { FailureFilter } from './failureFilter.js';
import { describeHttpError, sendParserFailure } from './httpErrors.js';

/** Injection token of the object that the controllers of a server work on. */
export const CONTROLLER_CONTEXT = Symbol('controllerContext');

@Module({})
class HttpModule {}

const MAX_HEADER_BYTES = 16 * 1024;
/** Enough time to send a body of the maximum size, while a client that sends slowly on purpose is still cut off. */
const REQUEST_TIMEOUT_MS = 30_000;
/**
 * Sent in the `Keep-Alive` header. Clients that honour it close first, so that no request is sent on a connection that
 * is being closed.
 */
const KEEP_ALIVE_TIMEOUT_MS = 5000;
const DEFAULT_MAX_CONNECTIONS = 1024;

export interface HttpServerOptions {
  listen: ListenSettings;
  controllers: Type[];
  /** Injected into the controllers under the token `CONTROLLER_CONTEXT`. */
  controllerContext: unknown;
  /** Connections above this number are closed without being read; default 1024. */
  maxConnections?: number;
}

export interface HttpServer {
  /** The bound address as `host:port`. */
  readonly address: string;
  /** Makes every later response close its connection, so that callers move to other nodes. */
  announceStop(): void;
  /** Stops listening; resolves once all connections are closed, which takes at most the keep-alive timeout. */
  stop(): Promise<void>;
}

/**
 * Starts one listener of the daemon: nestjs on the fastify adapter, with unparsed request bodies.
 *
 * @throws FailureError `listenFailed` when the address cannot be bound.
 * @example
 * const server = await startHttpServer({ listen, controllers: [CallerController], controllerContext: node });
 */
export async function startHttpServer(options: HttpServerOptions): Promise<HttpServer> {
  const adapter = new FastifyAdapter({
    bodyLimit: MAX_REQUEST_BODY_BYTES,
    requestTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    forceCloseConnections: 'idle',
    http: { maxHeaderSize: MAX_HEADER_BYTES },
    clientErrorHandler: sendParserFailure,
    frameworkErrors: (error: unknown, _request: unknown, reply: FastifyReply) => {
      sendFailure(reply, describeHttpError(error));
    },
  });
  const fastify = adapter.getInstance() as unknown as FastifyInstance;
  fastify.removeAllContentTypeParsers();
  fastify.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
    done(null, body);
  });
  fastify.server.maxConnections = options.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
  const connections = trackConnections(fastify);
  const application = await createApplication(adapter, options);
  const { host, port } = options.listen;
  try {
    await application.listen(port, host);
  } catch (error) {
    const message = `cannot listen for HTTP: ${String(error)}`;
    throw new FailureError({ kind: 'listenFailed', message, address: `${host}:${port}` });
  }
  const bound = fastify.server.address();
  const boundPort = typeof bound === 'object' && bound !== null ? bound.port : port;
  return {
    address: `${host}:${boundPort}`,
    announceStop: connections.announceStop,
    stop: async () => {
      await connections.drain();
      await application.close();
    },
  };
}

function trackConnections(fastify: FastifyInstance): { announceStop(): void; drain(): Promise<void> } {
  const open = new Set<Socket>();
  let isClosing = false;
  let finishDrain = (): void => undefined;
  fastify.server.on('connection', (socket: Socket) => {
    open.add(socket);
    socket.once('close', () => {
      open.delete(socket);
      if (open.size === 0) finishDrain();
    });
  });
  const announceStop = (): void => {
    if (isClosing) return;
    isClosing = true;
    fastify.server.prependListener('request', (_request, response) => {
      response.shouldKeepAlive = false;
    });
  };
  return {
    announceStop,
    drain: () => {
      announceStop();
      // http.Server.close() would also close idle connections, on which a request may be arriving.
      NetServer.prototype.close.call(fastify.server);
      if (open.size === 0) return Promise.resolve();
      return new Promise((resolve) => {
        const timer = setTimeout(() => {
          // No call is open by now. Connections that never carried a request would keep the server open for minutes.
          for (const socket of open) socket.destroy();
          resolve();
        }, KEEP_ALIVE_TIMEOUT_MS);
        finishDrain = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    },
  };
}

async function createApplication(adapter: FastifyAdapter, options: HttpServerOptions): Promise<NestFastifyApplication> {
  const module: DynamicModule = {
    module: HttpModule,
    controllers: options.controllers,
    providers: [{ provide: CONTROLLER_CONTEXT, useValue: options.controllerContext }],
  };
  const application = await NestFactory.create<NestFastifyApplication>(module, adapter, {
    bodyParser: false,
    logger: false,
  });
  return application.useGlobalFilters(new FailureFilter());
}
