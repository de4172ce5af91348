import { writeFileSync } from 'node:fs';
import { setTimeout as wait } from 'node:timers/promises';
import type { Sade } from 'sade';
import { eventKindSchema } from '../../schema/event.js';
import { FailureError } from '../../schema/failure.js';
import { formatEvent } from '../../timeline/formatEvent.js';
import { mergeEvents } from '../../timeline/mergeEvents.js';
import type { EventFilter } from '../../timeline/mergeEvents.js';
import { renderPage } from '../../timeline/renderPage.js';
import { getRequiredOption, runCommand } from '../commandContext.js';
import { EXIT_SUCCESS } from '../commandResult.js';
import type { CommandResult } from '../commandResult.js';
import { fetchEvents } from '../fetchEvents.js';
import type { EventCursors } from '../fetchEvents.js';

const POLL_INTERVAL_MS = 1000;

interface TimelineOptions {
  node?: string;
  request?: string;
  service?: string;
  host?: string;
  kind?: string;
  json?: boolean;
  html?: string;
  follow?: boolean;
}

/**
 * Adds `timeline`.
 *
 * @example
 * addTimelineCommand(cli);
 */
export function addTimelineCommand(program: Sade): void {
  program
    .command('timeline')
    .describe('Prints the events of all processes in causal order.')
    .option('--node', 'Operator address of any node, such as 127.0.0.1:7003 (or HEMLOCK_NODE)')
    .option('--request', 'Only events of this request id')
    .option('--service', 'Only events of this service')
    .option('--host', 'Only events recorded at this host')
    .option('--kind', 'Only events of this kind, such as callRefused')
    .option('--html', 'Write a self-contained HTML page to this file')
    .option('--follow', 'Keep printing new events until interrupted')
    .example('timeline --node 127.0.0.1:7003 --kind callRefused')
    .example('timeline --node 127.0.0.1:7003 --request k3x9 --html request.html')
    .action((options: TimelineOptions) => runCommand(options, () => buildTimeline(options)));
}

async function buildTimeline(options: TimelineOptions): Promise<CommandResult> {
  checkOptions(options);
  const node = getRequiredOption({ node: options.node }, 'node', 'HEMLOCK_NODE');
  const filter = buildFilter(options);
  if (options.follow === true) return followEvents(node, filter, options.json === true);
  const { sources, unreachableHosts } = await fetchEvents(node);
  if (unreachableHosts.length > 0) process.stderr.write(`no events from ${unreachableHosts.join(', ')}: unreachable\n`);
  const events = mergeEvents(sources, filter);
  if (options.html === undefined) return { exitCode: EXIT_SUCCESS, lines: events.map(formatEvent), value: events };
  writeFileSync(options.html, renderPage(sources, events));
  const summary = { file: options.html, events: events.length, processes: sources.length };
  const line = `${summary.events} events of ${summary.processes} processes written to ${summary.file}`;
  return { exitCode: EXIT_SUCCESS, lines: [line], value: summary };
}

/** Prints new events until the process is interrupted; as JSON, one event per line, because the list never ends. */
async function followEvents(node: string, filter: EventFilter, isJson: boolean): Promise<never> {
  const cursors: EventCursors = new Map();
  for (;;) {
    const { sources } = await fetchEvents(node, cursors);
    for (const event of mergeEvents(sources, filter)) {
      process.stdout.write(`${isJson ? JSON.stringify(event) : formatEvent(event)}\n`);
    }
    await wait(POLL_INTERVAL_MS);
  }
}

function checkOptions({ kind, html, follow }: TimelineOptions): void {
  const kinds = eventKindSchema.anyOf.map((literal) => String(literal.const));
  if (kind !== undefined && !kinds.includes(kind)) {
    throw new FailureError({ kind: 'usage', message: `--kind is ${kind}: expected one of ${kinds.join(', ')}` });
  }
  if (html !== undefined && (typeof html !== 'string' || follow === true)) {
    throw new FailureError({ kind: 'usage', message: '--html takes a file and cannot be combined with --follow' });
  }
}

function buildFilter({ request, service, host, kind }: TimelineOptions): EventFilter {
  const filter: EventFilter = {};
  // sade converts values that look like numbers to numbers.
  if (request !== undefined) filter.requestId = String(request);
  if (service !== undefined) filter.service = String(service);
  if (host !== undefined) filter.host = String(host);
  if (kind !== undefined) filter.kind = kind;
  return filter;
}
