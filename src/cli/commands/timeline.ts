import { writeFileSync } from 'node:fs';
import type { Sade } from 'sade';
import { eventKindSchema } from '../../schema/event.js';
import { FailureError } from '../../schema/failure.js';
import { formatEvent } from '../../timeline/formatEvents.js';
import { mergeEvents } from '../../timeline/mergeEvents.js';
import type { EventFilter, EventSource } from '../../timeline/mergeEvents.js';
import { renderPage } from '../../timeline/renderPage.js';
import { fetchEvents } from '../fetchEvents.js';
import type { EventCursors } from '../fetchEvents.js';

const EXIT_USAGE = 2;
const EXIT_UNREACHABLE = 4;
const FOLLOW_PERIOD_MS = 1000;

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
 * Adds `timeline` to the program of hemlockctl.
 *
 * @example
 * addTimelineCommand(sade('hemlockctl')).parse(process.argv);
 */
export function addTimelineCommand(program: Sade): Sade {
  return program
    .command('timeline')
    .describe('Print the events of all processes in the order of cause and effect.')
    .option('--node', 'Operator address of any node, such as 127.0.0.1:7003')
    .option('--request', 'Only events of this request id')
    .option('--service', 'Only events of this service')
    .option('--host', 'Only events recorded at this host')
    .option('--kind', 'Only events of this kind, such as callRefused')
    .option('--json', 'One JSON object per line')
    .option('--html', 'Write a self-contained page to this file')
    .option('--follow', 'Go on with new events until interrupted')
    .example('timeline --node 127.0.0.1:7003 --kind callRefused')
    .example('timeline --node 127.0.0.1:7003 --request k3x9 --html request.html')
    .action(runTimeline);
}

/** Runs the command; sets the exit code: 0 done, 2 usage, 4 unreachable. */
export async function runTimeline(options: TimelineOptions): Promise<void> {
  const fault = checkOptions(options);
  if (fault !== undefined) {
    process.stderr.write(`${fault}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  try {
    await printTimeline(options, options.node ?? '');
  } catch (error) {
    if (!(error instanceof FailureError)) throw error;
    process.stderr.write(`${error.failure.kind}: ${error.failure.message}\n`);
    process.exitCode = EXIT_UNREACHABLE;
  }
}

function checkOptions({ node, kind, html, follow }: TimelineOptions): string | undefined {
  if (typeof node !== 'string' || !/^[^:/]+:\d+$/.test(node))
    return 'usage: --node takes the operator address of a node, such as 127.0.0.1:7003';
  const kinds = eventKindSchema.anyOf.map((literal) => String(literal.const));
  if (kind !== undefined && !kinds.includes(kind)) return `usage: --kind takes one of ${kinds.join(', ')}`;
  if (html !== undefined && (typeof html !== 'string' || follow === true))
    return 'usage: --html takes a file, and does not go with --follow';
  return undefined;
}

async function printTimeline(options: TimelineOptions, node: string): Promise<void> {
  const cursors: EventCursors = new Map();
  const filter = buildFilter(options);
  const { sources, missing } = await fetchEvents(node, cursors);
  if (missing.length > 0) process.stderr.write(`no events from ${missing.join(', ')}: unreachable\n`);
  if (options.html !== undefined) {
    writePage(options.html, sources, filter);
    return;
  }
  printEvents(sources, filter, options.json === true);
  while (options.follow === true) {
    await new Promise((resolve) => setTimeout(resolve, FOLLOW_PERIOD_MS));
    printEvents((await fetchEvents(node, cursors)).sources, filter, options.json === true);
  }
}

function buildFilter({ request, service, host, kind }: TimelineOptions): EventFilter {
  const filter: EventFilter = {};
  // sade turns values that look like numbers into numbers.
  if (request !== undefined) filter.requestId = String(request);
  if (service !== undefined) filter.service = String(service);
  if (host !== undefined) filter.host = String(host);
  if (kind !== undefined) filter.kind = kind;
  return filter;
}

function printEvents(sources: readonly EventSource[], filter: EventFilter, isJson: boolean): void {
  for (const event of mergeEvents(sources, filter)) {
    process.stdout.write(`${isJson ? JSON.stringify(event) : formatEvent(event)}\n`);
  }
}

function writePage(file: string, sources: readonly EventSource[], filter: EventFilter): void {
  const events = mergeEvents(sources, filter);
  writeFileSync(file, renderPage(sources, events));
  process.stderr.write(`${events.length} events of ${sources.length} processes written to ${file}\n`);
}
