import { randomInt } from 'node:crypto';
import type { KeyedTopic, RequestIo } from '../control/requests/context.js';
import { createSystemClock } from '../core/clock.js';
import { createRandom } from '../core/random.js';
import { startControlServers } from '../http/controlServers.js';
import type { RequestHeaderNames } from '../http/requestHeaders.js';
import { probeAddress } from '../http/probeAddress.js';
import { createDurationMetrics, createRequestMetrics } from '../http/requestMetrics.js';
import { startRequestServer } from '../http/requestServer.js';
import { createTargetConnectionPool } from '../http/targetConnectionPool.js';
import { createTargetSender } from '../http/targetSender.js';
import { createRequestNode } from '../node/createRequestNode.js';
import type { RequestSettings } from '../schema/requestSettings.js';
import { dialLink } from '../transport/linkClient.js';
import { startLinkServer } from '../transport/linkServer.js';
import { createLineWriter } from './lineWriter.js';

export interface RequestDaemonOptions {
  settings: RequestSettings;
  headerNames: RequestHeaderNames;
  /** Turns what the target sends as a heartbeat into the fields of one. */
  decodeHeartbeat: (body: unknown) => unknown;
  configurationTopic: KeyedTopic;
  memberTopic: KeyedTopic;
  writeMember: RequestIo['writeMember'];
  dropMember: RequestIo['dropMember'];
}

export interface RequestDaemon {
  /** Applies a changed settings file; addresses stay those of the start. */
  reload(settings: RequestSettings): void;
  /** Stops gracefully within the grace time of the settings. */
  stop(): Promise<void>;
}

const MAX_SEED = 2 ** 31;
/** Descriptors that are kept for files, links and the target; the rest is for clients. */
const CLIENT_SHARE = 0.5;
const STDOUT = 1;
const FLUSH_MS = 100;

/**
 * Starts all of one process that serves routed requests.
 *
 * @throws FailureError `listenFailed`.
 */
export async function startRequestDaemon(options: RequestDaemonOptions): Promise<RequestDaemon> {
  const { settings, headerNames } = options;
  const clock = createSystemClock();
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
    configurationTopic: options.configurationTopic,
    memberTopic: options.memberTopic,
    writeMember: options.writeMember,
    dropMember: options.dropMember,
    recordDuration: durations.record,
    writeLines: createLineWriter(STDOUT),
  });
  const { board } = node;
  const links = await startLinkServer(settings.linkListen, node.acceptLink);
  const requests = await startRequestServer({
    listen: settings.requestListen,
    names: headerNames,
    clock,
    maxConnections: Math.floor(settings.maxDescriptors * CLIENT_SHARE),
    readLimits: () => board.read('routes').table?.configuration.limits,
    accept: node.acceptRequest,
  });
  const controls = await startControlServers({
    ...settings,
    isReady: () => board.read('node').phase === 'ready',
    decodeHeartbeat: options.decodeHeartbeat,
    receiveHeartbeat: node.receiveHeartbeat,
    receiveLeave: node.receiveLeave,
    reportFault: (outcome, inputs) => {
      board.post('decisions', { kind: 'faultFound', outcome, inputs });
    },
    renderMetrics: createRequestMetrics(board, durations).renderText,
  });
  node.start();
  return {
    reload: (changed) => {
      board.post('settings', changed);
    },
    stop: async () => {
      requests.announceStop();
      await new Promise<void>((resolve) => {
        node.stop(resolve);
      });
      requests.stop();
      node.close();
      // What was answered last must reach its clients before the process ends.
      await new Promise((resolve) => setTimeout(resolve, FLUSH_MS));
      links.stop();
      pool.stop();
      await controls.stop();
    },
  };
}
