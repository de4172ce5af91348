import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { ServiceConfiguration } from '../schema/serviceConfiguration.js';
import type { FleetHostOptions } from '../standins/fleet.js';
import type { LoadSettings } from '../standins/loadSettings.js';

/** Services of the Kaltfracht sample in the order in which they call each other. */
export const SERVICES = ['order-intake', 'contracts', 'scheduling', 'depot-stock'];
const DATA_CENTERS = ['north', 'south'];

const DEPOT_SLOTS = 4;
const DEPOT_MEAN_MS = 60;
const OTHER_SLOTS = 64;
const OTHER_MEAN_MS = 2;
/** Capacity of all depot-stock targets together; they are the bottleneck. */
export const CAPACITY_PER_SECOND = (DATA_CENTERS.length * DEPOT_SLOTS * 1000) / DEPOT_MEAN_MS;
/** Steady load as a share of the capacity. */
const STEADY_LOAD_SHARE = 0.6;
/** Load surge to three times the capacity; `factor` applies to the steady rate. */
export const SURGE = { factor: 3 / STEADY_LOAD_SHARE, fromS: 4, toS: 9 };
const DURATION_S = 15;

/** Operations by priority (`slot` is a priority, too), one for each service in the order of `SERVICES`. */
const operationNames = {
  order: ['placeOrder', 'reserveTerms', 'reserveSlot', 'reserveStock'],
  slot: ['checkOrder', 'lookUpTerms', 'findSlots', 'checkStock'],
  browse: ['browse', 'browse', 'browse', 'browse'],
};

/** Returns one host per service in each data centre. */
export function buildHosts(): FleetHostOptions[] {
  return DATA_CENTERS.flatMap((dataCenter, dataCenterIndex) =>
    SERVICES.map((service, index) => ({
      host: `${dataCenter}-${service}`,
      dataCenter,
      settings: { logLevel: 'warn' as const },
      target: {
        service,
        slots: service === 'depot-stock' ? DEPOT_SLOTS : OTHER_SLOTS,
        operations: buildOperations(service, index),
        seed: dataCenterIndex * SERVICES.length + index + 1,
      },
    })),
  );
}

function buildOperations(service: string, index: number) {
  const next = SERVICES[index + 1];
  const meanMs = service === 'depot-stock' ? DEPOT_MEAN_MS : OTHER_MEAN_MS;
  const entries = Object.values(operationNames).map((names) => {
    const onward = next === undefined ? [] : [{ service: next, operation: names[index + 1] ?? '' }];
    return [names[index] ?? '', { meanMs, distribution: 'exponential' as const, onward }] as const;
  });
  return Object.fromEntries(entries);
}

/** Writes the sample documents, with concurrency hints that match the slots of the targets; returns the file paths. */
export function writeDocuments(folder: string): string[] {
  mkdirSync(folder, { recursive: true });
  return SERVICES.map((service) => {
    const text = readFileSync(join('examples/kaltfracht', `${service}.json`), 'utf8');
    const document = JSON.parse(text) as ServiceConfiguration;
    document.concurrencyHint = service === 'depot-stock' ? DEPOT_SLOTS : OTHER_SLOTS;
    const path = join(folder, `${service}.json`);
    writeFileSync(path, `${JSON.stringify(document, null, 2)}\n`);
    return path;
  });
}

/** Returns the load of the demo: a surge to three times the capacity, from callers that retry immediately. */
export function buildLoadSettings(seed: number): LoadSettings {
  const service = 'order-intake';
  return {
    nodes: [],
    ratePerSecond: STEADY_LOAD_SHARE * CAPACITY_PER_SECOND,
    durationS: DURATION_S,
    shape: { kind: 'step', ...SURGE },
    mix: [
      { service, operation: 'placeOrder', priority: 'order', idempotent: false, share: 0.2, deadlineMs: 2000 },
      { service, operation: 'checkOrder', priority: 'slot', idempotent: true, share: 0.3, deadlineMs: 1500 },
      { service, operation: 'browse', priority: 'browse', idempotent: true, share: 0.5, deadlineMs: 1500 },
    ],
    callers: 50,
    maxResends: 2,
    isRetryingHard: true,
    seed,
  };
}
