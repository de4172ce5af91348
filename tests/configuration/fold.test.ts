import { describe, it } from 'node:test';
import { expect } from 'earl';
import {
  applyEntry,
  createFoldState,
  DECISION_RETENTION_OFFSETS,
  MAX_SERVICES,
} from '../../src/policy/configurationFold.js';
import type { FoldState, Verdict } from '../../src/policy/configurationFold.js';
import { createChange, createDocument } from '../fixtures/changes.js';

function applyValues(state: FoldState, values: readonly unknown[]): Verdict[] {
  return values.map((value) => applyEntry(state, { offset: state.appliedOffset + 1, appendedAtMs: 0, value }));
}

describe('fold of the configuration log', () => {
  it('should accept the first of two changes based on the same version, and reject the other with the version in force', () => {
    const state = createFoldState();
    const verdicts = applyValues(state, [
      createChange('first', 0),
      createChange('second', 1, { operator: 'anna' }),
      createChange('third', 1, { operator: 'ben' }),
    ]);
    expect(verdicts.map(({ type }) => type)).toEqual(['accepted', 'accepted', 'rejected']);
    const last = verdicts[2];
    expect(last?.type === 'rejected' ? last.winner : undefined).toEqual(
      expect.subset({ version: 2, changeId: 'second', operator: 'anna' }),
    );
    expect(last?.type === 'rejected' ? last.reason : '').toEqual(
      'the change is based on version 1, but version 2 (change second by anna) is in force',
    );
  });

  it('should report a repeated change id with its first decision', () => {
    const state = createFoldState();
    const accepted = createChange('a', 0);
    const rejected = createChange('b', 0);
    const verdicts = applyValues(state, [accepted, accepted, rejected, rejected]);
    expect(verdicts.map(({ type }) => type)).toEqual(['accepted', 'repeated', 'rejected', 'repeated']);
    expect(verdicts.map((verdict) => (verdict.type === 'repeated' ? verdict.first : undefined))).toEqual([
      undefined,
      { offset: 1, isAccepted: true },
      undefined,
      { offset: 3, isAccepted: false },
    ]);
  });

  it('should ignore records of unknown kinds, for compatibility with later versions', () => {
    const state = createFoldState();
    const values = ['text', null, { kind: 'later' }, { kind: 'change', changeId: 'x' }, createChange('y', 0.5)];
    expect(applyValues(state, values).map(({ type }) => type)).toEqual(Array(values.length).fill('ignored'));
    expect(state.decided.size).toEqual(0);
  });

  it('should reject a document that is invalid, too large or of another service', () => {
    const state = createFoldState();
    const large = { ...createDocument('contracts'), drainedHosts: Array(400).fill('h'.repeat(250)) };
    const verdicts = applyValues(state, [
      createChange('a', 0, { document: { service: 'contracts' } }),
      createChange('b', 0, { document: large }),
      createChange('c', 0, { document: createDocument('other') }),
    ]);
    const reasons = verdicts.map((verdict) => (verdict.type === 'rejected' ? verdict.reason : verdict.type));
    expect(reasons).toEqual([
      expect.includes('operations: found nothing'),
      expect.includes('allowed: at most 65536 bytes'),
      'service: found "other", allowed: "contracts"',
    ]);
    expect(state.documents.size).toEqual(0);
  });

  it('should reject a new service beyond the maximum number of services', () => {
    const state = createFoldState();
    const services = Array.from({ length: MAX_SERVICES + 1 }, (_, index) => `s${index}`);
    const verdicts = applyValues(
      state,
      services.map((service) => createChange(`id-${service}`, 0, { service })),
    );
    expect(verdicts.filter(({ type }) => type === 'accepted').length).toEqual(MAX_SERVICES);
    expect(verdicts.at(-1)?.type).toEqual('rejected');
  });

  it('should ignore a base version after the end of the log, so that evicted change ids do not affect verdicts', () => {
    const complete = createFoldState();
    const future = createChange('x', 2, { service: 'new' });
    applyValues(complete, [future, createChange('y', 0, { service: 'new' })]);
    const evicted = {
      ...structuredClone(complete),
      decided: new Map<string, { offset: number; isAccepted: boolean }>(),
    };
    const verdicts = [complete, evicted].map((state) => applyValues(state, [future])[0]?.type);
    expect(verdicts).toEqual(['accepted', 'accepted']);
  });

  it('should evict change ids after a fixed number of offsets without applying a change twice', () => {
    const state = createFoldState();
    const first = createChange('first', 0);
    applyValues(state, [first, createChange('second', 1), ...Array(DECISION_RETENTION_OFFSETS).fill('filler')]);
    expect(state.decided.size).toEqual(0);
    expect(state.replaced.length).toEqual(0);
    expect(applyValues(state, [first])[0]?.type).toEqual('rejected');
    expect(state.documents.get('contracts')?.version).toEqual(2);
  });
});
