import type { Figure } from '../../schema/benchReport.js';
import type { ServiceConfiguration } from '../../schema/serviceConfiguration.js';
import type { FakeHostOptions } from '../fakes/fakeFleet.js';
import { createMemberFleet } from '../fakes/memberFleet.js';
import type { MemberFleet } from '../fakes/memberFleet.js';
import { createFigure } from '../scenario.js';
import type { Scenario } from '../scenario.js';

/** A fleet that the simulation runs in about a minute on one core; figures per node grow with the logarithm of the fleet size. */
const NODES = 190;
const DATA_CENTERS = 19;
const REGIONS = 5;
const SERVICES = 10;
/** Hosts lost and replaced in a day at 1,300 nodes, here within minutes on a smaller fleet. */
const LOST_HOSTS = 8;
const REPLACED_HOSTS = 70;
const CHANGE_INTERVAL_MS = 1000;
const PARTITION_MS = 120_000;
const CONVERGENCE_TIMEOUT_MS = 60_000;
const CALL_INTERVAL_MS = 100;
const STEP_MS = 100;
const MAX_KB_PER_SECOND = 13;
const KB = 1000;

interface CallCounts {
  sent: number;
  succeeded: number;
}

/** Measures convergence, control traffic and failed calls during ordinary changes and large outages. */
export const churn: Scenario = {
  name: 'churn',
  description: 'a compressed day of lost and replaced hosts; outage of a rack and a data centre; partition of regions',
  kind: 'fakeClock',
  run: ({ seed, printProgress }) => Promise.resolve(runChurn(seed, printProgress)),
};

function runChurn(seed: number, printProgress: (text: string) => void): Figure[] {
  const fleet = createMemberFleet({
    seed,
    nodes: NODES,
    dataCenters: DATA_CENTERS,
    regions: REGIONS,
    documents: Array.from({ length: SERVICES }, (_, index) => createDocument(index)),
    describeHost: describeTarget,
  });
  const phases: [string, (fleet: MemberFleet, load: PhaseLoad) => number | undefined][] = [
    ['start of the whole fleet', (_, load) => load.runUntilConverged()],
    ['compressed day', runDay],
    ['rack lost', (_, load) => crashHosts(fleet, load, listRack(fleet))],
    ['data centre lost', (_, load) => crashDataCenter(fleet, load)],
    ['regions parted', runPartitionedRegions],
    ['regions joined', runReconnectedRegions],
  ];
  return phases.flatMap(([name, runPhase]) => {
    const figures = measurePhase(fleet, name, runPhase);
    printProgress(`churn: ${name} done`);
    return figures;
  });
}

interface PhaseLoad {
  /** Advances the clock while calls are sent through random nodes. */
  run(durationMs: number): void;
  /**
   * Advances the clock until all live nodes hold exactly the live nodes as members. Returns the time taken (ms), or
   * undefined after `CONVERGENCE_TIMEOUT_MS`.
   */
  runUntilConverged(): number | undefined;
}

function measurePhase(
  fleet: MemberFleet,
  name: string,
  runPhase: (fleet: MemberFleet, load: PhaseLoad) => number | undefined,
): Figure[] {
  const load: CallCounts = { sent: 0, succeeded: 0 };
  let peakKbPerSecond = 0;
  let secondStartMs = fleet.clock.now();
  const startMs = secondStartMs;
  let totalBytes = 0;
  const endSecond = (): void => {
    const bytes = [...fleet.bytesByHost.values()];
    peakKbPerSecond = Math.max(peakKbPerSecond, ...bytes.map((count) => count / KB));
    totalBytes += bytes.reduce((sum, count) => sum + count, 0);
    fleet.resetTraffic();
    secondStartMs = fleet.clock.now();
  };
  const runStep = (): void => {
    sendCall(fleet, load);
    fleet.clock.advance(STEP_MS);
    if (fleet.clock.now() - secondStartMs >= 1000) endSecond();
  };
  fleet.resetTraffic();
  const convergedMs = runPhase(fleet, {
    run: (durationMs) => {
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) runStep();
    },
    runUntilConverged: () => {
      const fromMs = fleet.clock.now();
      while (fleet.listDivergedHosts().length > 0) {
        if (fleet.clock.now() - fromMs > CONVERGENCE_TIMEOUT_MS) return undefined;
        runStep();
      }
      return fleet.clock.now() - fromMs;
    },
  });
  endSecond();
  // Responses to open calls count in the phase in which the calls were sent.
  fleet.clock.advance(2000);
  const seconds = Math.max(1, (fleet.clock.now() - startMs) / 1000);
  const meanKbPerSecond = totalBytes / KB / seconds / fleet.hosts.size;
  return [
    createFigure(`${name}: time to converge`, (convergedMs ?? Infinity) / 1000, 's', {
      atMost: CONVERGENCE_TIMEOUT_MS / 1000,
    }),
    createFigure(`${name}: control bytes of a node, mean`, meanKbPerSecond, 'KB/s', { atMost: MAX_KB_PER_SECOND }),
    createFigure(`${name}: control bytes of a node in the worst second`, peakKbPerSecond, 'KB/s'),
    createFigure(`${name}: calls lost`, load.sent === 0 ? 0 : 1 - load.succeeded / load.sent, 'share'),
  ];
}

function sendCall(fleet: MemberFleet, load: CallCounts): void {
  const hosts = [...fleet.hosts.values()];
  if (fleet.clock.now() % CALL_INTERVAL_MS > STEP_MS / 2) return;
  for (let count = 0; count < 4; count++) {
    const entry = hosts[Math.floor(fleet.random() * hosts.length)];
    // Nodes without a member of any service are skipped; paused and partitioned nodes are not.
    if (entry === undefined || entry.node.board.read('members').byService.size === 0) continue;
    load.sent++;
    entry.node.handleCallerCall(
      {
        service: formatService(Math.floor(fleet.random() * SERVICES)),
        operation: 'read',
        callerKey: 'c',
        contentType: 'text/plain',
        body: new Uint8Array([count]),
      },
      (result) => {
        if (result.type === 'answer') load.succeeded++;
      },
    );
  }
}

function runDay(fleet: MemberFleet, load: PhaseLoad): number | undefined {
  for (let change = 0; change < REPLACED_HOSTS; change++) {
    const hosts = [...fleet.hosts.values()];
    const host = hosts[Math.floor(fleet.random() * hosts.length)];
    if (host === undefined) continue;
    const isLost = change % Math.floor(REPLACED_HOSTS / LOST_HOSTS) === 0;
    if (!isLost) {
      host.node.stop(() => undefined);
      load.run(CHANGE_INTERVAL_MS);
    }
    fleet.killHost(host.options.host);
    load.run(CHANGE_INTERVAL_MS);
    fleet.startHost(host.options);
  }
  return load.runUntilConverged();
}

function listRack(fleet: MemberFleet): string[] {
  return listDataCenterHosts(fleet, 'd03').slice(0, Math.floor(NODES / DATA_CENTERS / 2));
}

function crashHosts(fleet: MemberFleet, load: PhaseLoad, names: readonly string[]): number | undefined {
  const lost = names.map((host) => fleet.hosts.get(host)?.options).filter((options) => options !== undefined);
  for (const host of names) fleet.killHost(host);
  const convergedMs = load.runUntilConverged();
  for (const options of lost) fleet.startHost(options);
  load.run(10_000);
  return convergedMs;
}

/**
 * Kills a whole data centre. No node outside of it monitors its nodes, so their records stay; the data centre is marked
 * unreachable until it is back.
 */
function crashDataCenter(fleet: MemberFleet, load: PhaseLoad): number | undefined {
  const names = listDataCenterHosts(fleet, 'd07');
  const lost = names.map((host) => fleet.hosts.get(host)?.options).filter((options) => options !== undefined);
  for (const host of names) fleet.killHost(host);
  const convergedMs = runUntilUnreachable(fleet, load, () => ['d07']);
  for (const options of lost) fleet.startHost(options);
  load.run(15_000);
  return convergedMs;
}

/**
 * Advances the clock until all live nodes mark the expected data centres as unreachable. Returns the time taken (ms), or
 * undefined after `CONVERGENCE_TIMEOUT_MS`.
 */
function runUntilUnreachable(
  fleet: MemberFleet,
  load: PhaseLoad,
  listUnreachable: (region: string | undefined) => readonly string[],
): number | undefined {
  const startMs = fleet.clock.now();
  const isUnreachableEverywhere = (): boolean =>
    [...fleet.hosts.values()].every(({ node, options }) => {
      const { unreachableDataCenters } = node.board.read('members');
      return listUnreachable(options.region).every((dataCenter) => unreachableDataCenters.has(dataCenter));
    });
  while (!isUnreachableEverywhere()) {
    if (fleet.clock.now() - startMs > CONVERGENCE_TIMEOUT_MS) return undefined;
    load.run(STEP_MS);
  }
  return fleet.clock.now() - startMs;
}

function runPartitionedRegions(fleet: MemberFleet, load: PhaseLoad): number | undefined {
  updateRegionLinks(fleet, 'cut');
  const regions = listRegions(fleet);
  const convergedMs = runUntilUnreachable(fleet, load, (own) =>
    [...regions].filter(([, region]) => (region === 'r1') !== (own === 'r1')).map(([dataCenter]) => dataCenter),
  );
  const [first, second] = [...fleet.hosts.values()].filter(({ options }) => options.region === 'r1');
  load.run(PARTITION_MS);
  // Hosts of both sides are killed during the partition, so that both sides have updates to exchange afterwards.
  for (const host of [first?.options.host, second?.options.host, 'h0']) if (host !== undefined) fleet.killHost(host);
  load.run(10_000);
  return convergedMs;
}

function runReconnectedRegions(fleet: MemberFleet, load: PhaseLoad): number | undefined {
  updateRegionLinks(fleet, 'heal');
  const convergedMs = load.runUntilConverged();
  load.run(10_000);
  return convergedMs;
}

function updateRegionLinks(fleet: MemberFleet, operation: 'cut' | 'heal'): void {
  const regions = listRegions(fleet);
  for (const [left, leftRegion] of regions)
    for (const [right, rightRegion] of regions)
      if (leftRegion === 'r1' && rightRegion !== 'r1') fleet.network[operation](left, right);
}

/** Returns the region of each data centre. */
function listRegions(fleet: MemberFleet): Map<string, string | undefined> {
  return new Map([...fleet.hosts.values()].map(({ options }) => [options.dataCenter, options.region]));
}

function listDataCenterHosts(fleet: MemberFleet, dataCenter: string): string[] {
  return [...fleet.hosts].filter(([, { options }]) => options.dataCenter === dataCenter).map(([host]) => host);
}

function formatService(index: number): string {
  return `service-${index}`;
}

function describeTarget(index: number): Partial<FakeHostOptions> {
  const service = formatService(Math.floor(index / DATA_CENTERS) % SERVICES);
  return { service, target: { slots: 8, operations: { read: { meanMs: 5 } } } };
}

function createDocument(index: number): ServiceConfiguration {
  return {
    service: formatService(index),
    operations: { read: { idempotent: true, priority: 'normal', expectedCostMs: 5, deadlineMs: 1000 } },
    priorities: [{ name: 'normal', worth: 1, guaranteedShare: 0.5 }],
    retryAllowance: 2,
  };
}
