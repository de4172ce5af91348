import { Gauge } from 'prom-client';
import type { Registry } from 'prom-client';
import type { EvictionCounts } from '../control/requests/clientBudget.js';

export interface ListenerMetrics {
  /** Adds what the connections of a listener occupy, under its name. */
  add(listener: string, counts: EvictionCounts): void;
  /** Adds the gauges to a registry. */
  register(registry: Registry): void;
}

/** Creates the metrics of the listeners other than the one for requests. */
export function createListenerMetrics(): ListenerMetrics {
  const listeners = new Map<string, EvictionCounts>();
  const addListenerGauge = (registry: Registry, name: string, help: string, read: (counts: EvictionCounts) => number) =>
    new Gauge({
      name,
      help,
      labelNames: ['listener'] as const,
      registers: [registry],
      collect() {
        for (const [listener, counts] of listeners) this.set({ listener }, read(counts));
      },
    });
  return {
    add: (listener, counts) => {
      listeners.set(listener, counts);
    },
    register: (registry) => {
      addListenerGauge(
        registry,
        'hemlock_listener_connections',
        'Open connections of other listeners than that for requests, by listener',
        ({ connections }) => connections.size,
      );
      addListenerGauge(
        registry,
        'hemlock_listener_bytes',
        'Bytes that all connections of a listener together hold, by listener',
        ({ heldBytes }) => heldBytes,
      );
      new Gauge({
        name: 'hemlock_listener_closed',
        help: 'Connections that were closed for the sake of others, by listener and reason',
        labelNames: ['listener', 'reason'] as const,
        registers: [registry],
        collect() {
          for (const [listener, { closedCounts }] of listeners)
            for (const [reason, count] of closedCounts) this.set({ listener, reason }, count);
        },
      });
    },
  };
}
