import { setTimeout as wait } from 'node:timers/promises';
import { checkPromises } from './checkPromises.js';
import type { SoakBounds } from './checkPromises.js';
import { CALM_END_MS, createFaultPlan } from './faultPlan.js';
import { soakRoutes } from './soakTypes.js';
import type { PlannedFault, SoakFleet, SoakManner, SoakRecords, SoakStoreFault, Violation } from './soakTypes.js';

export interface SoakOptions {
  seed: number;
  durationMs: number;
  bounds: Omit<SoakBounds, 'endMs' | 'calmEndMs'>;
  /** Requests per second of all clients together. */
  perSecond: number;
  startFleet: () => Promise<SoakFleet>;
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
  storeLosesAnswers: 'losesAnswers',
  storeForgets: 'forgets',
};
const manners: Partial<Record<PlannedFault['kind'], SoakManner>> = {
  targetFails: 'fails',
  targetSilent: 'silent',
  targetTruncates: 'truncates',
  targetGarbles: 'garbles',
  targetLosesAnswers: 'losesAnswer',
  targetRejects: 'rejects',
};
/** How often each node is asked which version it has in force (ms). */
const VERSION_PERIOD_MS = 400;
const TICK_MS = 10;

/**
 * Runs one soak: real processes under load while faults of a seeded plan overlap; then checks the promises.
 *
 * @example
 * const report = await runSoak({ seed: 7, durationMs: 30_000, bounds, perSecond: 150, startFleet });
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, durationMs, bounds, perSecond } = options;
  const fleet = await options.startFleet();
  const names = fleet.hosts.map(({ name }) => name);
  const faults = createFaultPlan({ seed, hosts: names, durationMs });
  const records: SoakRecords = { requests: [], arrivals: [], leaves: [], disturbances: [] };
  const startMs = performance.now();
  const published = { version: 1, atMs: startMs };
  /** Hosts whose process is being stopped, killed or frozen: one such fault at a time per host. */
  const busy = new Set<string>();
  const open = new Set<Promise<void>>();

  const sendOne = async (
    host: string,
    route: { name: string; service: string; isIdempotent: boolean },
  ): Promise<void> => {
    const requestId = `s${seed}.${records.requests.length}.${Math.round(performance.now())}.${open.size}`;
    const sentAtMs = performance.now();
    const { version, atMs } = published;
    const { status, body } = await fleet.send(host, {
      requestId,
      route: route.name === 'versioned' ? `v${version}` : route.name,
    });
    const { service, isIdempotent } = route;
    const seen = { publishedVersion: version, publishedAtMs: atMs, sentAtMs, endedAtMs: performance.now() };
    // A connection that is refused by a process that is gone was never a request.
    if (status === -1) return;
    records.requests.push({ requestId, route: route.name, service, isIdempotent, host, status, body, ...seen });
  };
  const watchWork = (work: Promise<void>): void => {
    open.add(work);
    void work.finally(() => open.delete(work));
  };
  const runFault = async ({ kind, host, forMs }: PlannedFault): Promise<void> => {
    const fromMs = performance.now();
    const storeFault = storeFaults[kind];
    const manner = manners[kind];
    if (storeFault !== undefined) {
      fleet.setStore(storeFault);
      await wait(forMs);
      fleet.setStore('none');
    } else if (manner !== undefined) {
      fleet.setTarget(host, manner);
      await wait(forMs);
      fleet.setTarget(host, 'good');
    } else if (kind === 'publish') {
      published.version++;
      published.atMs = performance.now();
      fleet.publish(published.version);
    } else if (!busy.has(host)) {
      busy.add(host);
      await runHostFault(kind, host, forMs);
      busy.delete(host);
    }
    records.disturbances.push({ kind, host, fromMs, untilMs: performance.now() });
  };
  const runHostFault = async (kind: PlannedFault['kind'], host: string, forMs: number): Promise<void> => {
    if (kind === 'replaceTarget') {
      const leave = await fleet.replaceTarget(host);
      if (leave !== undefined) records.leaves.push(leave);
    } else if (kind === 'freezeNode') {
      fleet.freezeNode(host, true);
      await wait(forMs);
      fleet.freezeNode(host, false);
    } else {
      await fleet.endNode(host, kind === 'stopNode');
      await fleet.startNode(host);
    }
  };
  const timers = faults.map((fault) =>
    setTimeout(() => {
      watchWork(runFault(fault));
    }, fault.atMs),
  );
  let sent = 0;
  let askedAtMs = startMs;
  while (performance.now() - startMs < durationMs) {
    const nowMs = performance.now();
    for (const due = ((nowMs - startMs) / 1000) * perSecond; sent < due; sent++) {
      const isFirst = (sent * 0.618) % 1 < soakRoutes[0].share;
      watchWork(sendOne(names[sent % names.length] ?? '', isFirst ? soakRoutes[0] : soakRoutes[1]));
    }
    if (nowMs - askedAtMs > VERSION_PERIOD_MS) {
      askedAtMs = nowMs;
      for (const name of names) watchWork(sendOne(name, { name: 'versioned', service: 'stock', isIdempotent: true }));
    }
    await wait(TICK_MS);
  }
  const endMs = performance.now();
  timers.forEach(clearTimeout);
  await Promise.all(open);
  records.arrivals = fleet.listArrivals();
  await fleet.stop();
  const violations = checkPromises(records, { ...bounds, endMs, calmEndMs: CALM_END_MS });
  const served = records.requests.filter(({ status }) => status === 200).length;
  return { seed, faults, requests: records.requests.length, served, violations };
}
