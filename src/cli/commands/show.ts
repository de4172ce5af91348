import type { Sade } from 'sade';
import { runCommand } from '../commandContext.js';
import type { CommandContext } from '../commandContext.js';
import { EXIT_SUCCESS } from '../commandResult.js';
import type { CommandResult } from '../commandResult.js';
import { readNamedLog } from '../logOptions.js';
import { getDocumentInForce } from '../readLog.js';

/** Adds `show SERVICE`. */
export function addShowCommand(cli: Sade): void {
  cli
    .command('show <service>')
    .describe('Prints the document of a service that is in force according to the log.')
    .option('--log', "URL of the platform's log (or HEMLOCK_LOG)")
    .option('--timeout', 'How long to retry while the log is unavailable (s)', 15)
    .example('show contracts --log http://127.0.0.1:7500 > contracts.json')
    .action((service: string, options: Record<string, unknown>) =>
      runCommand(options, (context) => printDocument(context, service, options)),
    );
}

async function printDocument(
  context: CommandContext,
  service: string,
  options: Record<string, unknown>,
): Promise<CommandResult> {
  const view = await readNamedLog(context, options);
  const folded = getDocumentInForce(view, service);
  const { version, operator, changeId, document } = folded;
  process.stderr.write(`${service}: version ${version} by ${operator} (change ${changeId})\n`);
  return { exitCode: EXIT_SUCCESS, lines: [JSON.stringify(document, null, 2)], value: { service, ...folded } };
}
