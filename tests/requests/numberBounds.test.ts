import { describe, it } from 'node:test';
import { expect } from 'earl';
import { heartbeatSchema, nodeMemberSchema } from '../../src/schema/nodeMember.js';
import type { Heartbeat, NodeMember } from '../../src/schema/nodeMember.js';
import { compileSchema } from '../../src/schema/validate.js';
import { createRequestFleet } from '../fixtures/requestFleet.js';
import { buildHeartbeat, buildMember } from '../fixtures/requests.js';

describe('numbers that order records and heartbeats', () => {
  // Guards against a host that nobody hears of, since no later start exceeds the one in a record of another writer.
  for (const [startedAtMs, revision] of [
    [2 ** 53, 2 ** 53],
    [1e300, 1e300],
    [1, Number.MAX_VALUE],
  ] as const) {
    it(`should let a host replace a record of its name with the start ${startedAtMs}`, () => {
      const hosts = ['a1', 'a2'].map((host) => ({ host, dataCenter: 'd1', service: 'stock' }));
      const fleet = createRequestFleet({ hosts, settleMs: 0 });
      fleet.store.records.members.push({
        key: 'a1',
        offset: 0,
        value: buildMember({ incarnation: 'other', startedAtMs, revision }),
      });
      fleet.clock.advance(5000);
      const { incarnation } = fleet.nodes.get('a1')?.board.read('members').self ?? buildMember();
      expect(fleet.nodes.get('a2')?.board.read('members').byHost.get('a1')?.incarnation).toEqual(incarnation);
    });
  }

  it('should be exact integers', () => {
    const isMember = (change: Partial<NodeMember>): boolean =>
      compileSchema(nodeMemberSchema).isValid(buildMember(change));
    const isHeartbeat = (change: Partial<Heartbeat>): boolean =>
      compileSchema(heartbeatSchema).isValid(buildHeartbeat(change));
    const tooLarge = 2 ** 53;
    expect([isMember({ startedAtMs: tooLarge }), isMember({ revision: tooLarge })]).toEqual([false, false]);
    expect([isHeartbeat({ startedAtMs: tooLarge }), isHeartbeat({ sequence: tooLarge })]).toEqual([false, false]);
    expect([isMember({}), isHeartbeat({}), isHeartbeat({ slots: 1e7 })]).toEqual([true, true, false]);
  });
});
