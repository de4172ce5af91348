import { Module } from '@nestjs/common';
import type { DynamicModule, Type } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import type { FastifyInstance } from 'fastify';
import { FailureError } from '../schema/failure.js';
import { MAX_REQUEST_BODY_BYTES } from '../schema/frame.js';
import type { ListenSettings } from '../schema/settings.js';

/** The token under which controllers get what they serve. */
export const SERVED = Symbol('served');

@Module({})
class HttpModule {}

const MAX_HEADER_BYTES = 16 * 1024;
/** Longer than a caller takes to send the largest body, shorter than a connection held open on purpose. */
const RECEIVE_TIMEOUT_MS = 30_000;

export interface HttpServerOptions {
  listen: ListenSettings;
  controllers: Type[];
  /** Given to the controllers under the token `SERVED`. */
  served: unknown;
  maxConnections?: number;
}

export interface HttpServer {
  /** Host and the port that was bound, as `host:port`. */
  readonly address: string;
  /** Refuses new connections and returns when the open requests are answered. */
  stop(): Promise<void>;
}

/**
 * Starts one listener of the daemon: nestjs on the fastify adapter, with bodies passed on as they are.
 *
 * @throws FailureError `listenFailed` when the address cannot be bound.
 * @example
 * const server = await startHttpServer({ listen, controllers: [CallerController], served: node });
 */
export async function startHttpServer(options: HttpServerOptions): Promise<HttpServer> {
  const adapter = new FastifyAdapter({
    bodyLimit: MAX_REQUEST_BODY_BYTES,
    requestTimeout: RECEIVE_TIMEOUT_MS,
    forceCloseConnections: 'idle',
    http: { maxHeaderSize: MAX_HEADER_BYTES },
  });
  const fastify = adapter.getInstance() as unknown as FastifyInstance;
  fastify.removeAllContentTypeParsers();
  fastify.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
    done(null, body);
  });
  if (options.maxConnections !== undefined) fastify.server.maxConnections = options.maxConnections;
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
  return { address: `${host}:${boundPort}`, stop: () => application.close() };
}

function createApplication(adapter: FastifyAdapter, options: HttpServerOptions): Promise<NestFastifyApplication> {
  const module: DynamicModule = {
    module: HttpModule,
    controllers: options.controllers,
    providers: [{ provide: SERVED, useValue: options.served }],
  };
  return NestFactory.create<NestFastifyApplication>(module, adapter, { bodyParser: false, logger: false });
}
