import type { CallerCall, CallResult } from '../../schema/call.js';
import type { TargetRequest } from '../../schema/call.js';
import type { ServiceConfiguration } from '../../schema/serviceConfiguration.js';
import { createFakeFleet } from './fakeFleet.js';
import type { FakeFleet, FakeFleetOptions, FakeHostOptions } from './fakeFleet.js';

export interface OrderFleetOptions {
  seed: number;
  dataCenters: readonly string[];
  /** Number of hosts per service and data centre. */
  hostsPerService?: number;
  slots?: number;
  retryAllowance?: number;
  quarantineMs?: number;
  meanMs?: number;
  distribution?: 'constant' | 'exponential';
  node?: FakeFleetOptions['node'];
  observeFrame?: FakeFleetOptions['observeFrame'];
  /** Called when an operation starts to run on a host. */
  onRun?: (host: string, request: TargetRequest) => void;
  /** Called when an operation releases its slot, with the time that it occupied the slot (ms). */
  onRelease?: (host: string, request: TargetRequest, occupiedMs: number) => void;
  crashesOn?: (request: TargetRequest) => boolean;
  onCrash?: (host: string, request: TargetRequest) => void;
}

const PRIORITIES = [
  { name: 'order', worth: 100, guaranteedShare: 0.4 },
  { name: 'browse', worth: 1, guaranteedShare: 0.1 },
];
const DEADLINE_MS = 1000;

/** Creates the documents of both services: `shop` calls `stock`; `order` and `reserve` are not idempotent. */
export function createOrderDocuments(options: {
  retryAllowance?: number;
  quarantineMs?: number;
}): ServiceConfiguration[] {
  const { retryAllowance = 2, quarantineMs = 60_000 } = options;
  const createDocument = (service: string, write: string, read: string): ServiceConfiguration => ({
    service,
    operations: {
      [write]: { idempotent: false, priority: 'order', expectedCostMs: 5, deadlineMs: DEADLINE_MS },
      [read]: { idempotent: true, priority: 'browse', expectedCostMs: 5, deadlineMs: DEADLINE_MS },
    },
    priorities: PRIORITIES,
    retryAllowance,
    quarantineMs,
  });
  return [createDocument('shop', 'order', 'browse'), createDocument('stock', 'reserve', 'look')];
}

/** Creates a fleet of two services on a fake clock, for tests of single requests. */
export function createOrderFleet(options: OrderFleetOptions): FakeFleet {
  const { dataCenters, hostsPerService = 2, slots = 4, meanMs = 5, distribution = 'exponential' } = options;
  const createHost = (dataCenter: string, service: string, index: number): FakeHostOptions => {
    const host = `${dataCenter}-${service}${index}`;
    const buildDownstream = (operation: string) => (service === 'shop' ? [[{ service: 'stock', operation }]] : []);
    const [write, read] = service === 'shop' ? ['order', 'browse'] : ['reserve', 'look'];
    return {
      host,
      dataCenter,
      service,
      target: {
        slots,
        operations: {
          [write]: { meanMs, distribution, downstream: buildDownstream('reserve') },
          [read]: { meanMs, distribution, downstream: buildDownstream('look') },
        },
        onRun: (request) => options.onRun?.(host, request),
        onRelease: (request, occupiedMs) => options.onRelease?.(host, request, occupiedMs),
        crashesOn: (request) => {
          const isCrash = options.crashesOn?.(request) ?? false;
          if (isCrash) options.onCrash?.(host, request);
          return isCrash;
        },
      },
    };
  };
  const hosts = dataCenters.flatMap((dataCenter) =>
    ['shop', 'stock'].flatMap((service) =>
      Array.from({ length: hostsPerService }, (_, index) => createHost(dataCenter, service, index + 1)),
    ),
  );
  const { seed, node, observeFrame } = options;
  return createFakeFleet({
    seed,
    hosts,
    documents: createOrderDocuments(options),
    ...(node ? { node } : {}),
    ...(observeFrame ? { observeFrame } : {}),
  });
}

/** Builds a call from an external caller to the order fleet. */
export function buildOrderCall(operation: string, body: string, options: Partial<CallerCall> = {}): CallerCall {
  return {
    service: 'shop',
    operation,
    callerKey: 'caller',
    contentType: 'text/plain',
    body: new TextEncoder().encode(body),
    ...options,
  };
}

/** Formats a result for comparison: status and body of a response, or `kind` and `ran` of a failure. */
export function describeOrderResult(result: CallResult): string {
  if (result.type === 'answer') return `${result.status} ${new TextDecoder().decode(result.body)}`;
  return `${result.failure.kind} ran ${result.failure.ran}`;
}
