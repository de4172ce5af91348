import { readFileSync } from 'node:fs';
import type { ServiceConfiguration } from '../../schema/serviceConfiguration.js';
import type { FakeHostOptions } from '../fakes/fakeFleet.js';

/** One kind of outside request: its operation at each depth of the chain. */
export interface RequestKind {
  priority: string;
  /** Operation names from the entry service down. */
  operations: readonly string[];
}

/** A deployment as the design page describes it, as a chain of services with the scarce one at its end. */
export interface Deployment {
  name: string;
  services: readonly string[];
  kinds: readonly RequestKind[];
  /** Slots and connections of one target of each service. */
  slots: readonly number[];
  connections: readonly number[];
  /** Mean time of one call at its target without onward calls (ms), per service. */
  meanMs: readonly number[];
  documents: readonly ServiceConfiguration[];
  clientDelayMs: number;
}

export const DATA_CENTERS = ['d1', 'd2', 'd3', 'd4'] as const;

/** Longer than the declared costs, so that the slots of the scarce service give a rate that a fake clock can follow. */
const SCARCE_MEAN_MS = 50;
const AMPLE_MEAN_MS = 10;

function readDocument(deployment: string, service: string): ServiceConfiguration {
  const text = readFileSync(`examples/${deployment}/${service}.json`, 'utf8');
  return JSON.parse(text) as ServiceConfiguration;
}

function createDeployment(
  name: string,
  services: readonly string[],
  kinds: readonly RequestKind[],
  sizes: { ample: [number, number]; scarce: [number, number]; clientDelayMs: number },
): Deployment {
  const last = services.length - 1;
  return {
    name,
    services,
    kinds,
    slots: services.map((_, index) => (index === last ? sizes.scarce[0] : sizes.ample[0])),
    connections: services.map((_, index) => (index === last ? sizes.scarce[1] : sizes.ample[1])),
    meanMs: services.map((_, index) => (index === last ? SCARCE_MEAN_MS : AMPLE_MEAN_MS)),
    documents: services.map((service) => readDocument(name, service)),
    clientDelayMs: sizes.clientDelayMs,
  };
}

/** Kaltfracht: order intake, contracts, scheduling, and the scarce depot stock. */
export function createKaltfracht(): Deployment {
  const services = ['order-intake', 'contracts', 'scheduling', 'depot-stock'];
  const kinds = [
    { priority: 'order', operations: ['placeOrder', 'reserveTerms', 'reserveSlot', 'reserveStock'] },
    { priority: 'slot', operations: ['checkOrder', 'lookUpTerms', 'findSlots', 'checkStock'] },
    { priority: 'browse', operations: ['browse', 'browse', 'browse', 'browse'] },
  ];
  return createDeployment('kaltfracht', services, kinds, { ample: [110, 760], scarce: [15, 190], clientDelayMs: 1 });
}

/** Derwent: queue board, repair history, parts ordering, and the scarce café loaner. */
export function createDerwent(): Deployment {
  const services = ['queue-board', 'repair-history', 'parts-ordering', 'cafe-loaner'];
  const kinds = [
    { priority: 'loaner', operations: ['askLoaner', 'askLoaner', 'askLoaner', 'checkLoaner'] },
    { priority: 'lookup', operations: ['checkPlace', 'lookUpJob', 'lookUpParts', 'browse'] },
  ];
  return createDeployment('derwent', services, kinds, { ample: [90, 630], scarce: [10, 160], clientDelayMs: 8 });
}

/** Kaltfracht with copies of its ample services before the scarce one, to the given depth. */
export function createDeepKaltfracht(depth: number): Deployment {
  const base = createKaltfracht();
  const last = base.services.length - 1;
  const choose = <T>(list: readonly T[], level: number): T => list[level === depth - 1 ? last : level % last] as T;
  const levels = Array.from({ length: depth }, (_, level) => level);
  const services = levels.map((level) => `${choose(base.services, level)}-${level}`);
  return {
    ...base,
    name: `kaltfracht-${depth}`,
    services,
    kinds: base.kinds.map((kind) => ({
      ...kind,
      operations: levels.map((level) => choose(kind.operations, level)),
    })),
    slots: levels.map((level) => choose(base.slots, level)),
    connections: levels.map((level) => choose(base.connections, level)),
    meanMs: levels.map((level) => choose(base.meanMs, level)),
    documents: levels.map((level) => ({ ...choose(base.documents, level), service: services[level] ?? '' })),
  };
}

/** Whole requests per second that the scarce service can serve with all of its slots busy. */
export function computeCapacity(deployment: Deployment): number {
  const rates = deployment.slots.map(
    (slots, index) => (slots * DATA_CENTERS.length * 1000) / (deployment.meanMs[index] ?? 1),
  );
  return Math.min(...rates);
}

/** One target of each service in each data centre. */
export function describeHosts(
  deployment: Deployment,
  target: Pick<NonNullable<FakeHostOptions['target']>, 'onRun' | 'onRelease'>,
): FakeHostOptions[] {
  return DATA_CENTERS.flatMap((dataCenter) =>
    deployment.services.map((service, level) => ({
      host: `${dataCenter}-${service}`,
      dataCenter,
      service,
      target: {
        ...target,
        slots: deployment.slots[level] ?? 1,
        connections: deployment.connections[level] ?? 1,
        operations: Object.fromEntries(
          deployment.kinds.map(({ operations }) => [
            operations[level],
            { meanMs: deployment.meanMs[level] ?? 1, downstream: listDownstream(deployment, operations, level) },
          ]),
        ),
      },
    })),
  );
}

function listDownstream(
  deployment: Deployment,
  operations: readonly string[],
  level: number,
): { service: string; operation: string }[][] {
  const service = deployment.services[level + 1];
  const operation = operations[level + 1];
  return service === undefined || operation === undefined ? [] : [[{ service, operation }]];
}
