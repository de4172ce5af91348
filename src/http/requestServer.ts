import { createServer } from 'node:net';
import type { Clock } from '../core/clock.js';
import { scheduleRepeated } from '../core/clock.js';
import { openListener } from '../core/openListener.js';
import type { AcceptRequest, ClientRequest } from '../control/requests/entry.js';
import { parseAddress } from '../schema/address.js';
import { MAX_UNSTREAMED_BODY_BYTES } from '../schema/linkFrame.js';
import type { Refusal } from '../schema/refusal.js';
import type { RequestLimits } from '../schema/routeConfiguration.js';
import { createClientBudget, createEvictionReporter } from '../control/requests/clientBudget.js';
import type { EvictionCounts, Evictions } from '../control/requests/clientBudget.js';
import { createClientConnection } from './clientConnection.js';
import type { ClientConnection } from './clientConnection.js';
import { checkTimeouts } from './connectionTimeouts.js';
import { createReadTurns } from './readTurns.js';
import type { ReadTurns } from './readTurns.js';
import type { RequestHead } from './requestHead.js';
import { createHeadReader } from './requestHead.js';
import type { RequestHeaderNames } from './requestHeaders.js';
import { formatRefusal } from './responseWriter.js';
import type { RefusalFormat } from './responseWriter.js';

const SWEEP_INTERVAL_MS = 1000;
/**
 * Share of the connections from which on a new one takes the place of another. The rest is for connections that arrive before
 * the displaced ones are closed, in a later turn of the event loop.
 */
const DISPLACEMENT_SHARE = 0.9;

export interface RequestServerOptions {
  listen: string;
  /** Default: no header has a meaning of its own here, and all are passed on. */
  names?: RequestHeaderNames;
  clock: Clock;
  maxConnections: number;
  /** Maximum number of bytes that all connections hold together. */
  maxHeldBytes: number;
  /** Time after which an idle connection may give way to a new one (ms). Default: that of `createClientBudget`. */
  minIdleMs?: number;
  /** Shares the time for reading with other listeners of the process. Default: the connections of this listener only. */
  turns?: ReadTurns;
  /**
   * False to close a connection with the response to a request behind which the client has sent more. What was received with
   * a request is known once its handler has returned, so responses are sent later. Default: true.
   */
  isPipeliningAllowed?: boolean;
  /** Returns the refusal of a request whose head lacks what this listener needs. Default: none. */
  checkHead?: (head: RequestHead) => Refusal | undefined;
  /** Called with the connections that were closed for the sake of others, at most once a second per reason. */
  reportEvictions: (evictions: Evictions) => void;
  /** Returns the limits of the active configuration; undefined before a configuration was read. */
  readLimits: () => RequestLimits | undefined;
  /** Maximum size of a body that is passed on as a whole; larger ones are streamed. Default: `MAX_UNSTREAMED_BODY_BYTES`. */
  maxWholeBodyBytes?: number;
  /** Formats the refusals of this server. Default: `formatRefusal`. */
  formatRefusal?: RefusalFormat;
  accept: AcceptRequest;
  /** True if a request may run before the requests in front of it on its connection are answered. */
  isIdempotent: (request: Pick<ClientRequest, 'host' | 'path'>) => boolean;
}

export interface RequestServer {
  /** What the connections occupy. */
  readonly budget: EvictionCounts;
  /** The bound address as `IP:PORT`. */
  readonly address: string;
  /** Makes each connection close with the response to the last request that was passed on. */
  announceStop(): void;
  /** Stops listening; open connections are not closed. */
  stop(): void;
  /** Stops listening; resolves once all connections are closed, those that stay open after `maxWaitMs` by this server. */
  drain(maxWaitMs: number): Promise<void>;
  /** Stops listening and closes all connections. */
  closeAll(): void;
}

/**
 * Starts the listener for clients and the local target.
 *
 * @throws FailureError `listenFailed`.
 */
export async function startRequestServer(options: RequestServerOptions): Promise<RequestServer> {
  const { clock, readLimits, minIdleMs, isPipeliningAllowed = true } = options;
  const { checkHead = () => undefined, turns = createReadTurns(clock.now) } = options;
  const connections = new Set<ClientConnection>();
  const readHead = createHeadReader(options.names);
  const budget = createClientBudget({
    now: clock.now,
    maxHeldBytes: options.maxHeldBytes,
    maxConnections: Math.ceil(options.maxConnections * DISPLACEMENT_SHARE),
    ...(minIdleMs === undefined ? {} : { minIdleMs }),
  });
  const runAhead = { requests: 0 };
  const reportEvictions = createEvictionReporter(budget, options.reportEvictions);
  let isStopping = false;
  let finishDrain = (): void => undefined;
  // Without a high-water mark a suspended socket reads nothing more, and `drain` follows each write that was flushed.
  const server = createServer({ highWaterMark: 0 }, (socket) => {
    turns.notifyAccepted();
    const connection = createClientConnection({
      socket,
      now: clock.now,
      budget,
      turns,
      runAhead,
      readHead,
      checkHead,
      readLimits,
      maxWholeBodyBytes: options.maxWholeBodyBytes ?? MAX_UNSTREAMED_BODY_BYTES,
      formatRefusal: options.formatRefusal ?? formatRefusal,
      isStopping: (hasMoreInput) => isStopping || (hasMoreInput && !isPipeliningAllowed),
      accept: options.accept,
      isIdempotent: options.isIdempotent,
      handleClose: () => {
        connections.delete(connection);
        if (connections.size === 0) finishDrain();
      },
    });
    connections.add(connection);
  });
  server.maxConnections = options.maxConnections;
  const stopSweeps = scheduleRepeated(clock, SWEEP_INTERVAL_MS, () => {
    for (const connection of connections) checkTimeouts(connection, clock.now(), readLimits());
    reportEvictions();
  });
  const address = await openListener(server, { ...parseAddress(options.listen), purpose: 'requests' });
  const stop = (): void => {
    stopSweeps();
    server.close();
  };
  const closeAll = (): void => {
    stop();
    for (const connection of connections) connection.destroy();
  };
  return {
    address,
    budget,
    announceStop: () => {
      isStopping = true;
    },
    stop,
    drain: async (maxWaitMs) => {
      isStopping = true;
      server.close();
      if (connections.size > 0) {
        await new Promise<void>((resolve) => {
          const timer = setTimeout(resolve, maxWaitMs);
          finishDrain = () => {
            clearTimeout(timer);
            resolve();
          };
        });
      }
      closeAll();
    },
    closeAll,
  };
}
