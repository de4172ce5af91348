import { describe, it } from 'node:test';
import { expect } from 'earl';
import { applyPage, applyPeerState, createLogReader } from '../../src/policy/logReader.js';
import type { LogReader, PageOutcome } from '../../src/policy/logReader.js';
import { buildSnapshot } from '../../src/policy/snapshot.js';
import type { SnapshotRecord } from '../../src/schema/logRecord.js';
import { createChange, createPage } from '../fixtures/changes.js';

/** A reader of the given records from the first one on. */
function readAll(values: readonly unknown[]): LogReader {
  const reader = createLogReader();
  applyPage(reader, createPage(values));
  return reader;
}

function listSnapshotTypes(outcome: PageOutcome): string[] {
  return outcome.type === 'applied' ? outcome.snapshots.map(({ type }) => type) : [outcome.type];
}

function getVersion(reader: LogReader, service = 'contracts'): number | undefined {
  return reader.fold.documents.get(service)?.version;
}

const changes = [createChange('a', 0), createChange('b', 1), createChange('c', 2)];

describe('reader of the configuration log', () => {
  it('should hold back after records expired unread, until a snapshot reaches back to the first record read', () => {
    const snapshot = buildSnapshot(readAll(changes.slice(0, 2)).fold, { author: 'h1' });
    const reader = createLogReader();
    applyPage(reader, createPage([changes[2], createChange('d', 3)], 3));
    expect(reader.isComplete).toEqual(false);
    expect(getVersion(reader)).toEqual(undefined);
    const outcome = applyPage(reader, { ...createPage([snapshot], 5), oldestOffset: 3 });
    expect(listSnapshotTypes(outcome)).toEqual(['adopted']);
    expect(reader.isComplete).toEqual(true);
    expect(getVersion(reader)).toEqual(4);
  });

  it('should not take a snapshot that ends before the first record read, since records between are missing', () => {
    const snapshot = buildSnapshot(readAll(changes.slice(0, 1)).fold, { author: 'h1' });
    const reader = createLogReader();
    const outcome = applyPage(reader, createPage([createChange('c', 2), snapshot], 3));
    expect(listSnapshotTypes(outcome)).toEqual(['older']);
    expect(reader.isComplete).toEqual(false);
  });

  it('should hold back again when a long pause let records expire, and catch up by a later snapshot', () => {
    const reader = readAll(changes.slice(0, 1));
    const whole = readAll([...changes, 'filler']);
    const outcome = applyPage(reader, createPage([buildSnapshot(whole.fold, { author: 'h1' })], 5));
    expect(listSnapshotTypes(outcome)).toEqual(['adopted']);
    expect(getVersion(reader)).toEqual(3);
  });

  it('should ignore a late snapshot that is older than what the reader holds', () => {
    const early = buildSnapshot(readAll(changes.slice(0, 1)).fold, { author: 'h1' });
    const reader = createLogReader();
    const whole = buildSnapshot(readAll(changes).fold, { author: 'h2' });
    const outcome = applyPage(reader, createPage([whole, early], 4));
    expect(listSnapshotTypes(outcome)).toEqual(['adopted', 'older']);
    expect(getVersion(reader)).toEqual(3);
  });

  it('should verify two snapshots written at once, and stay with its state', () => {
    const whole = readAll(changes);
    const snapshots = ['h1', 'h2'].map((author) => buildSnapshot(whole.fold, { author }));
    const outcome = applyPage(whole, createPage(snapshots, 4));
    expect(listSnapshotTypes(outcome)).toEqual(['verified', 'verified']);
    expect(getVersion(whole)).toEqual(3);
  });

  it('should verify a snapshot of an earlier state from the versions that were replaced since', () => {
    const early = buildSnapshot(readAll(changes.slice(0, 2)).fold, { author: 'h1' });
    const whole = readAll(changes);
    expect(listSnapshotTypes(applyPage(whole, createPage([early], 4)))).toEqual(['verified']);
    const wrong = structuredClone(readAll(changes.slice(0, 1)).fold);
    wrong.appliedOffset = 2;
    const outcome = applyPage(whole, createPage([buildSnapshot(wrong, { author: 'h2' })], 5));
    expect(outcome.type === 'applied' ? outcome.snapshots[0]?.fault : '').toEqual(
      'it gives contracts version 1, but version 2 was in force',
    );
  });

  it('should find a wrong document in a snapshot with a sound digest', () => {
    const reader = readAll(changes);
    const wrong = structuredClone(reader.fold);
    const folded = wrong.documents.get('contracts');
    if (folded !== undefined) folded.document.queueLimit = 77;
    const outcome = applyPage(reader, createPage([buildSnapshot(wrong, { author: 'h2' })], 4));
    expect(listSnapshotTypes(outcome)).toEqual(['wrong']);
  });

  it('should not look at a snapshot with a wrong digest or a version beyond its end', () => {
    const sound = buildSnapshot(readAll(changes).fold, { author: 'h1' });
    const altered: SnapshotRecord[] = [
      { ...sound, digest: 'other' },
      { ...sound, upTo: 2 },
      { ...sound, documents: [] },
    ];
    const reader = createLogReader();
    const outcome = applyPage(reader, createPage(altered, 4));
    expect(listSnapshotTypes(outcome)).toEqual([]);
    expect(reader.isComplete).toEqual(false);
  });

  it('should not take a snapshot that lacks a version in force at this node', () => {
    const old = structuredClone(readAll(changes.slice(0, 1)).fold);
    old.appliedOffset = 3;
    const reader = createLogReader();
    const knownVersions = new Map([['contracts', { version: 3 }]]);
    const outcome = applyPage(reader, createPage([buildSnapshot(old, { author: 'h1' })], 4), { knownVersions });
    expect(listSnapshotTypes(outcome)).toEqual(['wrong']);
    expect(reader.isComplete).toEqual(false);
  });

  it('should leave a wrong snapshot for one that refutes it', () => {
    const whole = readAll(changes);
    const wrong = structuredClone(whole.fold);
    wrong.documents.clear();
    const right = buildSnapshot(whole.fold, { author: 'h2', refutes: [4] });
    const page = createPage([buildSnapshot(wrong, { author: 'h1' }), right, createChange('d', 3)], 4);
    const reader = createLogReader();
    applyPage(reader, { ...page, entries: page.entries.slice(0, 1) });
    expect(getVersion(reader)).toEqual(undefined);
    applyPage(reader, page);
    expect(reader.readUpTo).toEqual(0);
    applyPage(reader, page);
    expect(getVersion(reader)).toEqual(6);
  });

  it('should confirm a state from a snapshot by that of another writer, not by its own or the same one', () => {
    const whole = readAll(changes);
    const createBy = (author: string): SnapshotRecord => buildSnapshot(whole.fold, { author });
    const reader = createLogReader();
    applyPage(reader, createPage([createBy('h1'), createBy('h1'), createBy('me')], 4), { self: 'me' });
    expect(reader.isConfirmed).toEqual(false);
    applyPage(reader, { ...createPage([createBy('h2')], 7), oldestOffset: 4 }, { self: 'me' });
    expect(reader.isConfirmed).toEqual(true);
  });

  it('should use nothing of a log that ends before what was read from it', () => {
    const reader = readAll(changes);
    const outcome = applyPage(reader, createPage([createChange('z', 0, { service: 'other' })]));
    expect(outcome.type).toEqual('restarted');
    expect(getVersion(reader, 'other')).toEqual(undefined);
  });

  it('should go on from the documents of a peer that cover the expired records, and from no shorter ones', () => {
    const { documents } = readAll(changes).fold;
    const reader = createLogReader();
    applyPage(reader, createPage([createChange('d', 3)], 4));
    expect(applyPeerState(reader, documents, 2)).toEqual(undefined);
    expect(reader.isComplete).toEqual(false);
    expect(applyPeerState(reader, documents, 3)?.map(({ type }) => type)).toEqual(['accepted']);
    expect(getVersion(reader)).toEqual(4);
  });

  it('should bound what it holds back, and then ask for a snapshot that covers what it dropped', () => {
    const early = buildSnapshot(readAll(changes).fold, { author: 'h1' });
    const reader = createLogReader();
    applyPage(reader, createPage([...Array(20).fill('filler'), early], 4), { maxBuffered: 10 });
    expect(reader.bufferedEntries.length).toEqual(10);
    expect(reader.isComplete).toEqual(false);
  });

  it('should decide alike whether it read the log from its start or from a snapshot', () => {
    const values = [...changes, createChange('b', 1), createChange('e', 3), createChange('e', 3)];
    const whole = readAll(values);
    for (let end = 1; end <= 3; end++) {
      const snapshot = buildSnapshot(readAll(changes.slice(0, end)).fold, { author: 'h1' });
      const reader = createLogReader();
      applyPage(reader, createPage([...values.slice(end), snapshot], end + 1));
      expect([...reader.fold.documents]).toEqual([...whole.fold.documents]);
      expect(reader.fold.decided).toEqual(whole.fold.decided);
    }
  });
});
