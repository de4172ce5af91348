import { request } from 'undici';
import { startFleet } from '../../standins/fleet.js';
import type { Fleet, FleetHostOptions } from '../../standins/fleet.js';
import { startLogServer } from '../../standins/logServer.js';
import type { Figure } from '../../schema/benchReport.js';
import { computeLinearFit } from '../linearFit.js';
import { readProcessUsage } from '../processUsage.js';
import { createFigure } from '../scenario.js';
import type { Scenario } from '../scenario.js';

/** Size and bounds of the brief. */
const FULL_SIZE = 1300;
const MAX_CORE_PERCENT = 1.9;
const MAX_RESIDENT_MB = 256;
const MAX_KB_PER_SECOND = 13;

/** Numbers of nodes, reached one after the other by the same fleet; 80 nodes start within the two minutes of a bench. */
const SIZES = [10, 20, 40, 80];
const DATA_CENTERS = 5;
const STARTED_AT_ONCE = 10;
/** Start-up work, the first exchanges and the connections to seeds are over by then. */
const SETTLE_MS = 8000;
const MEASURE_MS = 6000;
const MB = 1_000_000;
const KB = 1000;

interface NodeCost {
  corePercent: number;
  residentMb: number;
  /** Control messages sent and received, with framing, without TCP and IP. */
  kbPerSecond: number;
}

interface SizeCost {
  nodes: number;
  mean: NodeCost;
  highest: NodeCost;
}

/** Measures what membership and configuration cost a node without load, at several sizes. */
export const controlCost: Scenario = {
  name: 'control-cost',
  situation: 'nodes without load in five data centres, several sizes; slopes to 1,300 nodes',
  kind: 'realProcesses',
  run: async ({ printProgress }) => {
    const log = await startLogServer();
    const hosts = describeHosts(Math.max(...SIZES));
    const fleet = await startFleet(hosts.slice(0, 1), { logUrl: log.url });
    const costs: SizeCost[] = [];
    try {
      for (const nodes of SIZES) {
        for (let start = fleet.hosts.size; start < nodes; start += STARTED_AT_ONCE)
          await Promise.all(hosts.slice(start, Math.min(nodes, start + STARTED_AT_ONCE)).map(fleet.startHost));
        await wait(SETTLE_MS);
        costs.push({ nodes, ...(await measureFleet(fleet)) });
        printProgress(`control-cost: ${nodes} nodes measured`);
      }
    } finally {
      await fleet.stop();
      await log.stop();
    }
    return costs.flatMap(listSizeFigures).concat(listFullSizeFigures(costs));
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
  const before = await readAll(fleet);
  await wait(MEASURE_MS);
  const after = await readAll(fleet);
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

async function readAll(
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

/** Adds up the bytes of all frames; without load all of them are control work. */
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
 * Extrapolates along two lines: over the number of nodes, which overstates what grows with links, and over its
 * logarithm, as links do. A falling line is noise, so no estimate is below the largest size that was measured.
 */
function listFullSizeFigures(costs: readonly SizeCost[]): Figure[] {
  const computeAtFullSize = (label: string, unit: string, bound: number, read: (cost: NodeCost) => number): Figure[] =>
    (['mean', 'highest'] as const).flatMap((kind) => {
      const last = read((costs.at(-1) as SizeCost)[kind]);
      const linear = computeLinearFit(costs.map((cost) => ({ x: cost.nodes, y: read(cost[kind]) })));
      const byLinks = computeLinearFit(costs.map((cost) => ({ x: Math.log2(cost.nodes), y: read(cost[kind]) })));
      const atFullSize = Math.max(last, linear.intercept + linear.slope * FULL_SIZE);
      const atFullLinks = Math.max(last, byLinks.intercept + byLinks.slope * Math.log2(FULL_SIZE));
      return [
        createFigure(`${label} at ${FULL_SIZE} nodes by slope, ${kind}`, atFullSize, unit, { atMost: bound }),
        createFigure(`${label} slope, ${kind}`, linear.slope * 1000, `${unit} per 1,000 nodes`),
        createFigure(`${label} worst residual, ${kind}`, linear.worstResidual, unit),
        createFigure(`${label} at ${FULL_SIZE} nodes by links, ${kind}`, atFullLinks, unit, { atMost: bound }),
        createFigure(`${label} slope by links, ${kind}`, byLinks.slope, `${unit} per doubling`),
        createFigure(`${label} worst residual by links, ${kind}`, byLinks.worstResidual, unit),
      ];
    });
  return [
    ...computeAtFullSize('processor of a node', '% of a core', MAX_CORE_PERCENT, (cost) => cost.corePercent),
    ...computeAtFullSize('resident memory', 'MB', MAX_RESIDENT_MB, (cost) => cost.residentMb),
    ...computeAtFullSize('control bytes', 'KB/s', MAX_KB_PER_SECOND, (cost) => cost.kbPerSecond),
  ];
}

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
