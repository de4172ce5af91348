import type { Sade } from 'sade';
import { formatConfigurationChange, listConfigurationChanges } from '../../policy/configurationChanges.js';
import { checkConfiguration } from '../../policy/configurationCheck.js';
import type { ConfigurationChange, ConfigurationFinding } from '../../schema/commandReport.js';
import { FailureError } from '../../schema/failure.js';
import type { Fault } from '../../schema/failure.js';
import { routeConfigurationSchema } from '../../schema/routeConfiguration.js';
import type { RouteConfiguration } from '../../schema/routeConfiguration.js';
import { compileSchema, formatFault } from '../../schema/validate.js';
import { runCommand } from '../commandContext.js';
import { EXIT_FAILED, EXIT_INVALID, EXIT_SUCCESS } from '../commandResult.js';
import type { CommandResult } from '../commandResult.js';
import { readJsonFile } from '../readDocument.js';

interface CheckOptions {
  against?: string;
  json?: boolean;
}

const CONTENT = 'configuration of routed requests';
const validator = compileSchema(routeConfigurationSchema);

type Decode = (value: unknown) => unknown;

export interface CheckCommandOptions {
  /** Converts the content of a file into the form of `RouteConfiguration`; by default it has that form. */
  decode?: Decode;
}

/** Adds `check FILE`. */
export function addCheckCommand(cli: Sade, { decode = (value) => value }: CheckCommandOptions = {}): void {
  cli
    .command('check <file>')
    .describe(
      'Checks a configuration of routed requests before it is published. Lists its faults, entries that never apply and limits that contradict each other; exits with 2 on a fault and with 1 on the others, except notes.',
    )
    .option('--against', 'File with the version in force; lists what differs from it')
    .example('check routes.json')
    .example('check routes.json --against in-force.json --json')
    .action((file: string, options: CheckOptions) =>
      runCommand(options, () => Promise.resolve(checkFile(file, options.against, decode))),
    );
}

function checkFile(path: string, againstPath: string | undefined, decode: Decode): CommandResult {
  const value = decode(readJsonFile(path, CONTENT));
  const inForce = againstPath === undefined ? undefined : readConfiguration(againstPath, decode);
  if (!validator.isValid(value)) return reportFaults(path, validator.listFaults(value));
  const changes = inForce === undefined ? undefined : listConfigurationChanges(inForce, value);
  if (inForce !== undefined && changes !== undefined && changes.length > 0 && value.version <= inForce.version) {
    const allowed = `above ${inForce.version}, the version in force, which nodes keep otherwise`;
    return reportFaults(path, [{ path: 'version', found: String(value.version), allowed }]);
  }
  const findings = checkConfiguration(value);
  const isClean = findings.every(({ kind }) => kind === 'note');
  return {
    exitCode: isClean ? EXIT_SUCCESS : EXIT_FAILED,
    lines: [
      `${path}: valid, ${findings.length} findings`,
      ...findings.map(formatFinding),
      ...formatChanges(inForce, changes),
    ],
    value: { path, faults: [], findings, ...(inForce === undefined ? {} : { against: inForce.version, changes }) },
  };
}

function readConfiguration(path: string, decode: Decode): RouteConfiguration {
  const value = decode(readJsonFile(path, CONTENT));
  if (validator.isValid(value)) return value;
  const message = `${path} is not a valid ${CONTENT}; pass the version in force`;
  throw new FailureError({ kind: 'documentInvalid', message, faults: validator.listFaults(value) });
}

function reportFaults(path: string, faults: Fault[]): CommandResult {
  const lines = [`${path}: invalid`, ...faults.map((fault) => `  ${formatFault(fault)}`)];
  return { exitCode: EXIT_INVALID, lines, value: { path, faults, findings: [] } };
}

function formatFinding({ kind, path, detail }: ConfigurationFinding): string {
  return `  ${kind} ${path}: ${detail}`;
}

function formatChanges(
  inForce: RouteConfiguration | undefined,
  changes: readonly ConfigurationChange[] | undefined,
): string[] {
  if (inForce === undefined || changes === undefined) return [];
  const title = `${changes.length} differences from version ${inForce.version}`;
  return [title, ...changes.map((change) => `  ${formatConfigurationChange(change)}`)];
}
