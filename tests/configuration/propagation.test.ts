import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createControlFleet } from '../../src/fuzz/controlFleet.js';
import type { ControlFleet } from '../../src/fuzz/controlFleet.js';
import { buildSnapshot } from '../../src/policy/snapshot.js';
import { createFoldState } from '../../src/policy/configurationFold.js';
import type { LogState } from '../../src/schema/logRecord.js';
import { createChange, createDocument } from '../fixtures/changes.js';

/** Time in which a change must be in force at all nodes, invariant I8 of docs/design.md. */
const IN_FORCE_MS = 7000;
const SETTLE_MS = 5000;
const RETENTION_MS = 600_000;

function createFleet(
  options: { hostsPerDataCenter?: number; retentionMs?: number; started?: string[] } = {},
): ControlFleet {
  const { hostsPerDataCenter = 4, retentionMs = RETENTION_MS, started } = options;
  const fleet = createControlFleet({
    seed: 11,
    dataCenters: ['d1', 'd2'],
    hostsPerDataCenter,
    retentionMs,
    ...(started === undefined ? {} : { started }),
  });
  fleet.clock.advance(SETTLE_MS);
  return fleet;
}

function listVersions(fleet: ControlFleet, service = 'contracts'): number[] {
  return [...fleet.hosts.keys()].map((host) => fleet.getVersion(host, service));
}

function listFleetGateways(fleet: ControlFleet, dataCenter: string): string[] {
  return [...fleet.hosts.values()]
    .filter((host) => host.dataCenter === dataCenter && host.node.board.read('links').isGateway)
    .map(({ host }) => host);
}

function getLogState(fleet: ControlFleet, host: string): LogState {
  const state = fleet.hosts.get(host)?.node.board.read('configuration').log;
  return (
    state ?? { state: 'unread', sinceMs: 0, message: '', isComplete: false, retentionMs: 0, lastSnapshotOffset: 0 }
  );
}

function listSnapshots(fleet: ControlFleet): { offset: number; value: { author: string; upTo: number } }[] {
  return fleet.log.records.filter(({ value }) => (value as { kind?: unknown }).kind === 'snapshot') as ReturnType<
    typeof listSnapshots
  >;
}

describe('propagation of the configuration', () => {
  it('should put a change in force at every node while only the two gateways of a data centre read the log', () => {
    const fleet = createFleet();
    const version = fleet.log.append(createChange('a', 0));
    fleet.clock.advance(1000);
    expect(listVersions(fleet)).toEqual(Array(8).fill(version));
    const readers = [...fleet.hosts.keys()].filter((host) => getLogState(fleet, host).state === 'up');
    expect(readers.sort()).toEqual([...listFleetGateways(fleet, 'd1'), ...listFleetGateways(fleet, 'd2')].sort());
  });

  it('should repair a lost broadcast within 7 s', () => {
    const fleet = createFleet();
    fleet.network.dropFrames('configuration', 1000);
    const version = fleet.log.append(createChange('a', 0));
    fleet.clock.advance(100);
    fleet.network.dropFrames('configuration', 0);
    expect(listVersions(fleet).includes(0)).toEqual(true);
    fleet.clock.advance(IN_FORCE_MS);
    expect(listVersions(fleet)).toEqual(Array(8).fill(version));
  });

  it('should send the state of peers to a node that starts while the log is down', () => {
    const fleet = createFleet({ started: ['d1-0', 'd1-1', 'd1-2', 'd2-0', 'd2-1'] });
    const version = fleet.log.append(createChange('a', 0));
    fleet.clock.advance(1000);
    fleet.log.isDown = true;
    fleet.startHost('d2-3');
    fleet.clock.advance(IN_FORCE_MS);
    expect(fleet.getVersion('d2-3', 'contracts')).toEqual(version);
  });

  it('should keep the documents of a data centre that is cut off, and catch up within 7 s after it ends', () => {
    const fleet = createFleet();
    const first = fleet.log.append(createChange('a', 0));
    fleet.clock.advance(1000);
    fleet.network.cut('d1', 'd2');
    fleet.log.unreachableFrom.add('d2');
    const second = fleet.log.append(createChange('b', first));
    fleet.clock.advance(60_000);
    expect(listVersions(fleet)).toEqual([...Array<number>(4).fill(second), ...Array<number>(4).fill(first)]);
    expect(getLogState(fleet, listFleetGateways(fleet, 'd2')[0] ?? '').state).toEqual('down');
    fleet.network.heal('d1', 'd2');
    fleet.log.unreachableFrom.clear();
    fleet.clock.advance(IN_FORCE_MS);
    expect(listVersions(fleet)).toEqual(Array(8).fill(second));
  });

  it('should reach a data centre that has links to others but none to the log', () => {
    const fleet = createFleet();
    fleet.log.unreachableFrom.add('d2');
    const version = fleet.log.append(createChange('a', 0));
    fleet.clock.advance(IN_FORCE_MS);
    expect(listVersions(fleet)).toEqual(Array(8).fill(version));
  });

  it('should report since when the log is down, and back off while it is', () => {
    const fleet = createFleet();
    const gateway = listFleetGateways(fleet, 'd1')[0] ?? '';
    expect(getLogState(fleet, gateway)).toEqual(expect.subset({ state: 'up', retentionMs: RETENTION_MS }));
    fleet.log.isDown = true;
    fleet.clock.advance(3000);
    const downAtMs = getLogState(fleet, gateway).sinceMs;
    const readsBefore = fleet.log.reads;
    fleet.clock.advance(60_000);
    const state = getLogState(fleet, gateway);
    expect(state).toEqual(expect.subset({ state: 'down', message: 'connection refused' }));
    expect(state.sinceMs).toEqual(downAtMs);
    expect(downAtMs).toBeGreaterThan(0);
    // Four gateways, each of which reads every 1 to 2 s.
    expect(fleet.log.reads - readsBefore).toBeLessThan(4 * 60);
    expect(fleet.log.reads - readsBefore).toBeGreaterThan(4 * 25);
    fleet.log.isDown = false;
    const version = fleet.log.append(createChange('a', 0));
    fleet.clock.advance(IN_FORCE_MS);
    expect(getLogState(fleet, gateway).state).toEqual('up');
    expect(listVersions(fleet)).toEqual(Array(8).fill(version));
  });

  it('should apply pages of a log whose responses arrive after the read timeout', () => {
    const fleet = createFleet();
    fleet.log.delayMs = 5000;
    const version = fleet.log.append(createChange('a', 0));
    fleet.clock.advance(30_000);
    expect(listVersions(fleet)).toEqual(Array(8).fill(version));
  });

  it('should read all records when pages hold few of them', () => {
    const fleet = createFleet();
    let version = 0;
    for (let count = 0; count < 100; count++) version = fleet.log.append(createChange(`c${count}`, version));
    fleet.clock.advance(IN_FORCE_MS);
    expect(listVersions(fleet)).toEqual(Array(8).fill(version));
  });

  it('should let other nodes read the log when both gateways fail', () => {
    const fleet = createFleet();
    const first = fleet.log.append(createChange('a', 0));
    fleet.clock.advance(1000);
    for (const host of listFleetGateways(fleet, 'd1')) fleet.killHost(host);
    fleet.log.unreachableFrom.add('d2');
    const second = fleet.log.append(createChange('b', first));
    // Failure detection takes up to 6 s, and the 7 s start after that.
    fleet.clock.advance(6000 + IN_FORCE_MS);
    expect(listVersions(fleet)).toEqual(Array(6).fill(second));
  });

  it('should catch up on a gateway that was paused for longer than the retention', () => {
    const fleet = createFleet();
    const gateway = listFleetGateways(fleet, 'd1')[0] ?? '';
    const first = fleet.log.append(createChange('a', 0));
    fleet.clock.advance(1000);
    fleet.pauseHost(gateway);
    const second = fleet.log.append(createChange('b', first));
    fleet.clock.advance(2 * RETENTION_MS);
    const third = fleet.log.append(createChange('c', second));
    expect(fleet.getVersion(gateway, 'contracts')).toEqual(first);
    fleet.resumeHost(gateway);
    fleet.clock.advance(IN_FORCE_MS);
    expect(listVersions(fleet)).toEqual(Array(8).fill(third));
    fleet.clock.advance(RETENTION_MS / 2);
    expect(getLogState(fleet, gateway)).toEqual(expect.subset({ state: 'up', isComplete: true }));
  });

  it('should not accept an older or an invalid document from a peer', () => {
    const fleet = createFleet();
    const first = fleet.log.append(createChange('a', 0));
    const second = fleet.log.append(createChange('b', first));
    fleet.clock.advance(1000);
    const { board } = fleet.hosts.get('d1-2')?.node ?? {};
    const fields = { service: 'contracts', changeId: 'x', operator: 'x' };
    board?.post('configuration', { documents: [{ ...fields, version: first, document: createDocument('contracts') }] });
    board?.post('configuration', { documents: [{ ...fields, version: 99, document: { service: 'contracts' } }] });
    board?.post('configuration', { documents: [{ ...fields, version: 99, document: createDocument('other') }] });
    expect(fleet.getVersion('d1-2', 'contracts')).toEqual(second);
  });

  it('should reject at a gateway a document whose version the log never accepted', () => {
    const fleet = createFleet();
    const first = fleet.log.append(createChange('a', 0));
    fleet.log.append('filler');
    fleet.clock.advance(1000);
    const gateway = listFleetGateways(fleet, 'd1')[0] ?? '';
    const document = createDocument('contracts', 5);
    const documents = [{ service: 'contracts', changeId: 'x', operator: 'x', version: first + 1, document }];
    fleet.hosts.get(gateway)?.node.board.post('configuration', { documents });
    expect(fleet.getVersion(gateway, 'contracts')).toEqual(first);
  });

  it('should keep the documents and report a failed read when the log restarts empty', () => {
    const fleet = createFleet();
    const version = fleet.log.append(createChange('a', 0));
    fleet.clock.advance(1000);
    fleet.log.store.readFrom = () => ({ entries: [], oldestOffset: 1, nextOffset: 1 });
    fleet.clock.advance(10_000);
    expect(listVersions(fleet)).toEqual(Array(8).fill(version));
    expect(getLogState(fleet, listFleetGateways(fleet, 'd1')[0] ?? '')).toEqual(
      expect.subset({ state: 'down', message: 'the log ends before offset 1, but offset 1 was read from it before' }),
    );
  });
});

describe('snapshots of the configuration', () => {
  it('should be written by gateways only, about once per quarter of the retention', () => {
    const fleet = createFleet();
    fleet.log.append(createChange('a', 0));
    fleet.clock.advance(2 * RETENTION_MS);
    const gateways = [...listFleetGateways(fleet, 'd1'), ...listFleetGateways(fleet, 'd2')];
    const authors = listSnapshots(fleet).map(({ value }) => value.author);
    expect(authors.filter((author) => !gateways.includes(author))).toEqual([]);
    expect(authors.length).toBeGreaterThan(6);
    // Several writers may find a snapshot due before they read the one of another writer.
    expect(authors.length).toBeLessThan(17);
  });

  it('should be written again after a lost response or an outage of the log, without harm', () => {
    const fleet = createFleet();
    const first = fleet.log.append(createChange('a', 0));
    fleet.log.loseAnswers = 2;
    fleet.clock.advance(RETENTION_MS / 4);
    fleet.log.isDown = true;
    fleet.clock.advance(2 * RETENTION_MS);
    fleet.log.isDown = false;
    fleet.clock.advance(RETENTION_MS / 16);
    const second = fleet.log.append(createChange('b', first));
    fleet.clock.advance(IN_FORCE_MS);
    expect(listVersions(fleet)).toEqual(Array(8).fill(second));
    const kept = fleet.log.store.readFrom(1, 100).entries.map(({ value }) => (value as { kind?: unknown }).kind);
    expect(kept.includes('snapshot')).toEqual(true);
  });

  it('should be refuted within seconds if its content is wrong, so that new readers skip it', () => {
    const fleet = createFleet();
    fleet.log.append(createChange('a', 0));
    fleet.clock.advance(RETENTION_MS / 2);
    const fold = { ...createFoldState(), appliedOffset: fleet.log.records.length };
    const wrong = fleet.log.append(buildSnapshot(fold, { author: 'd1-9' }));
    fleet.clock.advance(IN_FORCE_MS);
    const last = fleet.log.records.at(-1)?.value;
    expect(last).toEqual(expect.subset({ kind: 'snapshot', refutes: [wrong] }));
  });

  it('should be recovered from the documents in force when the log holds no complete state', () => {
    const fleet = createFleet();
    const first = fleet.log.append(createChange('a', 0));
    fleet.clock.advance(1000);
    // A record that expires unread: no reader can know its decision.
    fleet.log.isDown = true;
    fleet.log.append(createChange('lost', first));
    fleet.clock.advance(2 * RETENTION_MS);
    fleet.log.isDown = false;
    fleet.clock.advance(RETENTION_MS / 8);
    const gateway = listFleetGateways(fleet, 'd1')[0] ?? '';
    expect(getLogState(fleet, gateway)).toEqual(expect.subset({ state: 'up', isComplete: false }));
    const third = fleet.log.append(createChange('b', first));
    fleet.clock.advance(RETENTION_MS);
    expect(getLogState(fleet, gateway).isComplete).toEqual(true);
    expect(listVersions(fleet)).toEqual(Array(8).fill(third));
  });

  it('should not be needed when all gateways are replaced while the log is down for longer than the retention', () => {
    const fleet = createFleet();
    const first = fleet.log.append(createChange('a', 0));
    fleet.clock.advance(20_000);
    fleet.log.isDown = true;
    for (const host of [...listFleetGateways(fleet, 'd1'), ...listFleetGateways(fleet, 'd2')]) fleet.killHost(host);
    fleet.clock.advance(2 * RETENTION_MS);
    fleet.log.isDown = false;
    const second = fleet.log.append(createChange('b', first));
    fleet.clock.advance(IN_FORCE_MS);
    expect(listVersions(fleet)).toEqual(Array(4).fill(second));
  });
});
