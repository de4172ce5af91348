import { Gauge } from 'prom-client';
import type { Registry } from 'prom-client';

/** Adds a gauge whose value is read on each scrape. */
export function addGauge(registry: Registry, name: string, help: string, read: () => number): void {
  new Gauge({
    name,
    help,
    registers: [registry],
    collect() {
      this.set(read());
    },
  });
}
