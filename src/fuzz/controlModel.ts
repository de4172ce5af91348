import { buildSnapshot } from '../policy/snapshot.js';
import { createFoldState } from '../policy/configurationFold.js';
import { FailureError } from '../schema/failure.js';
import type { ServiceConfiguration } from '../schema/serviceConfiguration.js';
import { DATA_CENTERS, HOSTS } from './controlActions.js';
import type { ControlAction, ControlRun } from './controlActions.js';
import { createControlFleet } from './controlFleet.js';
import type { ControlFleet } from './controlFleet.js';
import { listAccepted } from './controlOracle.js';

/** The shortest retention that the settings allow, so that records expire within a run. */
const RETENTION_MS = 60_000;
/** Hosts that may be gone or paused at once; the others carry the state. */
const MAX_AWAY = 4;
const MAX_UNREAD_SHARE = 0.5;
const CHECK_PERIOD_MS = 500;
/** Detection of lost nodes (4.5 s) and the 7 s in which a change must be in force. */
const HEAL_MS = 12_000;
const IN_FORCE_MS = 7000;

/** Runs one sequence of actions against the real controllers and checks I8 all along. */
export function runControlModel(run: ControlRun): void {
  const fleet = createControlFleet({
    seed: run.seed,
    dataCenters: DATA_CENTERS,
    hostsPerDataCenter: HOSTS.length / DATA_CENTERS.length,
    retentionMs: RETENTION_MS,
  });
  const model = createModel(fleet);
  model.waitFor(5000);
  for (const action of run.actions) model.applyAction(action);
  model.heal();
  model.waitFor(HEAL_MS);
  model.checkInForce('after all links are back');
  model.publishEverywhere();
  model.waitFor(IN_FORCE_MS);
  model.checkInForce('after a change on the healed fleet');
}

function createModel(fleet: ControlFleet) {
  const { clock, log, network, hosts } = fleet;
  /** By operator: the version of each service that it read last. */
  const views = new Map<string, number>();
  /** By host, its start and service: the highest version seen in force. */
  const seen = new Map<string, number>();
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
    queueLimit: ++changes,
  });
  const appendChange = (change: unknown): void => {
    if (log.isDown) return;
    published.push(change);
    log.append(change);
  };
  const checkAlways = (): void => {
    const accepted = listAccepted(log.records);
    for (const { host, start, node } of hosts.values()) {
      for (const [service, { version, document }] of node.board.read('configuration').services) {
        const key = `${host} ${start} ${service}`;
        const truth = accepted.find((change) => change.version === version && change.service === service);
        check(truth !== undefined, `${host} has ${service} version ${version}, which was not accepted`);
        check(truth?.text === JSON.stringify(document), `${host} has another text of ${service} version ${version}`);
        check(version >= (seen.get(key) ?? 0), `${host} reverted ${service} from ${seen.get(key) ?? 0} to ${version}`);
        seen.set(key, version);
      }
    }
  };
  /** Records that expire before any node read them are lost to everyone; that is outside of what I8 promises. */
  const endUnreadOutage = (): void => {
    const read = Math.max(0, ...[...hosts.values()].map(({ node }) => node.board.read('configuration').appliedOffset));
    const unread = log.store.readFrom(read + 1, 1).entries[0];
    if (unread === undefined || clock.wallTime() - unread.appendedAtMs < RETENTION_MS * MAX_UNREAD_SHARE) return;
    log.isDown = false;
    log.delayMs = 5;
    log.cutOff.clear();
  };
  const waitFor = (durationMs: number): void => {
    for (let leftMs = durationMs; leftMs > 0; leftMs -= CHECK_PERIOD_MS) {
      endUnreadOutage();
      clock.advance(Math.min(leftMs, CHECK_PERIOD_MS));
      checkAlways();
    }
  };
  const computeAway = (): number =>
    HOSTS.filter((host) => !hosts.has(host) || hosts.get(host)?.process.isPaused === true).length;

  const applyAction = (action: ControlAction): void => {
    switch (action.type) {
      case 'read':
        for (const service of listServices()) views.set(`${action.operator} ${service}`, getNewest(service));
        return;
      case 'publish': {
        const service = `service-${action.service}`;
        const change = {
          kind: 'change',
          changeId: `c${changes}`,
          service,
          baseVersion: (views.get(`${action.operator} ${service}`) ?? 0) + action.baseOffset,
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
        if (action.isCut) log.cutOff.add(action.place);
        else log.cutOff.delete(action.place);
        return;
      case 'cutLink':
        if (action.isCut) network.cut(DATA_CENTERS[0], DATA_CENTERS[1], { oneWay: action.oneWay });
        else network.heal(DATA_CENTERS[0], DATA_CENTERS[1]);
        return;
      case 'kill':
        if (hosts.has(action.host) && computeAway() < MAX_AWAY) fleet.killHost(action.host);
        return;
      case 'start':
        if (!hosts.has(action.host)) fleet.startHost(action.host);
        return;
      case 'pause':
        if (computeAway() < MAX_AWAY) fleet.pauseHost(action.host);
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
    heal: (): void => {
      log.isDown = false;
      log.delayMs = 5;
      log.loseAnswers = 0;
      log.cutOff.clear();
      network.heal(DATA_CENTERS[0], DATA_CENTERS[1]);
      network.dropFrames('configuration', 0);
      for (const host of HOSTS) {
        fleet.resumeHost(host);
        if (!hosts.has(host)) fleet.startHost(host);
      }
    },
    publishEverywhere: (): void => {
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
          check(version === newest, `${situation} ${host} has ${service} version ${version} in place of ${newest}`);
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
    { kind: 'change', changeId: 'g1', service: 'service-0' },
    { kind: 'later', version: 2 },
    { kind: 'snapshot', upTo: 3, documents: [], recentChangeIds: [], author: 'x', refutes: [], digest: 'none' },
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

/** A snapshot with a sound digest that lacks a service (form 0) or is cut short to nothing (form 1). */
function createWrongSnapshot(fleet: ControlFleet, form: number, author: string): unknown {
  const fold = createFoldState();
  fold.appliedOffset = fleet.log.records.length;
  const services = fleet.hosts.values().next().value?.node.board.read('configuration').services ?? new Map();
  for (const [service, entry] of services) {
    fold.documents.set(service, structuredClone(entry) as never);
  }
  if (form === 1) fold.documents.clear();
  else fold.documents.delete('service-0');
  return buildSnapshot(fold, { author });
}

function check(isRight: boolean, message: string): void {
  if (!isRight) throw new FailureError({ kind: 'processFailed', message });
}
