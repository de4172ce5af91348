import Fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { createSystemClock } from '../core/clock.js';
import { compileSchema } from '../schema/validate.js';
import { createLogStore } from './logStore.js';
import type { LogStore } from './logStore.js';

/** Faults that the stand-in log injects. */
export const logFaultsSchema = Type.Object(
  {
    isDown: Type.Boolean(),
    delayMs: Type.Number({ minimum: 0 }),
    /** Number of upcoming appends that are written but get no response. */
    loseAnswers: Type.Integer({ minimum: 0 }),
    /** Rate limit; appends beyond it get status 429. */
    appendsPerSecond: Type.Number({ minimum: 0 }),
  },
  { additionalProperties: false },
);
export type LogFaults = Static<typeof logFaultsSchema>;

export interface LogServer {
  readonly url: string;
  readonly store: LogStore;
  /** Active faults; assign the fields to change them. */
  readonly faults: LogFaults;
  /** Number of read requests so far. */
  readonly reads: number;
  stop(): Promise<void>;
}

const DEFAULT_APPENDS_PER_SECOND = 300;
const MAX_PAGE_ENTRIES = 500;
const MAX_WAIT_MS = 30_000;
const faultsValidator = compileSchema(Type.Partial(logFaultsSchema));

export interface LogServerOptions {
  host?: string;
  port?: number;
  /** Records older than this are deleted. Default: unlimited. */
  retentionMs?: number;
  /** Store of an earlier server, to simulate a restart that keeps the records. Default: an empty store. */
  store?: LogStore;
  /** Maximum number of records per response. Default: 500. */
  maxPageEntries?: number;
}

/**
 * Starts an HTTP stand-in for the platform's log with `POST /records` and `GET /records?from=&waitMs=`. `POST /faults` and
 * `POST /expire?before=` inject failures.
 *
 * @example
 * const log = await startLogServer({ port: 0 });
 * log.faults.isDown = true;
 */
export async function startLogServer(options: LogServerOptions = {}): Promise<LogServer> {
  const store = options.store ?? createLogStore(createSystemClock(), options);
  const faults: LogFaults = { isDown: false, delayMs: 0, loseAnswers: 0, appendsPerSecond: DEFAULT_APPENDS_PER_SECOND };
  let reads = 0;
  const server = Fastify({ forceCloseConnections: true, bodyLimit: 16 * 1024 * 1024 });
  addFaultHooks(server, faults);
  server.addHook('onRequest', (request, _reply, done) => {
    if (request.method === 'GET') reads++;
    done();
  });
  addRecordRoutes(server, store, faults, options.maxPageEntries ?? MAX_PAGE_ENTRIES);
  addFaultRoutes(server, store, faults);
  const url = await server.listen({ host: options.host ?? '127.0.0.1', port: options.port ?? 0 });
  return {
    url,
    store,
    faults,
    get reads() {
      return reads;
    },
    stop: () => server.close(),
  };
}

function addFaultHooks(server: FastifyInstance, faults: LogFaults): void {
  server.addHook('onRequest', async (request, reply) => {
    if (!request.url.startsWith('/records')) return;
    if (faults.isDown) {
      reply.hijack();
      request.raw.destroy();
      return;
    }
    if (faults.delayMs > 0) await new Promise((resolve) => setTimeout(resolve, faults.delayMs));
  });
}

function addRecordRoutes(server: FastifyInstance, store: LogStore, faults: LogFaults, maxPageEntries: number): void {
  let tokens = faults.appendsPerSecond;
  let refilledAtMs = Date.now();
  const takeToken = (): boolean => {
    const nowMs = Date.now();
    tokens = Math.min(faults.appendsPerSecond, tokens + ((nowMs - refilledAtMs) / 1000) * faults.appendsPerSecond);
    refilledAtMs = nowMs;
    if (tokens < 1) return false;
    tokens--;
    return true;
  };
  server.post('/records', async (request, reply) => {
    if (!takeToken()) return reply.code(429).send({ error: 'appendRateExceeded' });
    const offset = store.append(request.body);
    if (faults.loseAnswers > 0) {
      faults.loseAnswers--;
      reply.hijack();
      request.raw.destroy();
      return reply;
    }
    return reply.send({ offset });
  });
  server.get<{ Querystring: { from?: string; waitMs?: string } }>('/records', async (request, reply) => {
    const from = Number(request.query.from ?? 1);
    const waitMs = Math.min(MAX_WAIT_MS, Number(request.query.waitMs ?? 0));
    if (store.readFrom(from, 1).entries.length === 0 && waitMs > 0) {
      await new Promise<void>((resolve) => {
        store.waitForAppend(waitMs, resolve);
      });
    }
    // A log that went down during the wait does not respond to the waiting readers.
    if (faults.isDown) {
      reply.hijack();
      request.raw.destroy();
      return reply;
    }
    return reply.send(store.readFrom(from, maxPageEntries));
  });
}

function addFaultRoutes(server: FastifyInstance, store: LogStore, faults: LogFaults): void {
  server.post('/faults', async (request, reply) => {
    // In the error response, `faults` are the validation errors.
    if (!faultsValidator.isValid(request.body))
      return reply.code(400).send({ faults: faultsValidator.listFaults(request.body) });
    return reply.send(Object.assign(faults, request.body));
  });
  server.post<{ Querystring: { before?: string } }>('/expire', async (request, reply) => {
    const before = Number(request.query.before);
    if (!Number.isInteger(before)) return reply.code(400).send({ fault: 'before must be an offset' });
    store.dropBefore(before);
    return reply.code(204).send();
  });
}
