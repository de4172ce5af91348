import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Gauge, Registry } from 'prom-client';
import type { DurationSample } from '../control/requests/context.js';
import { readRunLimit } from '../control/requests/localLoad.js';
import type { RequestBoard } from '../control/requests/sections.js';
import { addGauge } from './addGauge.js';
import type { EvictionCounts } from '../control/requests/clientBudget.js';
import { createListenerMetrics } from './listenerMetrics.js';
import { addQuotaMetrics } from './quotaMetrics.js';

export interface DurationMetrics {
  record(sample: DurationSample): void;
  /** Adds a gauge with the quantiles to a registry. */
  register(registry: Registry): void;
}

export interface RequestMetrics {
  /** Adds what the connections of a listener occupy, under its name. */
  addListener(listener: string, counts: EvictionCounts): void;
  /** Renders all metrics in the Prometheus text format. */
  renderText(): Promise<string>;
}

const QUANTILES = [0.5, 0.9, 0.99, 0.999];
const MAX_DURATION_MS = 600_000;

/** Creates the latency histograms of a node, one per route and place (`entry` or `target`). */
export function createDurationMetrics(): DurationMetrics {
  const histograms = new Map<string, { place: string; route: string; histogram: Histogram }>();
  return {
    record: ({ place, route, durationMs }) => {
      const key = `${place} ${route}`;
      let entry = histograms.get(key);
      if (entry === undefined) {
        const histogram = build({ highestTrackableValue: MAX_DURATION_MS, numberOfSignificantValueDigits: 2 });
        histograms.set(key, (entry = { place, route, histogram }));
      }
      entry.histogram.recordValue(Math.min(MAX_DURATION_MS, Math.max(1, Math.round(durationMs))));
    },
    register: (registry) => {
      new Gauge({
        name: 'hemlock_duration_ms',
        help: 'Duration of answered requests since the start of the process, by place (entry or target), route and quantile (ms)',
        labelNames: ['place', 'route', 'quantile'] as const,
        registers: [registry],
        collect() {
          for (const { place, route, histogram } of histograms.values()) {
            for (const quantile of QUANTILES) {
              this.set({ place, route, quantile: String(quantile) }, histogram.getValueAtPercentile(quantile * 100));
            }
          }
        },
      });
    },
  };
}

/** Creates the metrics of a request node, computed from its blackboard on each scrape. */
export function createRequestMetrics(
  board: RequestBoard,
  durations: DurationMetrics,
  clients?: EvictionCounts,
): RequestMetrics {
  const registry = new Registry();
  const listeners = createListenerMetrics();
  listeners.register(registry);
  if (clients !== undefined) addClientMetrics(registry, clients);
  durations.register(registry);
  const addResultGauge = (name: string, help: string, read: () => ReadonlyMap<string, number>): void => {
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
  addResultGauge(
    'hemlock_requests',
    'Requests that entered here and ended, by result',
    () => board.read('entries').counts,
  );
  const addShareGauge = (name: string, help: string, label: string, read: () => Iterable<[string, number]>): void => {
    new Gauge({
      name,
      help,
      labelNames: [label],
      registers: [registry],
      collect() {
        this.reset();
        for (const [key, share] of read()) this.set({ [label]: key }, share);
      },
    });
  };
  addShareGauge(
    'hemlock_admitted_share',
    'Share of the requests that is admitted, by route; absent for routes that are not limited',
    'route',
    () => board.read('admission').fractions,
  );
  addShareGauge(
    'hemlock_served_share',
    'Share of the requests to a service that get a result, as used for admission',
    'service',
    () => [...board.read('admission').chances].map(([service, { served, succeeded }]) => [service, served * succeeded]),
  );
  new Gauge({
    name: 'hemlock_faults',
    help: 'Faults in input from outside, or in its handling, by fault',
    labelNames: ['fault'] as const,
    registers: [registry],
    collect() {
      for (const [fault, count] of board.read('decisions').faults) this.set({ fault }, count);
    },
  });
  addResultGauge('hemlock_runs', 'Requests at the local target that ended, by result', () => board.read('runs').counts);
  addGauge(
    registry,
    'hemlock_requests_open',
    'Requests that entered here and are open',
    () => board.read('entries').open,
  );
  addGauge(registry, 'hemlock_runs_running', 'Requests at the local target', () => board.read('runs').running.size);
  addGauge(
    registry,
    'hemlock_runs_queued',
    'Requests that wait for the local target',
    () => board.read('runs').queue.length,
  );
  addGauge(registry, 'hemlock_target_limit', 'Maximum number of concurrent requests at the local target', () =>
    readRunLimit(board),
  );
  addGauge(
    registry,
    'hemlock_run_duration_ms',
    'Smoothed duration of runs (ms)',
    () => board.read('runs').duration.meanMs,
  );
  addGauge(
    registry,
    'hemlock_configuration_version',
    'Version of the active configuration',
    () => board.read('routes').version,
  );
  addGauge(registry, 'hemlock_members', 'Other known nodes', () => board.read('members').byHost.size);
  addGauge(
    registry,
    'hemlock_store_era',
    'Era of the store, which rises when it comes back from an older copy; 0 if it names none',
    () => board.read('store').era ?? 0,
  );
  addGauge(registry, 'hemlock_log_lines_dropped', 'Log lines that were dropped', () => board.read('decisions').dropped);
  let hasQuotas = false;
  return {
    addListener: listeners.add,
    renderText: () => {
      if (!hasQuotas && board.read('quotas').isActive) {
        hasQuotas = true;
        addQuotaMetrics(registry, board);
      }
      return registry.metrics();
    },
  };
}

function addClientMetrics(registry: Registry, clients: EvictionCounts): void {
  addGauge(registry, 'hemlock_client_connections', 'Open connections of clients', () => clients.connections.size);
  addGauge(registry, 'hemlock_client_bytes', 'Bytes that all clients together hold', () => clients.heldBytes);
  new Gauge({
    name: 'hemlock_clients_closed',
    help: 'Connections that were closed for the sake of others, by reason',
    labelNames: ['reason'] as const,
    registers: [registry],
    collect() {
      for (const [reason, count] of clients.closedCounts) this.set({ reason }, count);
    },
  });
}
