import { computeRecoveryTime } from '../standins/load.js';
import type { LoadGroup, LoadReport } from '../standins/loadSettings.js';

const FIRST_COLUMN_WIDTH = 30;
const COLUMN_WIDTH = 10;
const HEADINGS = ['offered', 'completed', 'refused', 'failed', 'p50 ms', 'p99 ms', 'resends'];

/** Formats the reports of the same load with and without hemlockstack as one table. */
export function formatTable(reports: Record<string, LoadReport>, surge: { fromS: number; toS: number }): string {
  const names = Object.keys(reports);
  const lines = [formatRow('', HEADINGS)];
  for (const { service, priority } of Object.values(reports)[0]?.groups ?? []) {
    lines.push(`${service}, priority ${priority}`);
    for (const name of names) {
      const group = reports[name]?.groups.find((other) => other.service === service && other.priority === priority);
      if (group !== undefined) lines.push(formatRow(`  ${name}`, formatGroup(group)));
    }
  }
  lines.push('');
  for (const name of names) {
    const report = reports[name];
    if (report !== undefined) lines.push(formatSummary(name, report, surge));
  }
  return lines.join('\n');
}

function formatGroup(group: LoadGroup): string[] {
  const counts = [group.offered, group.completed, group.refused, group.failed].map(String);
  const times = group.completed === 0 ? ['-', '-'] : [group.p50Ms.toFixed(0), group.p99Ms.toFixed(0)];
  return [...counts, ...times, group.resendsPerRequest.toFixed(2)];
}

function formatSummary(name: string, report: LoadReport, { fromS, toS }: { fromS: number; toS: number }): string {
  const during = report.intervals.filter(({ atS }) => atS >= fromS && atS < toS);
  const goodput = during.reduce((sum, interval) => sum + interval.goodputPerSecond, 0) / Math.max(1, during.length);
  const recoveryS = computeRecoveryTime(report, toS);
  const recovery =
    recoveryS === undefined ? 'did not recover within the run' : `recovered ${recoveryS.toFixed(1)} s after the surge`;
  const resends = report.resendsPerRequest.toFixed(2);
  return `${name}: ${goodput.toFixed(0)} completed requests/s during the surge, ${recovery}, ${resends} resends per request`;
}

function formatRow(first: string, cells: readonly string[]): string {
  return first.padEnd(FIRST_COLUMN_WIDTH) + cells.map((cell) => cell.padStart(COLUMN_WIDTH)).join('');
}
