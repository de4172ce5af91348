import { describe, it } from 'node:test';
import { expect } from 'earl';
import { applyPage, applyPeerState, createLogReader } from '../../src/policy/logReader.js';
import type { LogReader, PageOutcome } from '../../src/policy/logReader.js';
import { buildSnapshot } from '../../src/policy/snapshot.js';
import type { SnapshotRecord } from '../../src/schema/logRecord.js';
import { createChange, createPage } from '../fixtures/changes.js';

/** Creates a reader that has read the given records from the start of the log. */
function readAll(values: readonly unknown[]): LogReader {
  const reader = createLogReader();
  applyPage(reader, createPage(values));
  return reader;
}

function listSnapshotTypes(outcome: PageOutcome): string[] {
  return outcome.type === 'applied' ? outcome.snapshots.map(({ type }) => type) : [outcome.type];
}

function getVersion(reader: LogReader, service = 'contracts'): number | undefined {
  return reader.state.documents.get(service)?.version;
}

const changes = [createChange('a', 0), createChange('b', 1), createChange('c', 2)];

describe('configuration log reader', () => {
  it('should buffer records after earlier ones expired unread, until a snapshot covers the expired ones', () => {
    const snapshot = buildSnapshot(readAll(changes.slice(0, 2)).state, { author: 'h1' });
    const reader = createLogReader();
    applyPage(reader, createPage([changes[2], createChange('d', 3)], 3));
    expect(reader.isComplete).toEqual(false);
    expect(getVersion(reader)).toEqual(undefined);
    const outcome = applyPage(reader, { ...createPage([snapshot], 5), oldestOffset: 3 });
    expect(listSnapshotTypes(outcome)).toEqual(['adopted']);
    expect(reader.isComplete).toEqual(true);
    expect(getVersion(reader)).toEqual(4);
  });

  // Guards against a snapshot whose digest cannot be computed: JSON.parse reads values that JSON.stringify cannot write.
  it('should read on after a snapshot with a deeply nested document', () => {
    const snapshot = buildSnapshot(readAll(changes.slice(0, 1)).state, { author: 'h1' });
    const document: unknown = JSON.parse('['.repeat(100_000) + ']'.repeat(100_000));
    const documents = snapshot.documents.map((known) => ({ ...known, document }));
    const reader = readAll([changes[0], { ...snapshot, documents }, createChange('b', 1)]);
    expect(getVersion(reader)).toEqual(3);
  });

  it('should not adopt a snapshot that ends before the first record read, since records are missing', () => {
    const snapshot = buildSnapshot(readAll(changes.slice(0, 1)).state, { author: 'h1' });
    const reader = createLogReader();
    const outcome = applyPage(reader, createPage([createChange('c', 2), snapshot], 3));
    expect(listSnapshotTypes(outcome)).toEqual(['older']);
    expect(reader.isComplete).toEqual(false);
  });

  it('should adopt a later snapshot when records expired during a long pause', () => {
    const reader = readAll(changes.slice(0, 1));
    const complete = readAll([...changes, 'filler']);
    const outcome = applyPage(reader, createPage([buildSnapshot(complete.state, { author: 'h1' })], 5));
    expect(listSnapshotTypes(outcome)).toEqual(['adopted']);
    expect(getVersion(reader)).toEqual(3);
  });

  it('should ignore a late snapshot that is older than the state of the reader', () => {
    const early = buildSnapshot(readAll(changes.slice(0, 1)).state, { author: 'h1' });
    const reader = createLogReader();
    const complete = buildSnapshot(readAll(changes).state, { author: 'h2' });
    const outcome = applyPage(reader, createPage([complete, early], 4));
    expect(listSnapshotTypes(outcome)).toEqual(['adopted', 'older']);
    expect(getVersion(reader)).toEqual(3);
  });

  it('should verify two concurrent snapshots without changing its state', () => {
    const complete = readAll(changes);
    const snapshots = ['h1', 'h2'].map((author) => buildSnapshot(complete.state, { author }));
    const outcome = applyPage(complete, createPage(snapshots, 4));
    expect(listSnapshotTypes(outcome)).toEqual(['verified', 'verified']);
    expect(getVersion(complete)).toEqual(3);
  });

  it('should verify a snapshot of an earlier state with the versions replaced since then', () => {
    const early = buildSnapshot(readAll(changes.slice(0, 2)).state, { author: 'h1' });
    const complete = readAll(changes);
    expect(listSnapshotTypes(applyPage(complete, createPage([early], 4)))).toEqual(['verified']);
    const wrong = structuredClone(readAll(changes.slice(0, 1)).state);
    wrong.appliedOffset = 2;
    const outcome = applyPage(complete, createPage([buildSnapshot(wrong, { author: 'h2' })], 5));
    expect(outcome.type === 'applied' ? outcome.snapshots[0]?.fault : '').toEqual(
      'in the snapshot contracts has version 1, but version 2 was in force',
    );
  });

  it('should detect a wrong document in a snapshot with a valid digest', () => {
    const reader = readAll(changes);
    const wrong = structuredClone(reader.state);
    const folded = wrong.documents.get('contracts');
    if (folded !== undefined) folded.document.queueLimit = 77;
    const outcome = applyPage(reader, createPage([buildSnapshot(wrong, { author: 'h2' })], 4));
    expect(listSnapshotTypes(outcome)).toEqual(['wrong']);
  });

  it('should ignore a snapshot with a wrong digest or a version after its end', () => {
    const valid = buildSnapshot(readAll(changes).state, { author: 'h1' });
    const altered: SnapshotRecord[] = [
      { ...valid, digest: 'other' },
      { ...valid, upTo: 2 },
      { ...valid, documents: [] },
    ];
    const reader = createLogReader();
    const outcome = applyPage(reader, createPage(altered, 4));
    expect(listSnapshotTypes(outcome)).toEqual([]);
    expect(reader.isComplete).toEqual(false);
  });

  it('should not adopt a snapshot that lacks a version in force at this node', () => {
    const old = structuredClone(readAll(changes.slice(0, 1)).state);
    old.appliedOffset = 3;
    const reader = createLogReader();
    const knownVersions = new Map([['contracts', { version: 3 }]]);
    const outcome = applyPage(reader, createPage([buildSnapshot(old, { author: 'h1' })], 4), { knownVersions });
    expect(listSnapshotTypes(outcome)).toEqual(['wrong']);
    expect(reader.isComplete).toEqual(false);
  });

  it('should restart without a wrong snapshot when a later one refutes it', () => {
    const complete = readAll(changes);
    const wrong = structuredClone(complete.state);
    wrong.documents.clear();
    const right = buildSnapshot(complete.state, { author: 'h2', refutes: [4] });
    const page = createPage([buildSnapshot(wrong, { author: 'h1' }), right, createChange('d', 3)], 4);
    const reader = createLogReader();
    applyPage(reader, { ...page, entries: page.entries.slice(0, 1) });
    expect(getVersion(reader)).toEqual(undefined);
    applyPage(reader, page);
    expect(reader.readUpTo).toEqual(0);
    applyPage(reader, page);
    expect(getVersion(reader)).toEqual(6);
  });

  it('should confirm an adopted state by a snapshot of another author, not of the same author or of itself', () => {
    const complete = readAll(changes);
    const createBy = (author: string): SnapshotRecord => buildSnapshot(complete.state, { author });
    const reader = createLogReader();
    applyPage(reader, createPage([createBy('h1'), createBy('h1'), createBy('me')], 4), { self: 'me' });
    expect(reader.isConfirmed).toEqual(false);
    applyPage(reader, { ...createPage([createBy('h2')], 7), oldestOffset: 4 }, { self: 'me' });
    expect(reader.isConfirmed).toEqual(true);
  });

  it('should not apply a page of a log that ends before an offset already read', () => {
    const reader = readAll(changes);
    const outcome = applyPage(reader, createPage([createChange('z', 0, { service: 'other' })]));
    expect(outcome.type).toEqual('restarted');
    expect(getVersion(reader, 'other')).toEqual(undefined);
  });

  it('should restore the state from the documents of a peer only if they cover the expired records', () => {
    const { documents } = readAll(changes).state;
    const reader = createLogReader();
    applyPage(reader, createPage([createChange('d', 3)], 4));
    expect(applyPeerState(reader, documents, 2)).toEqual(undefined);
    expect(reader.isComplete).toEqual(false);
    expect(applyPeerState(reader, documents, 3)?.map(({ type }) => type)).toEqual(['accepted']);
    expect(getVersion(reader)).toEqual(4);
  });

  it('should bound the buffered records and then require a snapshot that covers the dropped ones', () => {
    const early = buildSnapshot(readAll(changes).state, { author: 'h1' });
    const reader = createLogReader();
    applyPage(reader, createPage([...Array(20).fill('filler'), early], 4), { maxBuffered: 10 });
    expect(reader.bufferedEntries.length).toEqual(10);
    expect(reader.isComplete).toEqual(false);
  });

  it('should reach the same state from the start of the log and from a snapshot', () => {
    const values = [...changes, createChange('b', 1), createChange('e', 3), createChange('e', 3)];
    const complete = readAll(values);
    for (let end = 1; end <= 3; end++) {
      const snapshot = buildSnapshot(readAll(changes.slice(0, end)).state, { author: 'h1' });
      const reader = createLogReader();
      applyPage(reader, createPage([...values.slice(end), snapshot], end + 1));
      expect([...reader.state.documents]).toEqual([...complete.state.documents]);
      expect(reader.state.decided).toEqual(complete.state.decided);
    }
  });
});
