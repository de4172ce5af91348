#!/usr/bin/env node
import { FailureError } from '../schema/failure.js';
import { formatFault } from '../schema/validate.js';
import { readSettings } from './readSettings.js';
import { startDaemon } from './startDaemon.js';
import { handleStopSignals } from './stopSignals.js';

const EXIT_FAILED = 1;
/** The settings or a file that they name are invalid. */
const EXIT_INVALID = 2;
const INVALID_KINDS = new Set<string>(['settingsInvalid', 'fileUnreadable', 'trustInsufficient']);
const USAGE = 'Usage: hemlockd --settings FILE\n\nRuns the node of one target host until SIGTERM or SIGINT.\n';

async function runMain(parameters: readonly string[]): Promise<void> {
  const file = parameters[0] === '--settings' ? parameters[1] : undefined;
  if (file === undefined || parameters.length !== 2) {
    process.stderr.write(USAGE);
    process.exitCode = parameters.includes('--help') ? 0 : EXIT_INVALID;
    return;
  }
  const daemon = await startDaemon(readSettings(file));
  process.stdout.write(`${JSON.stringify({ listening: daemon.addresses })}\n`);
  handleStopSignals(daemon.stop);
}

function reportFailure(error: unknown): void {
  if (!(error instanceof FailureError)) {
    process.stderr.write(`hemlockd failed: ${String(error)}\n`);
    process.exitCode = EXIT_FAILED;
    return;
  }
  const { failure } = error;
  if (failure.kind === 'settingsInvalid') {
    for (const fault of failure.faults) process.stderr.write(`${formatFault(fault)}\n`);
  } else {
    process.stderr.write(`${failure.kind}: ${failure.message}\n`);
  }
  process.exitCode = INVALID_KINDS.has(failure.kind) ? EXIT_INVALID : EXIT_FAILED;
}

runMain(process.argv.slice(2)).catch(reportFailure);
