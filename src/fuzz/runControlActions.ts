import { buildSnapshot } from '../policy/snapshot.js';
import { createFoldState } from '../policy/configurationFold.js';
import type { ServiceConfiguration } from '../schema/serviceConfiguration.js';
import { check } from './check.js';
import { DATA_CENTERS, HOSTS } from './controlActions.js';
import type { ControlAction, ControlRun } from './controlActions.js';
import { createControlFleet } from './controlFleet.js';
import type { ControlFleet } from './controlFleet.js';
import { listAccepted } from './controlOracle.js';

/** Minimum retention that the settings allow, so that records expire within a run. */
const RETENTION_MS = 60_000;
/**
 * Maximum number of hosts that are killed or paused at the same time. The others keep the accepted changes, including those
 * that have expired from the log.
 */
const MAX_UNAVAILABLE_HOSTS = 4;
/** Age of an unread record at which log faults end, as a share of the retention. */
const MAX_UNREAD_AGE_SHARE = 0.5;
const CHECK_INTERVAL_MS = 500;
/** Time to detect failed nodes (4.5 s) plus the 7 s within which a change must be in force, rounded up. */
const RECOVERY_MS = 12_000;
/** Maximum time until a change is in force at all nodes (I8). */
const IN_FORCE_MS = 7000;

/**
 * Runs a sequence of actions against the real controllers and checks the invariant I8 of docs/design.md: only accepted
 * documents are in force, versions never revert on a host, and all hosts agree on the newest versions after all faults have
 * ended.
 */
export function runControlActions(run: ControlRun): void {
  const fleet = createControlFleet({
    seed: run.seed,
    dataCenters: DATA_CENTERS,
    hostsPerDataCenter: HOSTS.length / DATA_CENTERS.length,
    retentionMs: RETENTION_MS,
  });
  const driver = createDriver(fleet);
  driver.waitFor(5000);
  for (const action of run.actions) driver.applyAction(action);
  driver.endFaults();
  driver.waitFor(RECOVERY_MS);
  driver.checkInForce('after all faults ended,');
  driver.publishToAllServices();
  driver.waitFor(IN_FORCE_MS);
  driver.checkInForce('after a change on the recovered fleet,');
}

function createDriver(fleet: ControlFleet) {
  const { clock, log, network, hosts } = fleet;
  /** Version of each service that an operator last read, by operator and service. */
  const readVersions = new Map<string, number>();
  /** Highest version observed in force, by host, its start and service. */
  const maxVersions = new Map<string, number>();
  const published: unknown[] = [];
  let changes = 0;

  const getNewest = (service: string): number =>
    listAccepted(log.records)
      .filter((change) => change.service === service)
      .at(-1)?.version ?? 0;
  const createDocument = (service: string): ServiceConfiguration => ({
    service,
    operations: { browse: { idempotent: true, priority: 'normal', expectedCostMs: 1, deadlineMs: 1000 } },
    priorities: [{ name: 'normal', worth: 1, guaranteedShare: 0.5 }],
    retryAllowance: 2,
    // A distinct limit makes each document unique.
    queueLimit: ++changes,
  });
  const appendChange = (change: unknown): void => {
    if (log.isDown) return;
    published.push(change);
    log.append(change);
  };
  const checkVersions = (): void => {
    const accepted = listAccepted(log.records);
    for (const { host, startNumber, node } of hosts.values()) {
      for (const [service, { version, document }] of node.board.read('configuration').services) {
        const key = `${host} ${startNumber} ${service}`;
        const expected = accepted.find((change) => change.version === version && change.service === service);
        check(expected !== undefined, `${host} has ${service} version ${version}, which was not accepted`);
        check(
          expected?.documentJson === JSON.stringify(document),
          `${host} has a different document of ${service} version ${version}`,
        );
        check(
          version >= (maxVersions.get(key) ?? 0),
          `${host} reverted ${service} from ${maxVersions.get(key) ?? 0} to ${version}`,
        );
        maxVersions.set(key, version);
      }
    }
  };
  /**
   * Ends the log faults that prevent reads if unread records are about to expire: I8 does not cover records that expire
   * before any node reads them.
   */
  const endLogFaultsBeforeExpiry = (): void => {
    const read = Math.max(0, ...[...hosts.values()].map(({ node }) => node.board.read('configuration').appliedOffset));
    const unread = log.store.readFrom(read + 1, 1).entries[0];
    if (unread === undefined || clock.wallTime() - unread.appendedAtMs < RETENTION_MS * MAX_UNREAD_AGE_SHARE) return;
    log.isDown = false;
    log.delayMs = 5;
    log.unreachableFrom.clear();
  };
  const waitFor = (durationMs: number): void => {
    for (let leftMs = durationMs; leftMs > 0; leftMs -= CHECK_INTERVAL_MS) {
      endLogFaultsBeforeExpiry();
      clock.advance(Math.min(leftMs, CHECK_INTERVAL_MS));
      checkVersions();
    }
  };
  const countUnavailable = (): number =>
    HOSTS.filter((host) => !hosts.has(host) || hosts.get(host)?.process.isPaused === true).length;

  const applyAction = (action: ControlAction): void => {
    switch (action.type) {
      case 'read':
        for (const service of listServices()) readVersions.set(`${action.operator} ${service}`, getNewest(service));
        return;
      case 'publish': {
        const service = `service-${action.service}`;
        const change = {
          kind: 'change',
          changeId: `c${changes}`,
          service,
          baseVersion: (readVersions.get(`${action.operator} ${service}`) ?? 0) + action.baseOffset,
          operator: `o${action.operator}`,
          document: action.isBroken ? { service, queueLimit: -1 } : createDocument(service),
          isBroken: action.isBroken,
        };
        changes++;
        appendChange(change);
        if (action.isRepeated) appendChange(change);
        return;
      }
      case 'repeatOld':
        if (published.length > 0) appendChange(published[action.index % published.length]);
        return;
      case 'garbage':
        appendChange(createGarbage(action.form));
        return;
      case 'wrongSnapshot':
        if (!log.isDown) log.append(createWrongSnapshot(fleet, action.form, action.host));
        return;
      case 'outage':
        log.isDown = action.isDown;
        return;
      case 'slow':
        log.delayMs = action.delayMs;
        return;
      case 'loseAnswers':
        log.loseAnswers = action.count;
        return;
      case 'loseFrames':
        network.dropFrames('configuration', action.count);
        return;
      case 'cutLog':
        if (action.isCut) log.unreachableFrom.add(action.place);
        else log.unreachableFrom.delete(action.place);
        return;
      case 'cutLink':
        if (action.isCut) network.cut(DATA_CENTERS[0], DATA_CENTERS[1], { oneWay: action.oneWay });
        else network.heal(DATA_CENTERS[0], DATA_CENTERS[1]);
        return;
      case 'kill':
        if (hosts.has(action.host) && countUnavailable() < MAX_UNAVAILABLE_HOSTS) fleet.killHost(action.host);
        return;
      case 'start':
        if (!hosts.has(action.host)) fleet.startHost(action.host);
        return;
      case 'pause':
        if (countUnavailable() < MAX_UNAVAILABLE_HOSTS) fleet.pauseHost(action.host);
        return;
      case 'resume':
        fleet.resumeHost(action.host);
        return;
      case 'advance':
        waitFor(action.durationMs);
    }
  };
  return {
    waitFor,
    applyAction,
    endFaults: (): void => {
      log.isDown = false;
      log.delayMs = 5;
      log.loseAnswers = 0;
      log.unreachableFrom.clear();
      network.heal(DATA_CENTERS[0], DATA_CENTERS[1]);
      network.dropFrames('configuration', 0);
      for (const host of HOSTS) {
        fleet.resumeHost(host);
        if (!hosts.has(host)) fleet.startHost(host);
      }
    },
    publishToAllServices: (): void => {
      for (const service of listServices()) {
        const document = createDocument(service);
        const baseVersion = getNewest(service);
        appendChange({ kind: 'change', changeId: `c${changes++}`, service, baseVersion, operator: 'last', document });
      }
    },
    checkInForce: (situation: string): void => {
      for (const service of listServices()) {
        const newest = getNewest(service);
        for (const host of HOSTS) {
          const version = fleet.getVersion(host, service);
          check(version === newest, `${situation} ${host} has ${service} version ${version} instead of ${newest}`);
        }
      }
    },
  };
}

function listServices(): string[] {
  return ['service-0', 'service-1', 'service-2'];
}

function createGarbage(form: number): unknown {
  const garbage: unknown[] = [
    'text',
    // Required fields are missing.
    { kind: 'change', changeId: 'g1', service: 'service-0' },
    // Unknown kind, as from a later version.
    { kind: 'later', version: 2 },
    // Wrong digest.
    { kind: 'snapshot', upTo: 3, documents: [], recentChangeIds: [], author: 'x', refutes: [], digest: 'none' },
    // Its document exceeds `MAX_DOCUMENT_BYTES`.
    {
      kind: 'change',
      changeId: 'g4',
      service: 'service-0',
      baseVersion: 0,
      operator: 'x',
      document: { service: 'service-0', text: 'x'.repeat(70_000) },
      isBroken: true,
    },
  ];
  return garbage[form];
}

/** Creates a snapshot with a valid digest in which one service (form 0) or all of them (form 1) are missing. */
function createWrongSnapshot(fleet: ControlFleet, form: number, author: string): unknown {
  const fold = createFoldState();
  // Claims to include all records of the log.
  fold.appliedOffset = fleet.log.records.length;
  const services = fleet.hosts.values().next().value?.node.board.read('configuration').services ?? new Map();
  for (const [service, entry] of services) {
    fold.documents.set(service, structuredClone(entry) as never);
  }
  if (form === 1) fold.documents.clear();
  else fold.documents.delete('service-0');
  return buildSnapshot(fold, { author });
}
