import 'reflect-metadata';
import { createHmac, randomBytes, randomInt } from 'node:crypto';
import type { AppendLog, ReadLog } from '../control/context.js';
import type { Evictions } from '../control/requests/clientBudget.js';
import { createLinkBudget } from '../control/requests/linkBudget.js';
import { createSystemClock, scheduleRepeated } from '../core/clock.js';
import type { Clock } from '../core/clock.js';
import { createRandom } from '../core/random.js';
import { CallerController } from '../http/callerController.js';
import { startHttpServer } from '../http/httpServer.js';
import type { HttpServer, HttpServerOptions } from '../http/httpServer.js';
import { LocalController } from '../http/localController.js';
import { createMetrics } from '../http/metrics.js';
import type { MetricsRegistry } from '../http/metrics.js';
import { createReadTurns } from '../http/readTurns.js';
import { OperatorController } from '../http/operatorController.js';
import { createTargetClient } from '../http/targetClient.js';
import { createNode } from '../node/createNode.js';
import type { Node } from '../node/createNode.js';
import { createLogClient } from '../platform/logClient.js';
import { serviceConfigurationDefaults } from '../schema/serviceConfiguration.js';
import type { Settings } from '../schema/settings.js';
import { createPeerClient } from '../transport/peerClient.js';
import { createPeerCredentials } from '../transport/peerCredentials.js';
import { startPeerServer } from '../transport/peerServer.js';
import type { PeerServer } from '../transport/peerServer.js';
import { createTrafficCounters } from '../transport/trafficCounters.js';
import { computeDefaultHeldBytes } from './defaultHeldBytes.js';
import { createLimitedWarnings } from './limitedWarnings.js';
import { createLogger } from './logger.js';
import type { StructuredLogger } from './logger.js';
import { createTokenSource } from './tokenSource.js';

export interface DaemonAddresses {
  caller: string;
  local: string;
  operator: string;
  peer: string;
}

export interface Daemon {
  readonly addresses: DaemonAddresses;
  /** Stops gracefully, within `stopGraceMs` of the settings. */
  stop(): Promise<void>;
}

const TICKET_KEY_BYTES = 32;
const LOG_POLL_WAIT_MS = 2000;
/** Exceeds the timeout after which the log poller reads again, so that a late response of a slow log is still used. */
const LOG_REQUEST_TIMEOUT_MS = 30_000;
const MAX_SEED = 2 ** 31;
/** Interval at which closed connections of peers are reported (ms). */
const REPORT_INTERVAL_MS = 1000;

/**
 * Starts the node, the HTTP servers and the peer connections of one hemlockd process, which serves calls that name a
 * service and an operation.
 *
 * @throws FailureError `listenFailed` or `fileUnreadable`.
 */
export async function startDaemon(settings: Settings): Promise<Daemon> {
  const logger = createLogger(settings.host, settings.logLevel);
  const clock = createSystemClock();
  const credentials = createPeerCredentials(settings);
  const targetClient = createTargetClient({ connections: serviceConfigurationDefaults.connectionLimit });
  const counters = createTrafficCounters();
  const peerClient = createPeerClient({
    random: createRandom(randomInt(MAX_SEED)),
    counters,
    host: settings.host,
    credentials: credentials.client,
    clock,
    // A seed is identified by its address, any other peer by its host name.
    resolveAddress: (peer) => (peer.includes(':') ? peer : node.board.read('members').byId.get(peer)?.peerAddress),
    receiveFrame: (host, lane, frame, respond) => {
      node.receiveFrame(host, lane, frame, respond);
    },
    handleLinkClosed: (host, lane) => {
      node.handleLinkClosed(host, lane);
    },
    reportFailure: (message) => {
      logger.debug(message);
    },
  });
  // The peer server needs the node, so its function is set after both exist.
  const acceptedStreams: Pick<PeerServer, 'sendOnAcceptedStream'> = { sendOnAcceptedStream: () => false };
  const node: Node = createNode({
    settings,
    clock,
    random: createRandom(randomInt(MAX_SEED)),
    generateToken: createTokenSource(),
    computeTicketMac: createTicketMac(),
    sendFrame: (peer, lane, frame) => {
      // On the control lane, two nodes use one connection for both directions, whichever of them opened it.
      if (
        lane === 'control' &&
        !peerClient.hasLink(peer, lane) &&
        acceptedStreams.sendOnAcceptedStream(peer, lane, frame)
      )
        return true;
      return peerClient.sendFrame(peer, lane, frame);
    },
    callTarget: targetClient.callTarget,
    probeTarget: targetClient.probeTarget,
    ...(settings.logUrl === undefined ? {} : createLogFunctions(settings.logUrl)),
  });
  const reportEvictions = (listener: string, evictions: Evictions): void => {
    logger.warn('connections closed for the sake of others', { listener, ...evictions });
  };
  const linkBudget = createLinkBudget({
    clock,
    limits: {
      maxConnections: settings.maxPeerConnections,
      maxHeldBytes: settings.maxPeerBytes ?? computeDefaultHeldBytes(),
    },
    reportEvictions,
  });
  const stopReports = scheduleRepeated(clock, REPORT_INTERVAL_MS, linkBudget.reportEvictions);
  const metrics = createMetrics(node, { traffic: counters });
  const servers = await startServers({ settings, node, metrics, clock, logger, reportEvictions });
  for (const [listener, counts] of linkBudget.counts) metrics.addListener(listener, counts);
  const warn = createLimitedWarnings({ logger, now: clock.now });
  const peerServer = await startPeerServer({
    listen: settings.peerListen,
    clock,
    openAccount: linkBudget.add,
    credentials: credentials.server,
    counters,
    receiveFrame: node.receiveFrame,
    handleStreamEnded: node.handleStreamEnded,
    reportFailure: ({ message, ...fields }) => {
      warn(message, fields);
    },
  });
  acceptedStreams.sendOnAcceptedStream = peerServer.sendOnAcceptedStream;
  const addresses: DaemonAddresses = {
    caller: servers.caller.address,
    local: servers.local.address,
    operator: servers.operator.address,
    peer: peerServer.address,
  };
  const change = { peerAddress: addresses.peer, callerAddress: addresses.caller, operatorAddress: addresses.operator };
  node.board.post('members', { type: 'updateSelf', change });
  node.start();
  logger.info('listening', { ...addresses });
  return {
    addresses,
    stop: async () => {
      logger.info('stopping');
      servers.caller.announceStop();
      await stopNode(node, settings.stopGraceMs);
      await Promise.all(Object.values(servers).map((server) => server.stop()));
      stopReports();
      peerClient.stop();
      await Promise.all([peerServer.stop(), targetClient.stop()]);
      logger.info('stopped');
    },
  };
}

interface Servers extends Record<string, HttpServer> {
  caller: HttpServer;
  local: HttpServer;
  operator: HttpServer;
}

interface ServerContext {
  settings: Settings;
  node: Node;
  metrics: MetricsRegistry;
  clock: Clock;
  logger: StructuredLogger;
  reportEvictions: (listener: string, evictions: Evictions) => void;
}

/** Starts the listeners for HTTP, each with bounds of its own; they share the time for reading. */
async function startServers(context: ServerContext): Promise<Servers> {
  const { settings, node, metrics, clock, logger } = context;
  const turns = createReadTurns(clock.now);
  const maxHeldBytes = settings.maxListenerBytes ?? computeDefaultHeldBytes();
  const startServer = async (
    listener: string,
    options: Pick<HttpServerOptions, 'listen' | 'controllers' | 'controllerContext' | 'maxConnections'>,
  ): Promise<HttpServer> =>
    startHttpServer({
      ...options,
      clock,
      turns,
      maxHeldBytes,
      reportEvictions: (evictions) => {
        context.reportEvictions(listener, evictions);
      },
      reportFault: (error) => {
        logger.error('connection closed after an error', { listener, error: String(error) });
      },
    });
  const caller = await startServer('caller', {
    listen: settings.callerListen,
    controllers: [CallerController],
    controllerContext: node,
    maxConnections: settings.maxCallerConnections,
  });
  const local = await startServer('local', {
    listen: settings.localListen,
    controllers: [LocalController],
    controllerContext: node,
  });
  const operator = await startServer('operator', {
    listen: settings.operatorListen,
    controllers: [OperatorController],
    controllerContext: { node, metrics },
  });
  const servers: Servers = { caller, local, operator };
  for (const [listener, { budget }] of Object.entries(servers)) metrics.addListener(listener, budget);
  return servers;
}

/** Uses a random key that never leaves the process, so a restarted node rejects tickets issued before the restart. */
function createTicketMac(): (text: string) => string {
  const key = randomBytes(TICKET_KEY_BYTES);
  return (text) => createHmac('sha256', key).update(text).digest('base64url');
}

function createLogFunctions(url: string): { readLog: ReadLog; appendLog: AppendLog } {
  const log = createLogClient(url, { timeoutMs: LOG_REQUEST_TIMEOUT_MS });
  return {
    readLog: (fromOffset, done) => {
      void log.read(fromOffset, { waitMs: LOG_POLL_WAIT_MS }).then(done);
    },
    appendLog: (record, done) => {
      void log.append(record).then(done);
    },
  };
}

function stopNode(node: Node, graceMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, graceMs);
    node.stop(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}
