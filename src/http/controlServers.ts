import type { EvictionCounts, Evictions } from '../control/requests/clientBudget.js';
import type { AcceptRequest } from '../control/requests/entry.js';
import type { Clock } from '../core/clock.js';
import type { RequestLimits } from '../schema/routeConfiguration.js';
import { createReadRoute, createTargetRoutes, wrapErrors } from './controlRoutes.js';
import type { TargetRouteOptions } from './controlRoutes.js';
import type { ReadTurns } from './readTurns.js';
import type { RequestHeaderNames } from './requestHeaders.js';
import { startRequestServer } from './requestServer.js';
import type { RequestServer } from './requestServer.js';

export interface ControlServerOptions extends TargetRouteOptions {
  targetListen: string;
  readyListen: string;
  metricsListen: string;
  isReady: () => boolean;
  renderMetrics: () => Promise<string>;
  names: RequestHeaderNames;
  clock: Clock;
  /** Shares the time for reading among the connections of the process. */
  turns?: ReadTurns;
  /** Maximum number of connections of each listener. Default: `DEFAULT_MAX_CONNECTIONS`. */
  maxConnections?: number;
  /** Maximum number of bytes that the connections of one listener hold together. Default: `DEFAULT_MAX_BYTES`. */
  maxHeldBytes?: number;
  /** Called with the connections that were closed for the sake of others, at most once a second per listener and reason. */
  reportEvictions?: (listener: ControlListener, evictions: Evictions) => void;
}

export type ControlListener = 'control' | 'ready' | 'metrics';

export interface ControlServers {
  /** What the connections of each listener occupy. */
  readonly budgets: ReadonlyMap<ControlListener, EvictionCounts>;
  /** Stops listening and closes all connections. */
  stop(): void;
}

const DEFAULT_MAX_CONNECTIONS = 256;
/** 100 whole heads with a heartbeat of some KiB each. */
const DEFAULT_MAX_BYTES = 2 * 1024 * 1024;
/**
 * A connection without an open request gives way to a new one at once: targets, probes and scrapers come again soon, and their
 * responses are small.
 */
const MIN_IDLE_MS = 0;
/** Scrapes within this time get the same text, whose rendering takes far longer than the rest of a scrape (ms). */
const RENDERED_FOR_MS = 200;
const limits: RequestLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 64 * 1024,
  headerTimeoutMs: 5000,
  // Longer than the usual interval between scrapes, which is up to a minute.
  idleTimeoutMs: 72_000,
};

/**
 * Starts the listeners for the target's heartbeats, for readiness and for metrics. They are of the same kind as the listener
 * for requests, each with bounds of its own, so that clients outside the limits at one do not keep the others from answering.
 *
 * @throws FailureError `listenFailed`.
 */
export async function startControlServers(options: ControlServerOptions): Promise<ControlServers> {
  const { maxConnections = DEFAULT_MAX_CONNECTIONS, maxHeldBytes = DEFAULT_MAX_BYTES, names, clock, turns } = options;
  const openServer = async (
    listener: ControlListener,
    listen: string,
    accept: AcceptRequest,
  ): Promise<[ControlListener, RequestServer]> => {
    const server = await startRequestServer({
      listen,
      names,
      clock,
      ...(turns === undefined ? {} : { turns }),
      maxConnections,
      maxHeldBytes,
      minIdleMs: MIN_IDLE_MS,
      reportEvictions: (evictions) => options.reportEvictions?.(listener, evictions),
      readLimits: () => limits,
      isPipeliningAllowed: false,
      isIdempotent: () => false,
      accept: wrapErrors(accept, (error) => {
        options.reportInvalidHeartbeat('internal error', { listener, fault: String(error) });
      }),
    });
    return [listener, server];
  };
  const readReadiness = () => Promise.resolve({ status: options.isReady() ? 200 : 503, type: 'text/plain', text: '' });
  const renderMetrics = createSharedRendering(options);
  const readMetrics = async () => ({ status: 200, type: 'text/plain', text: await renderMetrics() });
  const servers = await Promise.all([
    openServer('control', options.targetListen, createTargetRoutes(options)),
    openServer('ready', options.readyListen, createReadRoute('/v1/ready', readReadiness)),
    openServer('metrics', options.metricsListen, createReadRoute('/metrics', readMetrics)),
  ]);
  return {
    budgets: new Map(servers.map(([listener, { budget }]) => [listener, budget])),
    stop: () => {
      for (const [, server] of servers) server.closeAll();
    },
  };
}

function createSharedRendering({ clock, renderMetrics }: ControlServerOptions): () => Promise<string> {
  let rendered: Promise<string> | undefined;
  let renderedAtMs = 0;
  return () => {
    if (rendered === undefined || clock.now() - renderedAtMs > RENDERED_FOR_MS) {
      rendered = renderMetrics();
      renderedAtMs = clock.now();
    }
    return rendered;
  };
}
