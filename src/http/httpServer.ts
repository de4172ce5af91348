import { Module } from '@nestjs/common';
import type { DynamicModule, Type } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import type { FastifyInstance, FastifyReply } from 'fastify';
import type { EvictionCounts, Evictions } from '../control/requests/clientBudget.js';
import type { Clock } from '../core/clock.js';
import { MAX_REQUEST_BODY_BYTES } from '../schema/frame.js';
import type { RequestLimits } from '../schema/routeConfiguration.js';
import type { ListenSettings } from '../schema/settings.js';
import { formatCallRefusal, sendFailure } from './callReply.js';
import { checkHost } from './checkRequestHead.js';
import { FailureFilter } from './failureFilter.js';
import { describeHttpError } from './httpErrors.js';
import { createInjectedDispatch } from './injectedDispatch.js';
import type { ReadTurns } from './readTurns.js';
import { startRequestServer } from './requestServer.js';

/** Injection token of the object that the controllers of a server work on. */
export const CONTROLLER_CONTEXT = Symbol('controllerContext');

@Module({})
class HttpModule {}

/** Clients that honour the `Keep-Alive` header close first, so that no request is sent on a connection that is being closed. */
const IDLE_TIMEOUT_MS = 5000;
const DEFAULT_MAX_CONNECTIONS = 1024;
const limits: RequestLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: MAX_REQUEST_BODY_BYTES,
  headerTimeoutMs: 5000,
  idleTimeoutMs: IDLE_TIMEOUT_MS,
};

export interface HttpServerOptions {
  listen: ListenSettings;
  controllers: Type[];
  /** Injected into the controllers under the token `CONTROLLER_CONTEXT`. */
  controllerContext: unknown;
  clock: Clock;
  /** Shares the time for reading among the connections of the process. */
  turns: ReadTurns;
  /** Maximum number of bytes that all connections hold together. */
  maxHeldBytes: number;
  /** Maximum number of connections; close to it, new ones take the place of idle ones. Default: 1024. */
  maxConnections?: number;
  /** Called with the connections that were closed for the sake of others, at most once a second per reason. */
  reportEvictions: (evictions: Evictions) => void;
  /** Called with an error that ended a connection. */
  reportFault: (error: unknown) => void;
}

export interface HttpServer {
  /** The bound address as `host:port`. */
  readonly address: string;
  /** What the connections occupy. */
  readonly budget: EvictionCounts;
  /** Makes every later response close its connection, so that callers move to other nodes. */
  announceStop(): void;
  /** Stops listening; resolves once all connections are closed, which takes at most the idle timeout. */
  stop(): Promise<void>;
}

/**
 * Starts one listener of the daemon: controllers of nestjs on the fastify adapter, with unparsed request bodies. A request
 * server reads the connections, since the HTTP server of Node.js has no bound on what all connections hold together and no
 * turns of reading.
 *
 * @throws FailureError `listenFailed` when the address cannot be bound.
 * @example
 * const server = await startHttpServer({
 *   ...shared, listen, controllers: [CallerController], controllerContext: node,
 * });
 */
export async function startHttpServer(options: HttpServerOptions): Promise<HttpServer> {
  const { listen, clock, turns, maxHeldBytes, maxConnections = DEFAULT_MAX_CONNECTIONS, reportEvictions } = options;
  const adapter = createAdapter();
  const application = await createApplication(adapter, options);
  await application.init();
  const fastify = getFastify(adapter);
  await fastify.ready();
  const server = await startRequestServer({
    listen: `${listen.host}:${listen.port}`,
    clock,
    turns,
    maxConnections,
    maxHeldBytes,
    maxWholeBodyBytes: MAX_REQUEST_BODY_BYTES,
    reportEvictions,
    checkHead: checkHost,
    formatRefusal: formatCallRefusal,
    readLimits: () => limits,
    isIdempotent: () => false,
    accept: createInjectedDispatch(fastify, options.reportFault),
  });
  return {
    address: server.address,
    budget: server.budget,
    announceStop: server.announceStop,
    stop: async () => {
      await server.drain(IDLE_TIMEOUT_MS);
      await application.close();
    },
  };
}

function createAdapter(): FastifyAdapter {
  const adapter = new FastifyAdapter({
    bodyLimit: MAX_REQUEST_BODY_BYTES,
    frameworkErrors: (error: unknown, _request: unknown, reply: FastifyReply) => {
      sendFailure(reply, describeHttpError(error));
    },
  });
  const fastify = getFastify(adapter);
  fastify.removeAllContentTypeParsers();
  fastify.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
    done(null, body);
  });
  return adapter;
}

/** The types of the adapter are those of another release of fastify. */
function getFastify(adapter: FastifyAdapter): FastifyInstance {
  return adapter.getInstance() as unknown as FastifyInstance;
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
