import type { Sade } from 'sade';
import { getRequiredOption, getSecondsOption, runCommand } from '../commandContext.js';
import type { CommandContext } from '../commandContext.js';
import { EXIT_SUCCESS } from '../commandResult.js';
import type { CommandResult } from '../commandResult.js';
import { compareDocuments, formatDifference } from '../compareDocuments.js';
import { readDocument } from '../readDocument.js';
import { readLogToEnd } from '../readLog.js';

/** Adds `diff FILE`. */
export function addDiffCommand(cli: Sade): void {
  cli
    .command('diff <file>')
    .describe('Compares a file with the version in force. Lines start with + (added), - (removed) or ~ (changed).')
    .option('--log', "URL of the platform's log (or HEMLOCK_LOG)")
    .option('--timeout', 'How long to retry while the log is unavailable (s)', 15)
    .example('diff contracts.json --log http://127.0.0.1:7500')
    .action((file: string, options: Record<string, unknown>) =>
      runCommand(options, (context) => compareFile(context, file, options)),
    );
}

async function compareFile(
  context: CommandContext,
  path: string,
  options: Record<string, unknown>,
): Promise<CommandResult> {
  const url = getRequiredOption(options, 'log', 'HEMLOCK_LOG');
  const document = readDocument(path);
  const timeoutMs = getSecondsOption(options, 'timeout') * 1000;
  const view = await readLogToEnd(context, context.createLog(url), { url, timeoutMs });
  const current = view.reader.state.documents.get(document.service);
  const differences = compareDocuments(current?.document, document);
  const version = current?.version ?? 0;
  const title =
    current === undefined
      ? `${document.service}: not published yet`
      : `${document.service}: ${differences.length} differences from version ${version} by ${current.operator}`;
  const lines = [title, ...differences.map((difference) => `  ${formatDifference(difference)}`)];
  return { exitCode: EXIT_SUCCESS, lines, value: { service: document.service, version, differences } };
}
