import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createFakeFleet } from '../../src/bench/fakes/fakeFleet.js';
import type { CallResult } from '../../src/schema/call.js';
import { readSample } from '../fixtures/sampleFleet.js';

describe('names that all objects have', () => {
  // Guards against a call without priority and deadline, taken from a property that the document does not have.
  for (const operation of ['constructor', 'toString', '__proto__', 'hasOwnProperty']) {
    it(`should be no operation of a service: ${operation}`, () => {
      const fleet = createFakeFleet({
        seed: 1,
        hosts: [{ host: 'd1-0', dataCenter: 'd1' }],
        documents: [readSample('kaltfracht', 'depot-stock')],
      });
      fleet.clock.advance(2000);
      const results: CallResult[] = [];
      const call = { callerKey: 'c', contentType: 'text/plain', body: new Uint8Array() };
      fleet.hosts
        .get('d1-0')
        ?.node.handleCallerCall({ ...call, service: 'depot-stock', operation }, (result) => results.push(result));
      fleet.clock.advance(5000);
      expect(results).toEqual([
        expect.subset({ type: 'refusal', failure: expect.subset({ kind: 'unknownOperation' }) }),
      ]);
    });
  }

  // Guards against a limit of NaN, computed from a property that the table of durations does not have.
  it('should be usable as the name of an operation', () => {
    const document = readSample('kaltfracht', 'depot-stock');
    const [operation] = Object.values(document.operations);
    const target = { slots: 4, operations: { constructor: { meanMs: 5, downstream: [] } } };
    const fleet = createFakeFleet({
      seed: 1,
      hosts: [{ host: 'd1-0', dataCenter: 'd1', service: 'depot-stock', target }],
      documents: [{ ...document, operations: { ...document.operations, constructor: operation } as never }],
    });
    fleet.clock.advance(2000);
    const node = fleet.hosts.get('d1-0')?.node;
    const call = { callerKey: 'c', contentType: 'text/plain', body: new Uint8Array() };
    for (let count = 0; count < 50; count++) {
      node?.handleCallerCall({ ...call, service: 'depot-stock', operation: 'constructor' }, () => undefined);
      fleet.clock.advance(20);
    }
    const ownTimeMs = node?.board.read('limits').ownTimeMs;
    expect(Object.entries(ownTimeMs ?? {})).toEqual([['constructor', expect.a(Number)]]);
    expect(ownTimeMs?.['constructor'] ?? 0).toBeGreaterThan(0);
  });
});
