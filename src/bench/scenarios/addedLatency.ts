import { readFileSync } from 'node:fs';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';
import { createLogClient } from '../../platform/logClient.js';
import { FailureError } from '../../schema/failure.js';
import type { ServiceConfiguration } from '../../schema/serviceConfiguration.js';
import { startFleet } from '../../standins/fleet.js';
import type { Fleet } from '../../standins/fleet.js';
import { startLogServer } from '../../standins/logServer.js';
import { createFigure } from '../scenario.js';
import type { Scenario, ScenarioContext } from '../scenario.js';

/** Calls per second and node at the target size (docs/design.md, section 1). */
const TARGET_RATE = 215;
const MAX_ADDED_P99_MS = 0.41;
const HIGHER_RATES = [500, 1000, 1500, 2000, 3000];
/** A node sustains a rate if at least this share of the calls completes, with a p99 of at most `SUSTAINED_P99_MS`. */
const SUSTAINED_SHARE = 0.999;
const SUSTAINED_P99_MS = 20;
const TARGET_RATE_ROUNDS = 3;
const ROUND_MS = 4000;
const HIGHER_ROUND_MS = 3000;
const WARM_UP_MS = 4000;
const UNITS_PER_MS = 1000;
const MS_PER_TICK = 10;
const READY_TIMEOUT_MS = 15_000;

const document: ServiceConfiguration = {
  service: 'echo',
  operations: { echo: { idempotent: true, priority: 'only', expectedCostMs: 1, deadlineMs: 2000 } },
  priorities: [{ name: 'only', worth: 1, guaranteedShare: 0 }],
  retryAllowance: 0,
  concurrencyHint: 64,
};

interface Measurement {
  histogram: Histogram;
  sent: number;
  completed: number;
}

/** Compares the latency of direct calls to a target with calls through one node and through two nodes. */
export const addedLatency: Scenario = {
  name: 'added-latency',
  description: 'real processes, 215 calls/s per node and up to the highest rate that a node sustains',
  kind: 'realProcesses',
  run: async (run) => {
    const log = await startLogServer();
    await createLogClient(log.url).append({
      kind: 'change',
      changeId: 'bench',
      service: document.service,
      baseVersion: 0,
      operator: 'bench',
      document,
    });
    const operations = { echo: { meanMs: 0, distribution: 'constant' as const, onward: [] } };
    const fleet = await startFleet(
      [
        { host: 'entry', dataCenter: 'd1' },
        { host: 'served', dataCenter: 'd1', target: { service: 'echo', slots: 256, connections: 1024, operations } },
      ],
      { logUrl: log.url },
    );
    try {
      return await measureFleet(fleet, run);
    } finally {
      await fleet.stop();
      await log.stop();
    }
  },
};

async function measureFleet(fleet: Fleet, { printProgress }: ScenarioContext) {
  const served = fleet.hosts.get('served');
  const urls = {
    direct: `${served?.target?.addresses['target'] ?? ''}/echo`,
    oneNode: `http://${served?.node.addresses['caller'] ?? ''}/v1/call/echo/echo`,
    twoNodes: `http://${fleet.hosts.get('entry')?.node.addresses['caller'] ?? ''}/v1/call/echo/echo`,
  };
  await waitUntilReady(urls.twoNodes);
  for (const url of Object.values(urls)) await sendAtRate(url, TARGET_RATE, WARM_UP_MS);
  const totals = { direct: createMeasurement(), oneNode: createMeasurement(), twoNodes: createMeasurement() };
  let nodeCpuMs = 0;
  // Rounds alternate, so that load from other processes on the machine affects all three paths alike.
  for (let round = 0; round < TARGET_RATE_ROUNDS; round++) {
    for (const name of ['direct', 'oneNode', 'twoNodes'] as const) {
      const cpuBeforeMs = readNodeCpu(fleet);
      mergeMeasurement(totals[name], await sendAtRate(urls[name], TARGET_RATE, ROUND_MS));
      if (name === 'twoNodes') nodeCpuMs += readNodeCpu(fleet) - cpuBeforeMs;
      printProgress(
        `round ${round + 1} of ${TARGET_RATE_ROUNDS}: ${name} p99 ${getQuantile(totals[name], 99).toFixed(2)} ms`,
      );
    }
  }
  let sustainedRate = 0;
  let sustained = { direct: totals.direct, twoNodes: totals.twoNodes };
  for (const rate of HIGHER_RATES) {
    const direct = await sendAtRate(urls.direct, rate, HIGHER_ROUND_MS);
    const twoNodes = await sendAtRate(urls.twoNodes, rate, HIGHER_ROUND_MS);
    const share = twoNodes.completed / twoNodes.sent;
    printProgress(`${rate}/s: ${(100 * share).toFixed(1)}% completed, p99 ${getQuantile(twoNodes, 99).toFixed(2)} ms`);
    if (share < SUSTAINED_SHARE || getQuantile(twoNodes, 99) > SUSTAINED_P99_MS) break;
    sustainedRate = rate;
    sustained = { direct, twoNodes };
  }
  const computeAdded = (through: Measurement, percent: number, direct = totals.direct): number =>
    getQuantile(through, percent) - getQuantile(direct, percent);
  const buildBaselines = (percent: number) => ({ baselines: { 'one node': computeAdded(totals.oneNode, percent) } });
  return [
    createFigure('direct call p50', getQuantile(totals.direct, 50), 'ms'),
    createFigure('direct call p99', getQuantile(totals.direct, 99), 'ms'),
    createFigure('added at 215/s p50', computeAdded(totals.twoNodes, 50), 'ms', buildBaselines(50)),
    createFigure('added at 215/s p99', computeAdded(totals.twoNodes, 99), 'ms', {
      atMost: MAX_ADDED_P99_MS,
      ...buildBaselines(99),
    }),
    createFigure('completed at 215/s', totals.twoNodes.completed / totals.twoNodes.sent, 'share', { atLeast: 1 }),
    // Unlike the latencies, this hardly depends on other load on the machine.
    createFigure('processor time of both nodes per call', nodeCpuMs / totals.twoNodes.sent, 'ms'),
    createFigure('highest rate held', sustainedRate, 'calls/s'),
    createFigure('added at the highest rate p50', computeAdded(sustained.twoNodes, 50, sustained.direct), 'ms'),
    createFigure('added at the highest rate p99', computeAdded(sustained.twoNodes, 99, sustained.direct), 'ms', {
      atMost: MAX_ADDED_P99_MS,
    }),
  ];
}

/** Sends calls in an open loop at a constant rate and waits until all have ended. */
async function sendAtRate(url: string, ratePerSecond: number, durationMs: number): Promise<Measurement> {
  const agent = new Agent({ connections: 128, pipelining: 1 });
  const measurement = createMeasurement();
  const open = new Set<Promise<void>>();
  const intervalMs = 1000 / ratePerSecond;
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < durationMs) {
    while (startedAtMs + measurement.sent * intervalMs <= performance.now()) {
      measurement.sent++;
      const sent = sendCall(agent, url, measurement).finally(() => open.delete(sent));
      open.add(sent);
    }
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  await Promise.all(open);
  await agent.destroy();
  return measurement;
}

async function sendCall(agent: Agent, url: string, measurement: Measurement): Promise<void> {
  const sentAtMs = performance.now();
  try {
    const response = await request(url, { method: 'POST', dispatcher: agent, body: '"x"' });
    await response.body.arrayBuffer();
    if (response.statusCode !== 200) return;
    measurement.completed++;
    measurement.histogram.recordValue(Math.max(1, Math.round((performance.now() - sentAtMs) * UNITS_PER_MS)));
  } catch {
    // A call without a response counts as sent but not as completed.
  }
}

/** Reads the user and system time that the node processes have used so far (ms), with a resolution of 10 ms. */
function readNodeCpu(fleet: Fleet): number {
  let ticks = 0;
  for (const { node } of fleet.hosts.values()) {
    const text = readFileSync(`/proc/${node.child.pid ?? 0}/stat`, 'utf8');
    // The process name in parentheses may contain spaces; utime and stime are the 12th and 13th fields after it.
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    ticks += Number(fields[11]) + Number(fields[12]);
  }
  return ticks * MS_PER_TICK;
}

function createMeasurement(): Measurement {
  const histogram = build({ highestTrackableValue: 60_000 * UNITS_PER_MS, numberOfSignificantValueDigits: 3 });
  return { histogram, sent: 0, completed: 0 };
}

function mergeMeasurement(total: Measurement, part: Measurement): void {
  total.histogram.add(part.histogram);
  total.sent += part.sent;
  total.completed += part.completed;
}

function getQuantile({ histogram }: Measurement, percent: number): number {
  return histogram.getValueAtPercentile(percent) / UNITS_PER_MS;
}

async function waitUntilReady(url: string): Promise<void> {
  const endMs = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < endMs) {
    const response = await request(url, { method: 'POST', body: '"x"' });
    await response.body.dump();
    if (response.statusCode === 200) return;
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  throw new FailureError({ kind: 'processFailed', message: `no call through ${url} completed in 15 s` });
}
