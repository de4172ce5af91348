import { randomInt } from 'node:crypto';
import type { Evictions } from '../control/requests/clientBudget.js';
import type { KeyedTopic, RequestIo } from '../control/requests/context.js';
import { createSystemClock } from '../core/clock.js';
import { createRandom } from '../core/random.js';
import { startControlServers } from '../http/controlServers.js';
import type { RequestHeaderNames } from '../http/requestHeaders.js';
import { probeAddress } from '../http/probeAddress.js';
import { checkRoutedHead } from '../http/checkRequestHead.js';
import { createReadTurns } from '../http/readTurns.js';
import { createDurationMetrics, createRequestMetrics } from '../http/requestMetrics.js';
import { startRequestServer } from '../http/requestServer.js';
import { createTargetConnectionPool } from '../http/targetConnectionPool.js';
import { createTargetSender } from '../http/targetSender.js';
import { createRequestNode } from '../node/createRequestNode.js';
import type { RequestSettings } from '../schema/requestSettings.js';
import { dialLink } from '../transport/linkClient.js';
import { startLinkServer } from '../transport/linkServer.js';
import { computeDefaultHeldBytes } from './defaultHeldBytes.js';
import { createLineWriter } from './lineWriter.js';
import { createImmediateWriter, reportUncaughtErrors } from './uncaughtErrors.js';

export interface RequestDaemonOptions {
  settings: RequestSettings;
  headerNames: RequestHeaderNames;
  /** Converts the heartbeat body that the target sends into the fields of a heartbeat. */
  decodeTargetMessage: (body: unknown) => unknown;
  configurationTopic: KeyedTopic;
  memberTopic: KeyedTopic;
  writeMember: RequestIo['writeMember'];
  dropMember: RequestIo['dropMember'];
}

export interface RequestDaemon {
  /** Applies changed settings; changes of the listen addresses take effect only after a restart. */
  reload(settings: RequestSettings): void;
  /** Stops gracefully, within the grace period of the settings. */
  stop(): Promise<void>;
}

const MAX_SEED = 2 ** 31;
/** Share of the file descriptors for client connections; the rest is for files, links and the target. */
const CLIENT_DESCRIPTOR_SHARE = 0.5;
/** Share of the file descriptors for the connections of each of the listeners for heartbeats, readiness and metrics. */
const CONTROL_DESCRIPTOR_SHARE = 0.06;
const MIN_CONTROL_CONNECTIONS = 8;
/**
 * Share of the file descriptors for connections of nodes that have not said who they are; it must hold all nodes when they
 * connect at the same time.
 */
const LINK_DESCRIPTOR_SHARE = 0.32;
const STDOUT_DESCRIPTOR = 1;
const FLUSH_DELAY_MS = 100;

/**
 * Starts the node, the servers and the target connections of one process that serves routed requests: HTTP requests,
 * which a route assigns to a service by their host name and path prefix. `startDaemon` serves service calls instead.
 *
 * @throws FailureError `listenFailed`.
 */
export async function startRequestDaemon(options: RequestDaemonOptions): Promise<RequestDaemon> {
  const { settings, headerNames } = options;
  const clock = createSystemClock();
  const defaultHeldBytes = computeDefaultHeldBytes();
  const pool = createTargetConnectionPool(clock);
  const durations = createDurationMetrics();
  const node = createRequestNode({
    settings,
    clock,
    random: createRandom(randomInt(MAX_SEED)),
    sendToTarget: createTargetSender({ pool, names: headerNames }),
    probeTarget: (address, done) => {
      probeAddress(`http://${address}`, done);
    },
    dialLink,
    linkLimits: {
      maxConnections: Math.floor(settings.maxDescriptors * LINK_DESCRIPTOR_SHARE),
      maxHeldBytes: settings.maxLinkBytes ?? defaultHeldBytes,
    },
    configurationTopic: options.configurationTopic,
    memberTopic: options.memberTopic,
    writeMember: options.writeMember,
    dropMember: options.dropMember,
    recordDuration: durations.record,
    writeLines: createLineWriter(STDOUT_DESCRIPTOR),
  });
  const { board } = node;
  reportUncaughtErrors({ board, writeNow: createImmediateWriter(STDOUT_DESCRIPTOR) });
  const turns = createReadTurns(clock.now);
  const reportEvictions = (listener: string, { reason, ...inputs }: Evictions): void => {
    board.post('decisions', { kind: 'clientsClosed', outcome: reason, inputs: { listener, ...inputs } });
  };
  const linkServer = await startLinkServer(settings.linkListen, node.acceptLink);
  const requestServer = await startRequestServer({
    listen: settings.requestListen,
    names: headerNames,
    clock,
    maxConnections: Math.floor(settings.maxDescriptors * CLIENT_DESCRIPTOR_SHARE),
    maxHeldBytes: settings.maxClientBytes ?? defaultHeldBytes,
    turns,
    checkHead: checkRoutedHead,
    reportEvictions: (evictions) => {
      reportEvictions('requests', evictions);
    },
    readLimits: () => board.read('routes').table?.configuration.limits,
    accept: node.acceptRequest,
    isIdempotent: node.isIdempotent,
  });
  const metrics = createRequestMetrics(board, durations, requestServer.budget);
  const { maxListenerBytes } = settings;
  const controlServers = await startControlServers({
    ...settings,
    names: headerNames,
    clock,
    turns,
    maxConnections: Math.max(MIN_CONTROL_CONNECTIONS, Math.floor(settings.maxDescriptors * CONTROL_DESCRIPTOR_SHARE)),
    ...(maxListenerBytes === undefined ? {} : { maxHeldBytes: maxListenerBytes }),
    reportEvictions,
    isReady: () => board.read('node').phase === 'ready',
    decodeTargetMessage: options.decodeTargetMessage,
    receiveHeartbeat: node.receiveHeartbeat,
    receiveLeave: node.receiveLeave,
    reportInvalidHeartbeat: (outcome, inputs) => {
      board.post('decisions', { kind: 'faultFound', outcome, inputs });
    },
    renderMetrics: metrics.renderText,
  });
  for (const [listener, budget] of [...controlServers.budgets, ...node.linkCounts])
    metrics.addListener(listener, budget);
  // Releases of Node differ in what their HTTP parser accepts.
  const inputs = { node: process.version, httpParser: process.versions['llhttp'] ?? '' };
  board.post('decisions', { kind: 'nodeChanged', outcome: 'listening', inputs });
  node.start();
  return {
    reload: (changed) => {
      board.post('settings', changed);
    },
    stop: async () => {
      requestServer.announceStop();
      await new Promise<void>((resolve) => {
        node.stop(resolve);
      });
      requestServer.stop();
      node.close();
      // The last responses must reach their clients before the process exits.
      await new Promise((resolve) => setTimeout(resolve, FLUSH_DELAY_MS));
      linkServer.stop();
      pool.stop();
      controlServers.stop();
    },
  };
}
