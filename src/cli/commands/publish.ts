import type { Sade } from 'sade';
import type { PublishOutcome } from '../../schema/commandReport.js';
import { FailureError } from '../../schema/failure.js';
import { getRequiredOption, getSecondsOption, parseVersion, runCommand } from '../commandContext.js';
import type { CommandContext } from '../commandContext.js';
import type { CommandResult } from '../commandResult.js';
import { formatOutcome, getPublishExitCode } from '../formatOutcome.js';
import { getOperator } from '../logOptions.js';
import { publishChange } from '../publishChange.js';
import { readDocument } from '../readDocument.js';

type PublishOptions = Record<string, unknown> & { _: string[]; json?: boolean };

/** Adds `publish FILE... --log URL`. */
export function addPublishCommand(cli: Sade): void {
  cli
    .command('publish <file>')
    .describe(
      'Publishes service configurations, one after the other. Reports each as accepted, rejected, unknown or unreachable.',
    )
    .option('--log', "URL of the platform's log (or HEMLOCK_LOG)")
    .option('--operator', 'Name that is stored with the change; default: the user name')
    .option('--base', 'Version that the file is based on; default: the version in force')
    .option('--change-id', 'Repeat an earlier attempt with an unknown outcome: the change id that it printed')
    .option('--timeout', 'How long to retry while the log is unavailable (s)', 15)
    .example('publish contracts.json --log http://127.0.0.1:7500')
    .example('publish contracts.json --base 41 --log http://127.0.0.1:7500')
    .example('publish contracts.json --change-id kT3x9 --log http://127.0.0.1:7500')
    .action((file: string, options: PublishOptions) =>
      runCommand(options, (context) => publishFiles(context, [file, ...options._], options)),
    );
}

async function publishFiles(
  context: CommandContext,
  paths: readonly string[],
  options: PublishOptions,
): Promise<CommandResult> {
  const url = getRequiredOption(options, 'log', 'HEMLOCK_LOG');
  const { base } = options;
  const changeIdOption = options['change-id'];
  if (paths.length > 1 && (base !== undefined || changeIdOption !== undefined)) {
    throw new FailureError({
      kind: 'usage',
      message: '--base and --change-id apply to a single file: publish the files one at a time',
    });
  }
  const documents = paths.map(readDocument);
  const log = context.createLog(url);
  const outcomes: PublishOutcome[] = [];
  for (const document of documents) {
    const outcome = await publishChange(context, log, {
      document,
      url,
      operator: getOperator(context, options),
      timeoutMs: getSecondsOption(options, 'timeout') * 1000,
      changeId: changeIdOption === undefined ? context.createChangeId() : String(changeIdOption),
      ...(base === undefined ? {} : { baseVersion: parseVersion(base, '--base') }),
    });
    outcomes.push(outcome);
  }
  const exitCode = Math.max(...outcomes.map(getPublishExitCode));
  return { exitCode, lines: outcomes.map((outcome) => formatOutcome(outcome, url)), value: { outcomes } };
}
