import { beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { buildRoute, buildRouteConfiguration, createRequestFleet } from '../fixtures/requestFleet.js';
import type { RequestFleet } from '../fixtures/requestFleet.js';

const hosts = [
  { host: 'a1', dataCenter: 'd1', service: 'stock' },
  { host: 'a2', dataCenter: 'd1', service: 'orders' },
];
const configuration = buildRouteConfiguration(1, [buildRoute('check', 'stock')]);
/** Time within which the next heartbeats of the real target show that it is there (ms). */
const RECOVERY_MS = 10_000;

/** Messages of other senders, or of an earlier target that arrive late, with the service and the address of the host. */
describe('a message that is not from the target of the host', () => {
  let fleet: RequestFleet;
  beforeEach(() => {
    fleet = createRequestFleet({ hosts, configuration });
  });

  function verifyService(): void {
    const statuses = ['a1', 'a2'].map((host) => {
      const sent = fleet.send(host);
      fleet.clock.advance(200);
      return sent.answer?.status;
    });
    expect(statuses).toEqual([200, 200]);
  }

  // Guards against a leave without an id that publishes a record which no other node accepts.
  it('should have no effect if it is a leave with an id that no target can have', () => {
    fleet.killNode('a1');
    const node = fleet.startNode('a1');
    node.receiveLeave('', () => undefined);
    node.receiveLeave('i\r\nx: 1', () => undefined);
    expect(node.board.read('target').phase).toEqual('none');
    fleet.clock.advance(RECOVERY_MS);
    verifyService();
  });
});
