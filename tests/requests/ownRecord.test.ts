import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRequestFleet } from '../fixtures/requestFleet.js';

describe('the record of a host in the store', () => {
  // Guards against a host that later processes do not find, since another writer replaced its record.
  for (const value of [undefined, null, { host: 'a1' }]) {
    it(`should be written again by its host when another writer put in its place: ${JSON.stringify(value)}`, () => {
      const hosts = ['a1', 'a2'].map((host) => ({ host, dataCenter: 'd1', service: 'stock' }));
      const fleet = createRequestFleet({ hosts });
      fleet.store.write('a2', 'a1', value, () => undefined);
      fleet.clock.advance(5000);
      const newest = fleet.store.records.members.filter(({ key }) => key === 'a1').at(-1)?.value;
      expect(newest).toEqual(fleet.nodes.get('a1')?.board.read('members').self);
    });
  }
});
