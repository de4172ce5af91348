import type { Sade } from 'sade';
import type { NodeStatus } from '../../schema/status.js';
import { getRequiredOption, runCommand } from '../commandContext.js';
import { EXIT_SUCCESS, EXIT_FAILED } from '../commandResult.js';
import type { CommandResult } from '../commandResult.js';
import { fetchStatus } from '../fetchStatus.js';

/** Adds `status --node ADDRESS`. */
export function addStatusCommand(cli: Sade): void {
  cli
    .command('status')
    .describe('Prints the state of a node: log, versions, members, load. Exits with 1 if there are problems.')
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
  const problems = listProblems(status);
  const since = new Date(log.sinceMs).toISOString();
  const lines = [
    `${host}: ${problems.length === 0 ? 'healthy' : problems.join('; ')}`,
    `log: ${log.state} since ${since}, read up to offset ${appliedOffset}, snapshot at offset ${log.lastSnapshotOffset}`,
    `load: limit ${limits.concurrency.toFixed(1)}, running at the target ${inFlight}, queued ${queued}, dispatched by this node ${dispatched}`,
    ...Object.entries(versions).map(([service, version]) => `version: ${service} ${version}`),
    ...members.map(
      ({ id, dataCenter, service, nodeState, targetState }) =>
        `member: ${id} in ${dataCenter}, ${service ?? 'no service'}, node ${nodeState}, target ${targetState}`,
    ),
  ];
  return {
    exitCode: problems.length === 0 ? EXIT_SUCCESS : EXIT_FAILED,
    lines,
    value: { attention: problems, status },
  };
}

function listProblems({ log, members, versions }: NodeStatus): string[] {
  const problems: string[] = [];
  if (log.state === 'down') problems.push(`this node cannot reach the log (${log.message})`);
  if (log.state === 'up' && !log.isComplete)
    problems.push('records of the log have expired and no snapshot covers them');
  if (Object.keys(versions).length === 0) problems.push('no configuration is in force');
  const down = members.filter(({ nodeState }) => nodeState === 'down').map(({ id }) => id);
  if (down.length > 0) problems.push(`down: ${down.join(', ')}`);
  return problems;
}
