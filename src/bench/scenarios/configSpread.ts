import { createLogClient } from '../../platform/logClient.js';
import type { Figure } from '../../schema/benchReport.js';
import type { ServiceConfiguration } from '../../schema/serviceConfiguration.js';
import { startFleet } from '../../standins/fleet.js';
import type { Fleet, FleetHostOptions } from '../../standins/fleet.js';
import { startLogServer } from '../../standins/logServer.js';
import type { LogServer } from '../../standins/logServer.js';
import { createFigure } from '../scenario.js';
import type { Scenario } from '../scenario.js';
import { fetchVersion, waitForVersion } from './waitForVersion.js';
import { measurePolling } from './measurePolling.js';

const DATA_CENTERS = ['d1', 'd2', 'd3', 'd4'];
const HOSTS_PER_DATA_CENTER = 6;
/** Maximum time from publishing a change until it is in force at every node (s). */
const MAX_IN_FORCE_S = 7;
const PUBLISH_COUNT = 5;
const OUTAGE_MS = 5000;
const SERVICE = 'contracts';

/** Measures the time from publishing a change until it is in force at every node. */
export const configSpread: Scenario = {
  name: 'config-spread',
  description: 'time from publishing to in force everywhere, 24 nodes in 4 data centres',
  kind: 'realProcesses',
  run: async ({ printProgress }) => {
    const log = await startLogServer();
    const hosts: FleetHostOptions[] = DATA_CENTERS.flatMap((dataCenter) =>
      Array.from({ length: HOSTS_PER_DATA_CENTER }, (_, index) => ({ host: `${dataCenter}-${index}`, dataCenter })),
    );
    const first = await publishNext(log, 0);
    printProgress(`starting ${hosts.length} nodes`);
    const fleet = await startFleet(hosts, { logUrl: log.url });
    try {
      return await measureSituations(log, fleet, hosts, first, printProgress);
    } finally {
      await fleet.stop();
      await log.stop();
    }
  },
};

async function measureSituations(
  log: LogServer,
  fleet: Fleet,
  hosts: readonly FleetHostOptions[],
  first: number,
  printProgress: (text: string) => void,
): Promise<Figure[]> {
  let version = first;
  const measureChange = async (): Promise<number> => {
    version = await publishNext(log, version);
    return waitForVersion(fleet, SERVICE, version);
  };
  await waitForVersion(fleet, SERVICE, version);
  const last = hosts.at(-1) ?? { host: 'd4-5', dataCenter: 'd4' };
  const normalTimesMs: number[] = [];
  for (let count = 0; count < PUBLISH_COUNT; count++) {
    normalTimesMs.push(await measureChange());
  }
  const readsPerSecond = await measureReads(log);
  printProgress('restarting a node');
  await fleet.hosts.get(last.host)?.node.kill();
  await fleet.startHost(last);
  const afterRestartMs = await measureChange();

  printProgress('simulating an outage of the log');
  log.faults.isDown = true;
  await waitFor(OUTAGE_MS);
  const hasKeptVersion = (
    await Promise.all([...fleet.hosts.values()].map(({ node }) => fetchVersion(node, SERVICE)))
  ).every((found) => found === version);
  const startedMs = performance.now();
  await fleet.startHost({ host: 'd1-new', dataCenter: 'd1' });
  await waitForVersion(fleet, SERVICE, version);
  const newNodeMs = performance.now() - startedMs;
  log.faults.isDown = false;
  const afterOutageMs = await measureChange();

  printProgress(`baseline: every node polls the log, ${readsPerSecond.toFixed(1)} reads/s in total`);
  const pollingMs = await measurePolling({ nodes: fleet.hosts.size, readsPerSecond });
  const baselines = { 'every node polls the log at the same read rate': pollingMs / 1000 };
  const createTime = (name: string, ms: number, others: Record<string, number> = {}): Figure =>
    createFigure(name, ms / 1000, 's', { atMost: MAX_IN_FORCE_S, baselines: others });
  return [
    createTime('in force everywhere, worst of 5', Math.max(...normalTimesMs), baselines),
    createTime('in force everywhere after one node restarted', afterRestartMs),
    createTime('in force everywhere after a log outage of 5 s', afterOutageMs),
    createTime('new node has the state while the log is down, from its start', newNodeMs),
    createFigure('nodes keep their state in an outage', hasKeptVersion ? 1 : 0, 'share', { atLeast: 1 }),
    createFigure('reads of the log by all nodes', readsPerSecond, 'reads/s'),
  ];
}

async function publishNext(log: LogServer, baseVersion: number): Promise<number> {
  const document: ServiceConfiguration = {
    service: SERVICE,
    operations: { browse: { idempotent: true, priority: 'normal', expectedCostMs: 1, deadlineMs: 1000 } },
    priorities: [{ name: 'normal', worth: 1, guaranteedShare: 0.5 }],
    retryAllowance: 2,
    queueLimit: baseVersion + 1,
  };
  const changeId = `bench-${baseVersion}`;
  const record = { kind: 'change', changeId, service: SERVICE, baseVersion, operator: 'bench', document } as const;
  const outcome = await createLogClient(log.url).append(record);
  return outcome.type === 'appended' ? outcome.offset : 0;
}

/** Measures the total reads per second of all nodes while nothing is published. */
async function measureReads(log: LogServer): Promise<number> {
  const before = log.reads;
  const startedMs = performance.now();
  await waitFor(OUTAGE_MS);
  return ((log.reads - before) * 1000) / (performance.now() - startedMs);
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
