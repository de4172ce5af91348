import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createFakeFleet } from '../../src/bench/fakes/fakeFleet.js';
import type { FakeHostOptions } from '../../src/bench/fakes/fakeFleet.js';
import { readSample } from '../fixtures/sampleFleet.js';

const services = ['order-intake', 'contracts', 'scheduling', 'depot-stock'];

function runBrowses(seed: number): string[] {
  const hosts: FakeHostOptions[] = ['d1', 'd2'].flatMap((dataCenter) =>
    services.map((service, index) => {
      const next = services[index + 1];
      const downstream = next === undefined ? [] : [[{ service: next, operation: 'browse' }]];
      return {
        host: `${dataCenter}-${service}`,
        dataCenter,
        service,
        target: { slots: 4, operations: { browse: { meanMs: 5, downstream } } },
      };
    }),
  );
  const documents = services.map((service) => readSample('kaltfracht', service));
  const fleet = createFakeFleet({ seed, hosts, documents });
  fleet.clock.advance(2000);
  const results: string[] = [];
  const entry = fleet.hosts.get('d1-contracts');
  for (let index = 0; index < 20; index++) {
    const body = new TextEncoder().encode(`body ${index}`);
    entry?.node.handleCallerCall(
      { service: 'order-intake', operation: 'browse', callerKey: 'c', contentType: 'text/plain', body },
      (result) => {
        const text = result.type === 'answer' ? new TextDecoder().decode(result.body) : result.failure.kind;
        results.push(`${fleet.clock.now()} ${index} ${text}`);
      },
    );
  }
  fleet.clock.advance(5000);
  return results;
}

describe('fake fleet', () => {
  it('should complete requests through a chain of four services with the real controllers', () => {
    const results = runBrowses(1);
    expect(results.length).toEqual(20);
    for (const result of results) expect(result).toEqual(expect.regex(/^[\d.]+ (\d+) body \1$/));
  });

  it('should produce the same results for the same seed, so that benches are reproducible', () => {
    expect(runBrowses(7)).toEqual(runBrowses(7));
  });
});
