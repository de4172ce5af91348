import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Sade } from 'sade';
import { decisionLineSchema } from '../../schema/decision.js';
import type { DecisionLine } from '../../schema/decision.js';
import { FailureError } from '../../schema/failure.js';
import { compileSchema } from '../../schema/validate.js';
import { explainRequest } from '../../timeline/explainRequest.js';
import type { RequestExplanation } from '../../timeline/explainRequest.js';
import { formatDecision } from '../../timeline/formatDecision.js';
import { runCommand } from '../commandContext.js';
import { EXIT_SUCCESS, EXIT_FAILED } from '../commandResult.js';
import type { CommandResult } from '../commandResult.js';

const validator = compileSchema(decisionLineSchema);

/** Adds `explain ID`. */
export function addExplainCommand(cli: Sade): void {
  cli
    .command('explain <id>')
    .describe(
      'Prints the logged decisions of all processes on one request, in order, and the one that determined its outcome.',
    )
    .option('--file', 'File with the log lines; default: standard input')
    .example('explain ca45fc141ccc576e < nodes.log')
    .example('explain ca45fc141ccc576e --file nodes.log --json')
    .action((id: string, options: { json?: boolean; file?: string }) =>
      runCommand(options, () => buildExplanation(String(id), options.file)),
    );
}

async function buildExplanation(id: string, file: string | undefined): Promise<CommandResult> {
  const explanation = explainRequest(await readLines(id, file), id);
  if (explanation.decisions.length === 0) {
    const message = `no log lines of request ${id}: they were dropped under load, or these are not the logs of the nodes that handled it`;
    return { exitCode: EXIT_FAILED, lines: [message], value: explanation };
  }
  return { exitCode: EXIT_SUCCESS, lines: formatExplanation(explanation), value: explanation };
}

/** Reads the lines of one request and those without a request id, which record state changes of the node. */
async function readLines(id: string, file: string | undefined): Promise<DecisionLine[]> {
  const input = file === undefined ? process.stdin : createReadStream(file);
  const lines: DecisionLine[] = [];
  try {
    for await (const text of createInterface({ input })) {
      const line = parseLine(text);
      if (line !== undefined && (line.id === undefined || line.id === id)) lines.push(line);
    }
  } catch (error) {
    const path = file ?? 'standard input';
    throw new FailureError({ kind: 'fileUnreadable', message: `cannot read ${path}: ${String(error)}`, path });
  }
  return lines;
}

/** Parses one line; skips a prefix such as a host name, and returns undefined for a line that is not a decision. */
function parseLine(text: string): DecisionLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const value: unknown = JSON.parse(text.slice(start));
    return validator.isValid(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

function formatExplanation({ requestId, decisions, beliefs, cause }: RequestExplanation): string[] {
  return [
    `request ${requestId}`,
    ...decisions.map((line) => `  ${formatDecision(line)}`),
    ...(beliefs.length > 0 ? ['state changes shortly before'] : []),
    ...beliefs.map((line) => `  ${formatDecision(line)}`),
    ...(cause === undefined ? [] : ['decided by', `  ${formatDecision(cause)}`]),
  ];
}
