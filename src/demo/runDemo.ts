import { mkdirSync, writeFileSync } from 'node:fs';
import { request } from 'undici';
import { fetchEvents } from '../cli/fetchEvents.js';
import { FailureError } from '../schema/failure.js';
import { startDirectTargets } from '../standins/directTargets.js';
import { startFleet } from '../standins/fleet.js';
import type { Fleet } from '../standins/fleet.js';
import { runLoad } from '../standins/load.js';
import type { LoadReport, LoadSettings } from '../standins/loadSettings.js';
import { startLogServer } from '../standins/logServer.js';
import { mergeEvents } from '../timeline/mergeEvents.js';
import { renderPage } from '../timeline/renderPage.js';
import { formatTable } from './formatTable.js';
import { publishDocuments } from './publishDocuments.js';
import { buildHosts, buildLoadSettings, CAPACITY_PER_SECOND, SERVICES, SURGE, writeDocuments } from './sample.js';

export interface DemoOptions {
  seed: number;
  /** Skips the run without hemlockstack, leaves the fleet running after the load and prints its addresses. */
  keepRunning: boolean;
}

const READY_TIMEOUT_MS = 15_000;
const READY_CHECK_INTERVAL_MS = 100;
const TIMELINE_FILE = 'out/timeline.html';

/**
 * Sends the same load to the sample fleet and, unless `keepRunning` is set, directly to identical targets without
 * hemlockstack; prints both results as one table.
 */
export async function runDemo({ seed, keepRunning }: DemoOptions): Promise<void> {
  const log = await startLogServer();
  const files = writeDocuments('out/demo');
  printStep(`stand-in log listens on ${log.url}; publishing ${files.length} documents with hemlockctl`);
  await publishDocuments(files, log.url);
  const hosts = buildHosts();
  printStep(`starting ${hosts.length} hosts in 2 data centres, each with a node and a target`);
  // The direct targets are started in parallel with the fleet to save time; they stay idle until the second run.
  const [fleet, targets] = await Promise.all([
    startFleet(hosts, { logUrl: log.url }),
    keepRunning ? undefined : startDirectTargets(hosts, SERVICES),
  ]);
  printStep('all processes are listening');
  await waitUntilReady(fleet);
  const settings = buildLoadSettings(seed);
  const surgeRate = (settings.ratePerSecond * SURGE.factor).toFixed(0);
  printStep(
    `depot-stock can serve ${CAPACITY_PER_SECOND.toFixed(0)} requests/s; offering ${settings.ratePerSecond.toFixed(0)}/s ` +
      `(seconds ${SURGE.fromS} to ${SURGE.toS}: ${surgeRate}/s)`,
  );
  const stackReport = await runWithProgress('with hemlockstack', { ...settings, nodes: listCallerAddresses(fleet) });
  await writeTimeline(fleet);
  if (targets === undefined) {
    printAddresses(fleet, log.url);
    return;
  }
  printStep('stopping the fleet; sending the same load directly to identical targets');
  await fleet.stop();
  await log.stop();
  printStep('fleet stopped');
  const directReport = await runWithProgress('without hemlockstack', { ...settings, direct: targets.addresses });
  await targets.stop();
  console.log(`\n${formatTable({ 'with hemlockstack': stackReport, without: directReport }, SURGE)}`);
  console.log(`\nTimeline of the run with hemlockstack: ${TIMELINE_FILE}`);
}

async function runWithProgress(name: string, settings: LoadSettings): Promise<LoadReport> {
  const report = await runLoad(settings, {
    printProgress: ({ elapsedS, offered, open }) => {
      const text = `  ${name}: ${elapsedS.toFixed(1)} of ${settings.durationS} s, ${offered} offered, ${open} open`;
      if (process.stderr.isTTY) process.stderr.write(`\r${text.padEnd(78)}`);
    },
  });
  if (process.stderr.isTTY) process.stderr.write('\n');
  printStep(`${name}: ${report.total.completed} of ${report.total.offered} requests completed`);
  return report;
}

function listCallerAddresses(fleet: Fleet): string[] {
  return [...fleet.hosts.values()].map(({ node }) => node.addresses['caller'] ?? '');
}

async function waitUntilReady(fleet: Fleet): Promise<void> {
  const endMs = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < endMs) {
    const statuses = await Promise.all(listCallerAddresses(fleet).map(sendProbe));
    if (statuses.every((status) => status === 200)) return;
    await new Promise((resolve) => setTimeout(resolve, READY_CHECK_INTERVAL_MS));
  }
  throw new FailureError({ kind: 'processFailed', message: 'the fleet did not become ready within 15 s' });
}

async function sendProbe(address: string): Promise<number> {
  const response = await request(`http://${address}/v1/call/order-intake/browse`, { method: 'POST', body: '"probe"' });
  await response.body.dump();
  return response.statusCode;
}

async function writeTimeline(fleet: Fleet): Promise<void> {
  const [first] = fleet.hosts.values();
  const { sources } = await fetchEvents(first?.node.addresses['operator'] ?? '');
  mkdirSync('out', { recursive: true });
  const events = mergeEvents(sources);
  writeFileSync(TIMELINE_FILE, renderPage(sources, events));
  printStep(`${events.length} events from ${sources.length} processes written to ${TIMELINE_FILE}`);
}

function printAddresses(fleet: Fleet, logUrl: string): void {
  console.log(`\nlog ${logUrl}`);
  for (const { host, node, target } of fleet.hosts.values()) {
    const { caller, operator } = node.addresses;
    console.log(`${host.padEnd(20)} caller ${caller}  operator ${operator}  target ${target?.addresses['target']}`);
  }
  const [first] = fleet.hosts.values();
  const { caller, operator } = first?.node.addresses ?? {};
  console.log(`\ncurl -X POST http://${caller}/v1/call/order-intake/browse -H 'deadline-ms: 1000' -d '"hello"'`);
  console.log(`node dist/src/cli/main.js timeline --node ${operator} --kind callRefused`);
  console.log('Press Ctrl+C to stop the fleet and the log.');
  const stop = (): void => {
    void fleet.stop().then(() => process.exit(0));
  };
  process.once('SIGINT', stop);
  process.once('SIGTERM', stop);
}

function printStep(text: string): void {
  console.log(`[${(performance.now() / 1000).toFixed(1).padStart(5)} s] ${text}`);
}
