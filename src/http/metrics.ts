import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';
import type { Node } from '../node/createNode.js';
import type { EvictionCounts } from '../control/requests/clientBudget.js';
import { addGauge } from './addGauge.js';
import { createListenerMetrics } from './listenerMetrics.js';

const QUANTILES = [50, 90, 99, 99.9];
const MAX_DURATION_MS = 600_000;

type TrafficCounts = ReadonlyMap<string, { frames: number; bytes: number }>;

/** Counts of the messages between nodes by direction and frame type. */
export interface PeerTraffic {
  sent: TrafficCounts;
  received: TrafficCounts;
}

export interface MetricsRegistry {
  /** Adds what the connections of a listener occupy, under its name. */
  addListener(listener: string, counts: EvictionCounts): void;
  /** Renders all metrics in the Prometheus text format. */
  renderText(): Promise<string>;
}

/** Creates the metrics of a node, computed from its blackboard on each scrape. */
export function createMetrics(node: Node, options: { traffic?: PeerTraffic } = {}): MetricsRegistry {
  const registry = new Registry();
  const { board } = node;
  const ring = board.read('samples').ring;
  const histograms = new Map<string, { service: string; priority: string; role: string; histogram: Histogram }>();
  let cursor = ring.end;

  const attempts = new Counter({
    name: 'hemlock_attempts_total',
    help: 'Finished attempts by role, service, priority and result',
    labelNames: ['role', 'service', 'priority', 'result'] as const,
    registers: [registry],
  });
  const quantile = new Gauge({
    name: 'hemlock_attempt_duration_ms',
    help: 'Duration of answered attempts since the start of the process, by quantile (ms)',
    labelNames: ['role', 'service', 'priority', 'quantile'] as const,
    registers: [registry],
  });
  addGauge(
    registry,
    'hemlock_limit_concurrency',
    'Concurrency limit of the local target',
    () => board.read('limits').concurrency,
  );
  addGauge(
    registry,
    'hemlock_calls_in_flight',
    'Calls running at the local target',
    () => board.read('calls').inFlight,
  );
  addGauge(registry, 'hemlock_calls_queued', 'Calls waiting for the local target', () => board.read('queue').length);
  addGauge(
    registry,
    'hemlock_calls_dispatched',
    'Calls that this node dispatched and that have not ended',
    () => board.read('calls').dispatched.size,
  );
  addGauge(registry, 'hemlock_members', 'Known nodes', () => board.read('members').byId.size);
  addGauge(
    registry,
    'hemlock_configuration_offset',
    'Log offset of the applied configuration',
    () => board.read('configuration').appliedOffset,
  );

  createTrafficCounters(registry, options.traffic);
  const listeners = createListenerMetrics();
  listeners.register(registry);

  const recordSamples = (): void => {
    for (const sample of ring.listFrom(cursor)) {
      const { role, service, priority, result } = sample;
      attempts.inc({ role, service, priority, result: result === 'answered' ? result : sample.failureKind });
      if (result !== 'answered') continue;
      const key = `${role} ${service} ${priority}`;
      let entry = histograms.get(key);
      if (entry === undefined) {
        const histogram = build({
          lowestDiscernibleValue: 1,
          highestTrackableValue: MAX_DURATION_MS,
          numberOfSignificantValueDigits: 2,
        });
        entry = { service, priority, role, histogram };
        histograms.set(key, entry);
      }
      entry.histogram.recordValue(Math.min(MAX_DURATION_MS, Math.max(1, Math.round(sample.totalTimeMs))));
    }
    cursor = ring.end;
  };
  // Under load the sample ring holds less than one scrape interval, so samples are also recorded between scrapes.
  const timer = setInterval(recordSamples, 500);
  timer.unref();
  return {
    addListener: listeners.add,
    renderText: () => {
      recordSamples();
      for (const { service, priority, role, histogram } of histograms.values()) {
        for (const percentile of QUANTILES) {
          quantile.set(
            { service, priority, role, quantile: String(percentile / 100) },
            histogram.getValueAtPercentile(percentile),
          );
        }
      }
      return registry.metrics();
    },
  };
}

function createTrafficCounters(registry: Registry, traffic: PeerTraffic | undefined): void {
  if (traffic === undefined) return;
  for (const unit of ['bytes', 'frames'] as const) {
    new Counter({
      name: `hemlock_peer_${unit}_total`,
      help: `Messages to and from other nodes by direction and type (${unit}; without TLS, TCP and IP)`,
      labelNames: ['direction', 'type'] as const,
      registers: [registry],
      collect() {
        this.reset();
        for (const direction of ['sent', 'received'] as const)
          for (const [type, count] of traffic[direction]) this.inc({ direction, type }, count[unit]);
      },
    });
  }
}
