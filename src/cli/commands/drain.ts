import type { Sade } from 'sade';
import type { PublishOutcome } from '../../schema/commandReport.js';
import { getRequiredOption, getSecondsOption, runCommand } from '../commandContext.js';
import type { CommandContext } from '../commandContext.js';
import { EXIT_SUCCESS } from '../commandResult.js';
import type { CommandResult } from '../commandResult.js';
import { formatOutcome, getPublishExitCode } from '../formatOutcome.js';
import { getOperator } from '../logOptions.js';
import { publishChange } from '../publishChange.js';
import { getDocumentInForce, readLogToEnd } from '../readLog.js';

/** Maximum number of publish attempts; each one after a conflict is based on the change that won. */
const MAX_ATTEMPTS = 5;

/** Adds `drain HOST --service S`. */
export function addDrainCommand(cli: Sade): void {
  cli
    .command('drain <host>')
    .describe('Drains a host of a service by adding it to the published drainedHosts. --undo removes it again.')
    .option('--service', 'Service that the host serves')
    .option('--undo', 'Remove the host from drainedHosts', false)
    .option('--log', "URL of the platform's log (or HEMLOCK_LOG)")
    .option('--operator', 'Name that is stored with the change; default: the user name')
    .option('--timeout', 'How long to retry while the log is unavailable (s)', 15)
    .example('drain d1-contracts --service contracts --log http://127.0.0.1:7500')
    .example('drain d1-contracts --service contracts --undo --log http://127.0.0.1:7500')
    .action((host: string, options: Record<string, unknown>) =>
      runCommand(options, (context) => drainHost(context, host, options)),
    );
}

async function drainHost(
  context: CommandContext,
  host: string,
  options: Record<string, unknown>,
): Promise<CommandResult> {
  const url = getRequiredOption(options, 'log', 'HEMLOCK_LOG');
  const service = getRequiredOption(options, 'service', 'HEMLOCK_SERVICE');
  const timeoutMs = getSecondsOption(options, 'timeout') * 1000;
  const log = context.createLog(url);
  const shouldDrain = options['undo'] !== true;
  let outcome: PublishOutcome | undefined;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const { document, version } = getDocumentInForce(await readLogToEnd(context, log, { url, timeoutMs }), service);
    const otherHosts = (document.drainedHosts ?? []).filter((drained) => drained !== host);
    const isDrained = otherHosts.length < (document.drainedHosts ?? []).length;
    if (isDrained === shouldDrain) {
      const line = `${service}: ${host} is ${shouldDrain ? 'already drained' : 'not drained'} in version ${version}`;
      return { exitCode: EXIT_SUCCESS, lines: [line], value: { type: 'unchanged', service, host, version } };
    }
    outcome = await publishChange(context, log, {
      document: { ...document, drainedHosts: shouldDrain ? [...otherHosts, host] : otherHosts },
      url,
      timeoutMs,
      operator: getOperator(context, options),
      changeId: context.createChangeId(),
      baseVersion: version,
    });
    if (outcome.type !== 'rejected' || outcome.winner === undefined) break;
  }
  // Not reached: the loop runs at least once, and each iteration returns or sets the outcome.
  if (outcome === undefined) return { exitCode: EXIT_SUCCESS, lines: [], value: {} };
  return { exitCode: getPublishExitCode(outcome), lines: [formatOutcome(outcome, url)], value: { host, outcome } };
}
