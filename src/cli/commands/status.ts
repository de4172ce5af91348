import type { Sade } from 'sade';
import type { NodeStatus } from '../../schema/status.js';
import { getRequiredOption, runCommand } from '../commandContext.js';
import { EXIT_SUCCESS, EXIT_REJECTED } from '../commandResult.js';
import type { CommandResult } from '../commandResult.js';
import { fetchStatus } from '../fetchStatus.js';

/** Adds `status --node ADDRESS`. */
export function addStatusCommand(cli: Sade): void {
  cli
    .command('status')
    .describe('Prints the state of a node: log, versions, members, load. Exits with 1 when something needs attention.')
    .option('--node', 'Operator address of a node (or HEMLOCK_NODE)')
    .example('status --node 127.0.0.1:7403')
    .example('status --node 127.0.0.1:7403 --json')
    .action((options: Record<string, unknown>) =>
      runCommand(options, async () =>
        describeStatus(await fetchStatus(getRequiredOption(options, 'node', 'HEMLOCK_NODE'))),
      ),
    );
}

function describeStatus(status: NodeStatus): CommandResult {
  const { host, log, members, versions, limits, inFlight, queued, dispatched, appliedOffset } = status;
  const attention = listAttention(status);
  const since = new Date(log.sinceMs).toISOString();
  const lines = [
    `${host}: ${attention.length === 0 ? 'healthy' : attention.join('; ')}`,
    `log: ${log.state} since ${since}, read up to offset ${appliedOffset}, snapshot at offset ${log.lastSnapshotOffset}`,
    `load: limit ${limits.concurrency.toFixed(1)}, in flight ${inFlight}, queued ${queued}, dispatched ${dispatched}`,
    ...Object.entries(versions).map(([service, version]) => `version: ${service} ${version}`),
    ...members.map(
      ({ id, dataCenter, service, nodeState, targetState }) =>
        `member: ${id} in ${dataCenter}, ${service ?? 'no service'}, node ${nodeState}, target ${targetState}`,
    ),
  ];
  return { exitCode: attention.length === 0 ? EXIT_SUCCESS : EXIT_REJECTED, lines, value: { attention, status } };
}

function listAttention({ log, members, versions }: NodeStatus): string[] {
  const attention: string[] = [];
  if (log.state === 'down') attention.push(`this gateway cannot reach the log (${log.message})`);
  if (log.state === 'up' && !log.isComplete)
    attention.push('records of the log have expired and no snapshot covers them');
  if (Object.keys(versions).length === 0) attention.push('no configuration is in force');
  const down = members.filter(({ nodeState }) => nodeState === 'down').map(({ id }) => id);
  if (down.length > 0) attention.push(`down: ${down.join(', ')}`);
  return attention;
}
