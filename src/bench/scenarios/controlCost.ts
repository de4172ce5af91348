import { request } from 'undici';
import { startFleet } from '../../standins/fleet.js';
import type { Fleet, FleetHostOptions } from '../../standins/fleet.js';
import { startLogServer } from '../../standins/logServer.js';
import type { Figure } from '../../schema/benchReport.js';
import { computeLinearFit } from '../linearFit.js';
import { readProcessUsage } from '../processUsage.js';
import { createFigure } from '../scenario.js';
import type { Scenario } from '../scenario.js';

/** Target size and its bounds per node. */
const TARGET_SIZE = 1300;
const MAX_CORE_PERCENT = 1.9;
const MAX_RESIDENT_MB = 256;
const MAX_KB_PER_SECOND = 13;

/** Fleet sizes to measure, to which one fleet grows; starting 80 nodes fits into the two minutes of a bench. */
const SIZES = [10, 20, 40, 80];
const DATA_CENTERS = 5;
const START_BATCH_SIZE = 10;
/** Time for start-up work, first exchanges and connections to seeds to end after nodes were started. */
const SETTLE_MS = 8000;
const MEASURE_MS = 6000;
const MB = 1_000_000;
const KB = 1000;

interface NodeCost {
  corePercent: number;
  residentMb: number;
  /** Control messages sent and received, with framing but without TCP and IP. */
  kbPerSecond: number;
}

interface SizeCost {
  nodes: number;
  mean: NodeCost;
  highest: NodeCost;
}

/** Measures processor time, memory and traffic of nodes without load, at several fleet sizes. */
export const controlCost: Scenario = {
  name: 'control-cost',
  description: 'nodes without load in five data centres at several fleet sizes, extrapolated to 1,300 nodes',
  kind: 'realProcesses',
  run: async ({ printProgress }) => {
    const log = await startLogServer();
    const hosts = describeHosts(Math.max(...SIZES));
    const fleet = await startFleet(hosts.slice(0, 1), { logUrl: log.url });
    const costs: SizeCost[] = [];
    try {
      for (const nodes of SIZES) {
        for (let start = fleet.hosts.size; start < nodes; start += START_BATCH_SIZE)
          await Promise.all(hosts.slice(start, Math.min(nodes, start + START_BATCH_SIZE)).map(fleet.startHost));
        await wait(SETTLE_MS);
        costs.push({ nodes, ...(await measureFleet(fleet)) });
        printProgress(`control-cost: ${nodes} nodes measured`);
      }
    } finally {
      await fleet.stop();
      await log.stop();
    }
    return costs.flatMap(listSizeFigures).concat(listTargetSizeFigures(costs));
  },
};

function describeHosts(nodes: number): FleetHostOptions[] {
  return Array.from({ length: nodes }, (_, index) => ({
    host: `n${index}`,
    dataCenter: `d${index % DATA_CENTERS}`,
    region: `r${index % 2}`,
    settings: { logLevel: 'error' },
  }));
}

async function measureFleet(fleet: Fleet): Promise<Omit<SizeCost, 'nodes'>> {
  const before = await readUsages(fleet);
  await wait(MEASURE_MS);
  const after = await readUsages(fleet);
  const costs = after.map((reading, index): NodeCost => {
    const earlier = before[index] ?? reading;
    const elapsedMs = reading.atMs - earlier.atMs;
    return {
      corePercent: (100 * (reading.processorMs - earlier.processorMs)) / elapsedMs,
      residentMb: reading.residentBytes / MB,
      kbPerSecond: (reading.controlBytes - earlier.controlBytes) / KB / (elapsedMs / 1000),
    };
  });
  const collect = (choose: (values: number[]) => number): NodeCost => ({
    corePercent: choose(costs.map(({ corePercent }) => corePercent)),
    residentMb: choose(costs.map(({ residentMb }) => residentMb)),
    kbPerSecond: choose(costs.map(({ kbPerSecond }) => kbPerSecond)),
  });
  return {
    mean: collect((values) => values.reduce((sum, value) => sum + value, 0) / values.length),
    highest: collect((values) => Math.max(...values)),
  };
}

async function readUsages(
  fleet: Fleet,
): Promise<{ atMs: number; processorMs: number; residentBytes: number; controlBytes: number }[]> {
  const readings = [];
  for (const { node } of fleet.hosts.values()) {
    const response = await request(`http://${node.addresses['operator'] ?? ''}/metrics`);
    const controlBytes = computeControlBytes(await response.body.text());
    readings.push({ atMs: performance.now(), controlBytes, ...readProcessUsage(node.child.pid ?? 0) });
  }
  return readings;
}

/** Sums the bytes of all frames; without load all of them are control messages. */
function computeControlBytes(metrics: string): number {
  let bytes = 0;
  for (const [, value] of metrics.matchAll(/^hemlock_peer_bytes_total\{[^}]*\} (\S+)$/gm)) bytes += Number(value);
  return bytes;
}

function listSizeFigures({ nodes, mean, highest }: SizeCost): Figure[] {
  return [
    createFigure(`processor of a node at ${nodes} nodes, mean`, mean.corePercent, '% of a core'),
    createFigure(`processor of a node at ${nodes} nodes, highest`, highest.corePercent, '% of a core'),
    createFigure(`resident memory at ${nodes} nodes, mean`, mean.residentMb, 'MB'),
    createFigure(`resident memory at ${nodes} nodes, highest`, highest.residentMb, 'MB'),
    createFigure(`control bytes at ${nodes} nodes, mean`, mean.kbPerSecond, 'KB/s'),
    createFigure(`control bytes at ${nodes} nodes, highest`, highest.kbPerSecond, 'KB/s'),
  ];
}

/**
 * Extrapolates to the target size along two lines: over the number of nodes, which overestimates costs that grow with
 * the number of links, and over its logarithm, with which the number of links grows. A falling line is noise, so no
 * estimate is below the value measured at the largest size.
 */
function listTargetSizeFigures(costs: readonly SizeCost[]): Figure[] {
  const computeAtTargetSize = (
    label: string,
    unit: string,
    bound: number,
    read: (cost: NodeCost) => number,
  ): Figure[] =>
    (['mean', 'highest'] as const).flatMap((kind) => {
      const last = read((costs.at(-1) as SizeCost)[kind]);
      const linear = computeLinearFit(costs.map((cost) => ({ x: cost.nodes, y: read(cost[kind]) })));
      const byLinks = computeLinearFit(costs.map((cost) => ({ x: Math.log2(cost.nodes), y: read(cost[kind]) })));
      const linearEstimate = Math.max(last, linear.intercept + linear.slope * TARGET_SIZE);
      const linksEstimate = Math.max(last, byLinks.intercept + byLinks.slope * Math.log2(TARGET_SIZE));
      return [
        createFigure(`${label} at ${TARGET_SIZE} nodes by slope, ${kind}`, linearEstimate, unit, { atMost: bound }),
        createFigure(`${label} slope, ${kind}`, linear.slope * 1000, `${unit} per 1,000 nodes`),
        createFigure(`${label} worst residual, ${kind}`, linear.maxResidual, unit),
        createFigure(`${label} at ${TARGET_SIZE} nodes by links, ${kind}`, linksEstimate, unit, { atMost: bound }),
        createFigure(`${label} slope by links, ${kind}`, byLinks.slope, `${unit} per doubling`),
        createFigure(`${label} worst residual by links, ${kind}`, byLinks.maxResidual, unit),
      ];
    });
  return [
    ...computeAtTargetSize('processor of a node', '% of a core', MAX_CORE_PERCENT, (cost) => cost.corePercent),
    ...computeAtTargetSize('resident memory', 'MB', MAX_RESIDENT_MB, (cost) => cost.residentMb),
    ...computeAtTargetSize('control bytes', 'KB/s', MAX_KB_PER_SECOND, (cost) => cost.kbPerSecond),
  ];
}

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
