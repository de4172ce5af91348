import type { Sade } from 'sade';
import type { WaitReport } from '../../schema/commandReport.js';
import { getRequiredOption, getSecondsOption, parseVersion, runCommand } from '../commandContext.js';
import type { CommandContext } from '../commandContext.js';
import { EXIT_SUCCESS, EXIT_FAILED, EXIT_UNREACHABLE } from '../commandResult.js';
import type { CommandResult } from '../commandResult.js';
import { fetchStatus } from '../fetchStatus.js';

const POLL_INTERVAL_MS = 300;
/** Nodes queried at the same time; a fleet of 1,300 nodes takes 21 batches. */
const CONCURRENT_REQUESTS = 64;

/** Adds `wait SERVICE VERSION --node ADDRESS`. */
export function addWaitCommand(cli: Sade): void {
  cli
    .command('wait <service> <version>')
    .describe('Waits until a version, or a later one, is in force at every node. Lists the hosts that lag.')
    .option('--node', 'Operator address of any node, which lists the others (or HEMLOCK_NODE)')
    .option('--timeout', 'Maximum time to wait (s)', 30)
    .example('wait contracts 42 --node 127.0.0.1:7403')
    .example('wait contracts 42 --node 127.0.0.1:7403 --timeout 7 --json')
    .action((service: string, version: string, options: Record<string, unknown>) =>
      runCommand(options, (context) => waitForVersion(context, service, version, options)),
    );
}

async function waitForVersion(
  context: CommandContext,
  service: string,
  versionText: string,
  options: Record<string, unknown>,
): Promise<CommandResult> {
  const version = parseVersion(versionText, 'VERSION');
  const address = getRequiredOption(options, 'node', 'HEMLOCK_NODE');
  const endMs = context.now() + getSecondsOption(options, 'timeout') * 1000;
  for (;;) {
    const report = await collectVersions(address, service, version);
    if (report.lagging.length + report.unreachable.length === 0 || context.now() > endMs) return buildResult(report);
    context.printProgress(describeReport(report));
    await context.wait(POLL_INTERVAL_MS);
  }
}

async function collectVersions(address: string, service: string, version: number): Promise<WaitReport> {
  const { members } = await fetchStatus(address);
  const report: WaitReport = { service, version, inForce: [], lagging: [], unreachable: [], down: [] };
  const awaited = members.filter(({ nodeState }) => nodeState !== 'down');
  report.down = members.filter(({ nodeState }) => nodeState === 'down').map(({ id }) => id);
  for (let start = 0; start < awaited.length; start += CONCURRENT_REQUESTS) {
    const group = awaited.slice(start, start + CONCURRENT_REQUESTS);
    const versions = await Promise.all(group.map(({ operatorAddress }) => fetchVersion(operatorAddress, service)));
    for (const [index, { id }] of group.entries()) {
      const current = versions[index];
      if (current === undefined) report.unreachable.push(id);
      else if (current >= version) report.inForce.push(id);
      else report.lagging.push({ host: id, version: current });
    }
  }
  return report;
}

async function fetchVersion(address: string, service: string): Promise<number | undefined> {
  const status = await fetchStatus(address).catch(() => undefined);
  return status === undefined ? undefined : (status.versions[service] ?? 0);
}

function buildResult(report: WaitReport): CommandResult {
  const exitCode =
    report.lagging.length > 0 ? EXIT_FAILED : report.unreachable.length > 0 ? EXIT_UNREACHABLE : EXIT_SUCCESS;
  return { exitCode, lines: [describeReport(report)], value: report };
}

function describeReport({ service, version, inForce, lagging, unreachable, down }: WaitReport): string {
  const total = inForce.length + lagging.length + unreachable.length;
  const parts = [`${service} version ${version} is in force at ${inForce.length} of ${total} hosts`];
  if (lagging.length > 0) {
    const names = lagging.map(({ host, version: current }) => `${host} (version ${current})`).join(', ');
    parts.push(`lagging: ${names}; check their status and the links of their data centre`);
  }
  if (unreachable.length > 0) parts.push(`unreachable: ${unreachable.join(', ')}; check that these hosts are running`);
  if (down.length > 0) parts.push(`down, not waited for: ${down.join(', ')}`);
  return parts.join('; ');
}
