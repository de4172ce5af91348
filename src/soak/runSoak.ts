import { setTimeout as wait } from 'node:timers/promises';
import { checkInvariants } from './checkInvariants.js';
import type { SoakBounds } from './checkInvariants.js';
import { RECOVERY_MS, createFaultPlan } from './faultPlan.js';
import type { FaultPlanOptions } from './faultPlan.js';
import { scenarioSchema, senderFaultSchema, soakRoutes } from './soakTypes.js';
import type {
  FaultKind,
  PlannedFault,
  SoakFleet,
  SoakRecords,
  SoakScenario,
  SoakSenderFault,
  SoakStoreFault,
  SoakTargetFault,
  Violation,
} from './soakTypes.js';

export interface SoakOptions {
  seed: number;
  durationMs: number;
  bounds: Omit<SoakBounds, 'endMs' | 'recoveryMs'>;
  /** Requests per second of all clients. */
  perSecond: number;
  startFleet: () => Promise<SoakFleet>;
  /** Plans the faults. Default: `createFaultPlan`. */
  planFaults?: (options: FaultPlanOptions) => PlannedFault[];
}

export interface SoakReport {
  seed: number;
  faults: PlannedFault[];
  requests: number;
  served: number;
  violations: Violation[];
}

const storeFaults: Partial<Record<PlannedFault['kind'], SoakStoreFault>> = {
  storeRefuses: 'refuses',
  storeSlow: 'slow',
  storeSilent: 'silent',
  storeGoesSilent: 'goesSilent',
  storeLosesAnswers: 'losesAnswers',
  storeForgets: 'compacts',
  storeFromCopy: 'fromCopy',
};
const targetFaults: Partial<Record<PlannedFault['kind'], SoakTargetFault>> = {
  targetFails: 'fails',
  targetSilent: 'silent',
  targetTruncates: 'truncates',
  targetGarbles: 'garbles',
  targetLosesAnswers: 'losesAnswer',
  targetRejects: 'rejects',
};
const scenarioKinds: ReadonlySet<string> = new Set(scenarioSchema.anyOf.map((literal) => literal.const));
const senderFaults: ReadonlySet<string> = new Set(senderFaultSchema.anyOf.map((literal) => literal.const));
/** Interval at which each node is checked for the version of its configuration. */
const VERSION_CHECK_INTERVAL_MS = 400;
const LOOP_INTERVAL_MS = 10;

/**
 * Runs one soak test: puts real processes under load, injects the faults of a seeded plan, then checks the invariants.
 *
 * @example
 * const report = await runSoak({ seed: 7, durationMs: 30_000, bounds, perSecond: 150, startFleet });
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, durationMs, bounds, perSecond, planFaults = createFaultPlan } = options;
  const fleet = await options.startFleet();
  const names = fleet.hosts.map(({ name }) => name);
  const faults = planFaults({ seed, hosts: names, durationMs });
  const records: SoakRecords = { requests: [], arrivals: [], drains: [], disturbances: [], crashes: [] };
  const startMs = performance.now();
  const published = { version: 1, atMs: startMs };
  /** Hosts whose node or target is being stopped, frozen or replaced: at most one such fault per host at a time. */
  const hostsWithFault = new Set<string>();
  /** True from the wait of a scenario for the faults of hosts to its end; no others begin then. */
  let isScenarioRunning = false;
  const pending = new Set<Promise<void>>();

  const sendRequest = async (
    host: string,
    route: { name: string; service: string; isIdempotent: boolean },
  ): Promise<void> => {
    const requestId = `s${seed}.${records.requests.length}.${Math.round(performance.now())}.${pending.size}`;
    const sentAtMs = performance.now();
    const { version, atMs } = published;
    const response = await fleet.send(host, {
      requestId,
      route: route.name === 'versioned' ? `v${version}` : route.name,
    });
    const { service, isIdempotent } = route;
    const timing = { publishedVersion: version, publishedAtMs: atMs, sentAtMs, endedAtMs: performance.now() };
    // A refused connection, while the process is down, carries no request and is not recorded.
    if (response.status === -1) return;
    records.requests.push({ requestId, route: route.name, service, isIdempotent, host, ...response, ...timing });
  };
  const trackPending = (work: Promise<void>): void => {
    pending.add(work);
    void work.finally(() => pending.delete(work));
  };
  const runFault = async ({ kind, host, durationMs }: PlannedFault): Promise<void> => {
    const fromMs = performance.now();
    const storeFault = storeFaults[kind];
    const targetFault = targetFaults[kind];
    if (storeFault !== undefined) {
      fleet.setStoreFault(storeFault);
      await wait(durationMs);
      fleet.setStoreFault('none');
    } else if (targetFault !== undefined) {
      fleet.setTargetFault(host, targetFault);
      await wait(durationMs);
      fleet.setTargetFault(host, 'none');
    } else if (isSenderFault(kind)) {
      await fleet.runSenderFault({ kind, host, durationMs });
      return;
    } else if (isScenario(kind)) {
      await runScenario(kind, host);
      return;
    } else if (kind === 'publish') {
      published.version++;
      published.atMs = performance.now();
      fleet.publish(published.version);
    } else if (!isScenarioRunning && !hostsWithFault.has(host)) {
      hostsWithFault.add(host);
      await runHostFault(kind, host, durationMs);
      hostsWithFault.delete(host);
    }
    records.disturbances.push({ kind, host, fromMs, untilMs: performance.now() });
  };
  const runHostFault = async (kind: PlannedFault['kind'], host: string, durationMs: number): Promise<void> => {
    if (kind === 'replaceTarget') {
      const drain = await fleet.replaceTarget(host);
      if (drain !== undefined) records.drains.push(drain);
    } else if (kind === 'freezeNode') {
      fleet.freezeNode(host, true);
      await wait(durationMs);
      fleet.freezeNode(host, false);
    } else {
      await fleet.stopNode(host, kind === 'stopNode');
      await fleet.startNode(host);
    }
  };
  const runScenario = async (kind: SoakScenario, host: string): Promise<void> => {
    if (isScenarioRunning) return;
    isScenarioRunning = true;
    while (hostsWithFault.size > 0) await wait(LOOP_INTERVAL_MS);
    const fromMs = performance.now();
    const { drain, crashes, hasKilledNodes = false } = await fleet.runScenario({ kind, host });
    isScenarioRunning = false;
    if (drain !== undefined) records.drains.push(drain);
    if (crashes !== undefined) records.crashes.push(crashes);
    const untilMs = performance.now();
    for (const name of names)
      records.disturbances.push({ kind: hasKilledNodes ? 'killNode' : kind, host: name, fromMs, untilMs });
  };
  const timers = faults.map((fault) =>
    setTimeout(() => {
      trackPending(runFault(fault));
    }, fault.atMs),
  );
  let sent = 0;
  let versionsCheckedAtMs = startMs;
  while (performance.now() - startMs < durationMs) {
    const nowMs = performance.now();
    for (const dueCount = ((nowMs - startMs) / 1000) * perSecond; sent < dueCount; sent++) {
      // Multiples of 0.618 modulo 1 are spread evenly, so that the routes alternate in the ratio of their shares.
      const isFirstRoute = (sent * 0.618) % 1 < soakRoutes[0].share;
      trackPending(sendRequest(names[sent % names.length] ?? '', isFirstRoute ? soakRoutes[0] : soakRoutes[1]));
    }
    if (nowMs - versionsCheckedAtMs > VERSION_CHECK_INTERVAL_MS) {
      versionsCheckedAtMs = nowMs;
      for (const name of names)
        trackPending(sendRequest(name, { name: 'versioned', service: 'stock', isIdempotent: true }));
    }
    await wait(LOOP_INTERVAL_MS);
  }
  const endMs = performance.now();
  timers.forEach(clearTimeout);
  await Promise.all(pending);
  records.arrivals = fleet.listArrivals();
  await fleet.stop();
  const violations = checkInvariants(records, { ...bounds, endMs, recoveryMs: RECOVERY_MS });
  const served = records.requests.filter(({ status }) => status === 200).length;
  return { seed, faults, requests: records.requests.length, served, violations };
}

function isScenario(kind: FaultKind): kind is SoakScenario {
  return scenarioKinds.has(kind);
}

function isSenderFault(kind: FaultKind): kind is SoakSenderFault {
  return senderFaults.has(kind);
}
