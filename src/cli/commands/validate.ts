import type { Sade } from 'sade';
import { formatFault } from '../../schema/validate.js';
import { runCommand } from '../commandContext.js';
import { EXIT_SUCCESS, EXIT_INVALID } from '../commandResult.js';
import type { CommandResult } from '../commandResult.js';
import { readDocumentFaults } from '../readDocument.js';

interface ValidateOptions {
  _: string[];
  json?: boolean;
}

/** Adds `validate FILE...`. */
export function addValidateCommand(cli: Sade): void {
  cli
    .command('validate <file>')
    .describe('Validates service configurations. Takes one or more files; needs neither the log nor a node.')
    .example('validate examples/kaltfracht/contracts.json')
    .example('validate examples/kaltfracht/*.json --json')
    .action((file: string, options: ValidateOptions) =>
      runCommand(options, () => Promise.resolve(validateFiles([file, ...options._]))),
    );
}

function validateFiles(paths: readonly string[]): CommandResult {
  const files = paths.map((path) => ({ path, faults: readDocumentFaults(path).faults }));
  const lines = files.flatMap(({ path, faults }) =>
    faults.length === 0
      ? [`${path}: valid`]
      : [`${path}: invalid`, ...faults.map((fault) => `  ${formatFault(fault)}`)],
  );
  const isValid = files.every(({ faults }) => faults.length === 0);
  return { exitCode: isValid ? EXIT_SUCCESS : EXIT_INVALID, lines, value: { files } };
}
