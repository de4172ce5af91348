import { Gauge, Registry } from 'prom-client';
import type { RequestBoard } from '../control/requests/sections.js';

export interface RequestMetrics {
  /** All metrics in the Prometheus text format. */
  renderText(): Promise<string>;
}

/** Creates the metrics of a request node, computed from its blackboard when they are asked for. */
export function createRequestMetrics(board: RequestBoard): RequestMetrics {
  const registry = new Registry();
  const createGauge = (name: string, help: string, read: () => number): void => {
    new Gauge({
      name,
      help,
      registers: [registry],
      collect() {
        this.set(read());
      },
    });
  };
  const createCounts = (name: string, help: string, read: () => ReadonlyMap<string, number>): void => {
    new Gauge({
      name,
      help,
      labelNames: ['result'] as const,
      registers: [registry],
      collect() {
        for (const [result, count] of read()) this.set({ result }, count);
      },
    });
  };
  createCounts(
    'hemlock_requests',
    'Requests that entered here and ended, by result',
    () => board.read('entries').counts,
  );
  createCounts('hemlock_runs', 'Requests at the local target that ended, by result', () => board.read('runs').counts);
  createGauge('hemlock_requests_open', 'Requests that entered here and are open', () => board.read('entries').open);
  createGauge('hemlock_runs_running', 'Requests at the local target', () => board.read('runs').running.size);
  createGauge('hemlock_runs_queued', 'Requests that wait for the local target', () => board.read('runs').queue.length);
  createGauge('hemlock_run_duration_ms', 'Smoothed duration of runs (ms)', () => board.read('runs').duration.meanMs);
  createGauge('hemlock_configuration_version', 'Version in force', () => board.read('routes').version);
  createGauge('hemlock_members', 'Other nodes known', () => board.read('members').byHost.size);
  createGauge('hemlock_log_lines_dropped', 'Lines not written', () => board.read('decisions').dropped);
  return { renderText: () => registry.metrics() };
}
