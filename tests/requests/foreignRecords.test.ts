import { beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import type { NodeMember } from '../../src/schema/nodeMember.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';
import type { RequestFleet } from '../fixtures/requestFleet.js';

const hosts = ['a1', 'a2', 'a3'].map((host) => ({
  host,
  dataCenter: 'd1',
  service: host === 'a1' ? 'stock' : 'orders',
}));
const configuration = buildRouteConfiguration(1, [buildRoute('check', 'stock')]);
/** Time within which the nodes read the store and write their records (ms). */
const RECOVERY_MS = 10_000;

/** Records of the store that neither the node of the host nor an earlier process of it wrote. */
describe('a record of another writer', () => {
  let fleet: RequestFleet;
  beforeEach(() => {
    fleet = createRequestFleet({ hosts, configuration });
  });

  const readSelf = (host: string): NodeMember => fleet.nodes.get(host)?.board.read('members').self as NodeMember;
  const findNewest = (host: string): unknown =>
    fleet.store.records.members.filter(({ key }) => key === host).at(-1)?.value;
  function writeRecord(key: string, value: unknown): void {
    fleet.store.write('writer', key, value, () => undefined);
    fleet.clock.advance(RECOVERY_MS);
  }
  /** Verifies that requests of all hosts are served, also after a restart of a node, which reads the newest records. */
  function verifyService(): void {
    for (const restarted of [undefined, 'a3']) {
      if (restarted !== undefined) {
        fleet.killNode(restarted);
        fleet.startNode(restarted);
        fleet.clock.advance(3000);
      }
      const statuses = hosts.map(({ host }) => {
        const sent = fleet.send(host);
        fleet.clock.advance(200);
        return sent.answer?.status;
      });
      expect(statuses).toEqual([200, 200, 200]);
    }
  }

  // Guards against a host that nobody finds, and that forgets what it acknowledged, once all nodes have been restarted.
  for (const value of [{ host: 'a1', service: 5 }, 'text', null]) {
    it(`should be replaced by the node of its host if it is malformed: ${JSON.stringify(value)}`, () => {
      writeRecord('a1', value);
      expect(findNewest('a1')).toEqual(JSON.parse(JSON.stringify(readSelf('a1'))));
      verifyService();
    });
  }

  const changes: [string, Partial<NodeMember>][] = [
    ['another link address', { linkAddress: '10.0.0.77:7000' }],
    ['an unusable link address', { linkAddress: '10.0..1:7000' }],
    ['another service', { service: 'ghost' }],
  ];
  for (const [what, change] of changes) {
    // Guards against a copy of a node's record, changed in one field, that replaces the record at all other nodes.
    it(`should be replaced by the node of its host if it names the running process and ${what}`, () => {
      const self = readSelf('a1');
      writeRecord('a1', { ...self, ...change, revision: self.revision + 1 });
      expect(findNewest('a1')).toEqual(JSON.parse(JSON.stringify(readSelf('a1'))));
      verifyService();
    });
  }

  // Guards against a host that the others remove for good because of a record with its address.
  for (const host of ['ghost', 'a2']) {
    it(`should not keep a host out of service if it names its link address: record of ${host}`, () => {
      const self = readSelf('a1');
      const startedAtMs = self.startedAtMs + 1_000_000;
      writeRecord(host, { ...self, host, incarnation: 'other', startedAtMs });
      verifyService();
    });
  }
});
