import type { Sade } from 'sade';
import type { Verdict } from '../../policy/configurationFold.js';
import { runCommand } from '../commandContext.js';
import type { CommandContext } from '../commandContext.js';
import { EXIT_SUCCESS } from '../commandResult.js';
import type { CommandResult } from '../commandResult.js';
import { readNamedLog } from '../logOptions.js';

/** Adds `history SERVICE`. */
export function addHistoryCommand(cli: Sade): void {
  cli
    .command('history <service>')
    .describe('Lists the changes of a service that are still in the log, oldest first, with their verdicts.')
    .option('--log', "URL of the platform's log (or HEMLOCK_LOG)")
    .option('--timeout', 'How long to retry while the log is unavailable (s)', 15)
    .example('history contracts --log http://127.0.0.1:7500')
    .action((service: string, options: Record<string, unknown>) =>
      runCommand(options, (context) => listHistory(context, service, options)),
    );
}

async function listHistory(
  context: CommandContext,
  service: string,
  options: Record<string, unknown>,
): Promise<CommandResult> {
  const view = await readNamedLog(context, options);
  const changes = view.verdicts.flatMap((verdict) =>
    verdict.type !== 'ignored' && verdict.change.service === service ? [buildHistoryRow(verdict)] : [],
  );
  const current = view.reader.state.documents.get(service);
  const lines = changes.map(
    ({ offset, verdict, operator, changeId, reason }) =>
      `${offset}  ${verdict}  ${operator}  ${changeId}${reason === '' ? '' : `  ${reason}`}`,
  );
  const versionText = current === undefined ? 'no version is in force' : `version ${current.version} is in force`;
  lines.push(`${service}: ${changes.length} changes in the log, ${versionText}`);
  return { exitCode: EXIT_SUCCESS, lines, value: { service, version: current?.version ?? 0, changes } };
}

function buildHistoryRow(verdict: Exclude<Verdict, { type: 'ignored' }>) {
  const { type, offset, change } = verdict;
  const { changeId, operator, baseVersion } = change;
  const reason =
    verdict.type === 'rejected'
      ? verdict.reason
      : verdict.type === 'repeated'
        ? `decided at offset ${verdict.first.offset}`
        : '';
  return { offset, verdict: type, changeId, operator, baseVersion, reason };
}
