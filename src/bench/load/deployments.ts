import { readFileSync } from 'node:fs';
import type { ServiceConfiguration } from '../../schema/serviceConfiguration.js';
import type { FakeHostOptions } from '../fakes/fakeFleet.js';

/** One kind of external request, with its operation at each depth of the chain. */
export interface RequestKind {
  priority: string;
  /** Operation names, from the entry service to the last one. */
  operations: readonly string[];
}

/** A deployment of the design page, simplified to a chain of services whose last one is the bottleneck. */
export interface Deployment {
  name: string;
  services: readonly string[];
  kinds: readonly RequestKind[];
  /** Slots of one target, per service. */
  slots: readonly number[];
  /** Maximum connections of one target, per service. */
  connections: readonly number[];
  /** Mean own time of a call (ms), per service. */
  meanMs: readonly number[];
  documents: readonly ServiceConfiguration[];
  /** One-way delay between a caller and a node (ms). */
  clientDelayMs: number;
}

export const DATA_CENTERS = ['d1', 'd2', 'd3', 'd4'] as const;

/** Longer than the declared costs, to limit the request rate to one that the simulation can run in reasonable time. */
const BOTTLENECK_MEAN_MS = 50;
const OTHER_MEAN_MS = 10;

function readDocument(deployment: string, service: string): ServiceConfiguration {
  const text = readFileSync(`examples/${deployment}/${service}.json`, 'utf8');
  return JSON.parse(text) as ServiceConfiguration;
}

function createDeployment(
  name: string,
  services: readonly string[],
  kinds: readonly RequestKind[],
  sizes: { other: [number, number]; bottleneck: [number, number]; clientDelayMs: number },
): Deployment {
  const last = services.length - 1;
  return {
    name,
    services,
    kinds,
    slots: services.map((_, index) => (index === last ? sizes.bottleneck[0] : sizes.other[0])),
    connections: services.map((_, index) => (index === last ? sizes.bottleneck[1] : sizes.other[1])),
    meanMs: services.map((_, index) => (index === last ? BOTTLENECK_MEAN_MS : OTHER_MEAN_MS)),
    documents: services.map((service) => readDocument(name, service)),
    clientDelayMs: sizes.clientDelayMs,
  };
}

/** Creates Kaltfracht: order intake, contracts, scheduling, and depot stock as the bottleneck. */
export function createKaltfracht(): Deployment {
  const services = ['order-intake', 'contracts', 'scheduling', 'depot-stock'];
  const kinds = [
    { priority: 'order', operations: ['placeOrder', 'reserveTerms', 'reserveSlot', 'reserveStock'] },
    { priority: 'slot', operations: ['checkOrder', 'lookUpTerms', 'findSlots', 'checkStock'] },
    { priority: 'browse', operations: ['browse', 'browse', 'browse', 'browse'] },
  ];
  return createDeployment('kaltfracht', services, kinds, {
    other: [110, 760],
    bottleneck: [15, 190],
    clientDelayMs: 1,
  });
}

/** Creates Derwent: queue board, repair history, parts ordering, and café loaner as the bottleneck. */
export function createDerwent(): Deployment {
  const services = ['queue-board', 'repair-history', 'parts-ordering', 'cafe-loaner'];
  const kinds = [
    { priority: 'loaner', operations: ['askLoaner', 'askLoaner', 'askLoaner', 'checkLoaner'] },
    { priority: 'lookup', operations: ['checkPlace', 'lookUpJob', 'lookUpParts', 'browse'] },
  ];
  return createDeployment('derwent', services, kinds, { other: [90, 630], bottleneck: [10, 160], clientDelayMs: 8 });
}

/** Creates Kaltfracht with its other services repeated before the bottleneck, up to the given depth. */
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

/** Computes the whole requests per second that the bottleneck serves with all slots busy. */
export function computeCapacity(deployment: Deployment): number {
  const rates = deployment.slots.map(
    (slots, index) => (slots * DATA_CENTERS.length * 1000) / (deployment.meanMs[index] ?? 1),
  );
  return Math.min(...rates);
}

/** Describes one host with a target per service and data centre. */
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
