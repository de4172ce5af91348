#!/usr/bin/env node
import sade from 'sade';
import type { LazyOutput } from 'sade';
import { addCheckCommand } from './commands/check.js';
import { addDiffCommand } from './commands/diff.js';
import { addDrainCommand } from './commands/drain.js';
import { addExplainCommand } from './commands/explain.js';
import { addHistoryCommand } from './commands/history.js';
import { addPublishCommand } from './commands/publish.js';
import { addShowCommand } from './commands/show.js';
import { addStatusCommand } from './commands/status.js';
import { addTimelineCommand } from './commands/timeline.js';
import { addValidateCommand } from './commands/validate.js';
import { addWaitCommand } from './commands/wait.js';
import { EXIT_INVALID } from './commandResult.js';

/** Options whose values are always strings; sade converts other values that look like numbers. */
const TEXT_OPTIONS = ['log', 'node', 'operator', 'service', 'change-id', 'file', 'against'];

const cli = sade('hemlockctl').version('0.1.0').option('--json', 'Print the result as JSON', false);
addValidateCommand(cli);
addCheckCommand(cli);
addPublishCommand(cli);
addDiffCommand(cli);
addShowCommand(cli);
addHistoryCommand(cli);
addStatusCommand(cli);
addDrainCommand(cli);
addWaitCommand(cli);
addTimelineCommand(cli);
addExplainCommand(cli);

// sade exits with 1 on wrong usage, but hemlockctl uses 1 for a rejected change.
const setUsageExitCode = (code: number): void => {
  if (code !== 0) process.exitCode = EXIT_INVALID;
};
process.on('exit', setUsageExitCode);
// parse returns undefined after sade has printed the help or the version.
const parsed = cli.parse(process.argv, {
  lazy: true,
  string: TEXT_OPTIONS,
  unknown: (flag) => `Unknown option: ${flag}`,
}) as LazyOutput | undefined;
process.off('exit', setUsageExitCode);
if (parsed !== undefined) await Reflect.apply(parsed.handler, undefined, parsed.args);
