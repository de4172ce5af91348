import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { LoadStatistics } from './loadStatistics.js';

export interface PlotLine {
  label: string;
  /** One value per `stepMs`. */
  values: readonly number[];
}

export interface PlotOptions {
  title: string;
  unit: string;
  stepMs: number;
  lines: readonly PlotLine[];
}

const WIDTH = 800;
const HEIGHT = 320;
const MARGIN = 48;
const COLORS = ['#1f6f50', '#b0413e', '#2f5d9b', '#b98a1d', '#6b4c8a', '#3f8f8f', '#7a7a7a', '#c46a9a', '#4a4a1f'];

/** Renders lines over time as an SVG image. */
export function renderPlot({ title, unit, stepMs, lines }: PlotOptions): string {
  const steps = Math.max(2, ...lines.map(({ values }) => values.length));
  const maxValue = Math.max(1, ...lines.flatMap(({ values }) => values));
  const computeX = (index: number): number => MARGIN + (index / (steps - 1)) * (WIDTH - 2 * MARGIN);
  const computeY = (value: number): number => HEIGHT - MARGIN - (value / maxValue) * (HEIGHT - 2 * MARGIN);
  const renderedLines = lines.map(({ label, values }, index) => {
    const color = COLORS[index % COLORS.length] ?? '#000';
    const points = values.map((value, at) => `${computeX(at).toFixed(1)},${computeY(value).toFixed(1)}`).join(' ');
    const legendY = 16 + 14 * index;
    return [
      `<polyline fill="none" stroke="${color}" stroke-width="1.4" points="${points}"/>`,
      `<text x="${WIDTH - 230}" y="${legendY}" font-size="11" fill="${color}">${label}</text>`,
    ].join('');
  });
  const axis = `<path d="M${MARGIN},${MARGIN}V${HEIGHT - MARGIN}H${WIDTH - MARGIN}" fill="none" stroke="#444"/>`;
  const labels = [
    `<text x="${MARGIN}" y="20" font-size="14">${title}</text>`,
    `<text x="4" y="${MARGIN}" font-size="11">${maxValue.toFixed(0)} ${unit}</text>`,
    `<text x="${WIDTH - MARGIN}" y="${HEIGHT - 16}" font-size="11">${((steps * stepMs) / 1000).toFixed(0)} s</text>`,
  ];
  return `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}" font-family="sans-serif">${axis}${labels.join('')}${renderedLines.join('')}</svg>\n`;
}

const PLOT_STEP_MS = 500;

/** Writes plots of goodput and latency over time, with one line per variant and priority. */
export function writePlots(folder: string, name: string, runs: ReadonlyMap<string, LoadStatistics>): void {
  const goodput: PlotLine[] = [];
  const latency: PlotLine[] = [];
  for (const [variant, statistics] of runs) {
    for (const [priority, { buckets }] of statistics.byPriority) {
      const label = `${variant}: ${priority}`;
      const size = PLOT_STEP_MS / statistics.bucketMs;
      const count = Math.ceil(buckets.length / size);
      const groups = Array.from({ length: count }, (_, index) => buckets.slice(index * size, (index + 1) * size));
      const sums = groups.map((group) => ({
        completed: group.reduce((sum, bucket) => sum + bucket.completed, 0),
        latencyMs: group.reduce((sum, bucket) => sum + bucket.latencySumMs, 0),
      }));
      goodput.push({ label, values: sums.map(({ completed }) => (completed * 1000) / PLOT_STEP_MS) });
      latency.push({ label, values: sums.map(({ completed, latencyMs }) => latencyMs / Math.max(1, completed)) });
    }
  }
  const shared = { stepMs: PLOT_STEP_MS };
  const plots = [
    { file: 'goodput', title: `${name}: whole requests within deadline`, unit: '/s', lines: goodput },
    { file: 'latency', title: `${name}: mean latency of completed requests`, unit: 'ms', lines: latency },
  ];
  for (const { file, ...plot } of plots)
    writeFileSync(join(folder, `${name}-${file}.svg`), renderPlot({ ...shared, ...plot }));
}
