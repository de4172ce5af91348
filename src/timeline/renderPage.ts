import type { TimelineEvent } from '../schema/event.js';
import { pageScript } from './pageScript.js';
import { pageStyle } from './pageStyle.js';

/** A process on the page, drawn as one row. */
export interface ProcessRow {
  host: string;
  dataCenter: string;
}

/**
 * Renders a self-contained HTML page: one row per process, grouped by data centre, with filters and zoom.
 *
 * @example
 * writeFileSync('timeline.html', renderPage(rows, events));
 */
export function renderPage(rows: readonly ProcessRow[], events: readonly TimelineEvent[]): string {
  const sorted = [...rows].sort(compareRows);
  const data = encodeJson({ rows: sorted, events: events.map(buildCompactEvent) });
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>hemlockstack timeline</title>
<style>${pageStyle}</style>
</head>
<body>
<header>
  <h1>Timeline</h1>
  <label>Request <input id="request" size="18" placeholder="all"></label>
  <label>Service <select id="service"><option value="">all</option></select></label>
  <label>Host <select id="host"><option value="">all</option></select></label>
  <button id="reset" type="button">Show all</button>
  <span id="count"></span>
</header>
<div id="kinds"></div>
<p id="help">Wheel: zoom at the pointer. Drag: pan. Click an event: show only its request.</p>
<canvas id="chart"></canvas>
<pre id="detail">Point at an event for its details.</pre>
<script id="data" type="application/json">${data}</script>
<script>${pageScript}</script>
</body>
</html>
`;
}

function compareRows(left: ProcessRow, right: ProcessRow): number {
  return left.dataCenter.localeCompare(right.dataCenter) || left.host.localeCompare(right.host);
}

/** Encodes an event as an array, which keeps a page with thousands of events smaller than objects would. */
function buildCompactEvent(event: TimelineEvent): unknown[] {
  const { time, host, kind, requestId = '', service = '', operation = '', priority = '', data = {} } = event;
  return [time.wallMs, time.counter, host, kind, requestId, service, operation, priority, data];
}

/** Escapes `<`, so that a closing tag in a text from the fleet cannot end the script element. */
function encodeJson(value: unknown): string {
  return JSON.stringify(value).replaceAll('<', '\\u003c');
}
