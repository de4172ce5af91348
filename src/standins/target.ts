import Fastify from 'fastify';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { Agent, request as sendRequest } from 'undici';
import { createRandom, generateExponential, generateId } from '../core/random.js';
import type { TargetSettings } from './targetSettings.js';

export interface StandInTarget {
  /** Base URL. */
  readonly address: string;
  /** Number of runs since the start, by operation name. */
  readonly runs: Map<string, number>;
  /** Announces the target as draining. Running calls continue. */
  drain(): Promise<void>;
  /** Changes the factor on all service times. */
  setSlowness(factor: number): void;
  /** Drains, waits until the target is idle, and closes the server. */
  stop(): Promise<void>;
}

const ANNOUNCE_INTERVAL_MS = 1000;
const IDLE_WINDOW_MS = 300;
const IDLE_CHECK_INTERVAL_MS = 50;
const IDLE_TIMEOUT_MS = 20_000;
const CALL_HEADER = 'hemlock-call';

/**
 * Starts a stand-in target: an HTTP server with limited slots and simulated service times that makes downstream calls and
 * announces itself to its node.
 *
 * @example
 * const target = await startTarget(Value.Default(targetSettingsSchema, settings));
 */
export async function startTarget(settings: TargetSettings): Promise<StandInTarget> {
  const random = createRandom(settings.seed);
  const agent = new Agent({ connections: settings.connections, pipelining: 1 });
  // Not seeded: a restarted target must announce a different incarnation.
  const incarnation = generateId(Math.random, 12);
  const startedAtMs = performance.now();
  const runs = new Map<string, number>();
  const slotWaiters: (() => void)[] = [];
  let slowness = settings.slowness;
  let state: 'ready' | 'draining' = 'ready';
  let busySlots = 0;
  let nextDirectIndex = 0;
  const activity = { open: 0, lastEndedAtMs: 0 };

  const takeSlot = (): Promise<void> => {
    if (busySlots < settings.slots) {
      busySlots++;
      return Promise.resolve();
    }
    return new Promise((resolve) => slotWaiters.push(resolve));
  };
  const releaseSlot = (): void => {
    const next = slotWaiters.shift();
    if (next === undefined) busySlots--;
    else next();
  };
  const computeServiceTime = (operation: string): number => {
    const { meanMs, distribution } = settings.operations[operation] ?? { meanMs: 0, distribution: 'constant' };
    const isColdStart = performance.now() - startedAtMs < settings.coldStartMs;
    const mean = meanMs * slowness * (isColdStart ? settings.coldSlowness : 1);
    return distribution === 'constant' ? mean : generateExponential(random, mean);
  };
  const computeUrl = (service: string, operation: string): string | undefined => {
    if (settings.node !== undefined) return `${settings.node}/v1/call/${service}/${operation}`;
    const addresses = settings.direct?.[service] ?? [];
    const address = addresses[nextDirectIndex++ % Math.max(1, addresses.length)];
    return address === undefined ? undefined : `${address}/${operation}`;
  };
  const sendDownstreamCall = async (
    service: string,
    operation: string,
    parentRequest: FastifyRequest,
    signal: AbortSignal,
  ): Promise<unknown> => {
    const url = computeUrl(service, operation);
    const token = parentRequest.headers[CALL_HEADER];
    const deadline = parentRequest.headers['hemlock-deadline-ms'];
    const response = await sendRequest(url ?? '', {
      method: 'POST',
      dispatcher: agent,
      signal,
      headers: {
        'content-type': 'application/json',
        ...(typeof token === 'string' ? { [CALL_HEADER]: token } : {}),
        ...(settings.node === undefined && typeof deadline === 'string' ? { 'hemlock-deadline-ms': deadline } : {}),
      },
      body: parentRequest.body as Buffer,
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) throw new DownstreamCallError(response.statusCode, text);
    return JSON.parse(text);
  };
  const runOperation = async (operation: string, request: FastifyRequest, reply: FastifyReply): Promise<void> => {
    const abort = new AbortController();
    activity.open++;
    reply.raw.once('close', () => {
      activity.open--;
      activity.lastEndedAtMs = performance.now();
      abort.abort();
    });
    await takeSlot();
    try {
      if (abort.signal.aborted) return;
      const body = (request.body as Buffer | undefined)?.toString('utf8') ?? '';
      if (settings.crashOn !== undefined && body.includes(settings.crashOn)) process.exit(70);
      runs.set(operation, (runs.get(operation) ?? 0) + 1);
      await waitFor(computeServiceTime(operation), abort.signal);
      const downstreamResults: unknown[] = [];
      for (const call of settings.operations[operation]?.onward ?? []) {
        downstreamResults.push(await sendDownstreamCall(call.service, call.operation, request, abort.signal));
      }
      // `onward` in the response, and in the error below, refers to the downstream calls.
      void reply.send({
        host: settings.host,
        service: settings.service,
        operation,
        echo: body,
        onward: downstreamResults,
      });
    } catch (error) {
      if (abort.signal.aborted) return;
      const status = error instanceof DownstreamCallError ? error.status : 502;
      void reply.code(status).send({ error: 'onwardCallFailed', message: String(error) });
    } finally {
      releaseSlot();
    }
  };

  const server = createServer(settings, runOperation, () => ({ state, busySlots, queued: slotWaiters.length }));
  const address = await server.listen({ host: '127.0.0.1', port: settings.port });
  const sendAnnouncement = async (): Promise<void> => {
    if (settings.node === undefined) return;
    const body = JSON.stringify({ service: settings.service, address, state, incarnation });
    const headers = { 'content-type': 'application/json' };
    await sendRequest(`${settings.node}/v1/announce`, { method: 'POST', headers, body, dispatcher: agent })
      .then((response) => response.body.dump())
      .catch(() => undefined);
  };
  await sendAnnouncement();
  const timer = setInterval(() => void sendAnnouncement(), ANNOUNCE_INTERVAL_MS);
  return {
    address,
    runs,
    drain: () => {
      state = 'draining';
      return sendAnnouncement();
    },
    setSlowness: (factor) => {
      slowness = factor;
    },
    stop: async () => {
      state = 'draining';
      await sendAnnouncement();
      // Without a node, callers do not learn that the target is draining, so waiting would not stop their calls.
      if (settings.node !== undefined) await waitUntilIdle(activity);
      clearInterval(timer);
      await server.close();
      await agent.destroy();
    },
  };
}

/**
 * Waits until no call is open and none has ended for a while: calls that the node admitted before
 * the announcement may still arrive.
 */
async function waitUntilIdle(activity: { open: number; lastEndedAtMs: number }): Promise<void> {
  const endMs = performance.now() + IDLE_TIMEOUT_MS;
  const startedMs = performance.now();
  while (performance.now() < endMs) {
    if (activity.open === 0 && performance.now() - Math.max(startedMs, activity.lastEndedAtMs) > IDLE_WINDOW_MS) return;
    await new Promise((resolve) => setTimeout(resolve, IDLE_CHECK_INTERVAL_MS));
  }
}

class DownstreamCallError extends Error {
  constructor(
    readonly status: number,
    readonly text: string,
  ) {
    super(`a downstream call returned status ${status}`);
  }
}

interface TargetLoad {
  state: string;
  busySlots: number;
  queued: number;
}

function createServer(
  settings: TargetSettings,
  runOperation: (operation: string, request: FastifyRequest, reply: FastifyReply) => Promise<void>,
  getLoad: () => TargetLoad,
): FastifyInstance {
  const server = Fastify({ forceCloseConnections: true });
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
    done(null, body);
  });
  server.server.maxConnections = settings.connections;
  const getReportedLoad = createDelayedReport(getLoad, settings.reportLagMs);
  server.get('/health', async () => ({ state: getReportedLoad().state }));
  server.get('/load', async () => {
    const { busySlots, queued } = getReportedLoad();
    return { busy: busySlots * settings.reportFactor, queued: queued * settings.reportFactor, slots: settings.slots };
  });
  for (const operation of Object.keys(settings.operations)) {
    server.post(`/${operation}`, async (request, reply) => {
      await runOperation(operation, request, reply);
      return reply;
    });
  }
  return server;
}

/**
 * Returns a function that reports an earlier sample of the load. The first read at least `lagMs` after a sample takes a new
 * one, but still returns the old one; later reads return the new one. With a lag of 0 each read returns a new sample.
 */
function createDelayedReport(getLoad: () => TargetLoad, lagMs: number): () => TargetLoad {
  let reported = getLoad();
  let sampledAtMs = performance.now();
  return () => {
    if (performance.now() - sampledAtMs < lagMs) return reported;
    const previous = reported;
    reported = getLoad();
    sampledAtMs = performance.now();
    return lagMs === 0 ? reported : previous;
  };
}

function waitFor(durationMs: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, durationMs);
    signal.addEventListener('abort', () => {
      clearTimeout(timer);
      resolve();
    });
  });
}
