import { beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { buildRoute, buildRouteConfiguration, createRequestFleet, getTarget } from '../fixtures/requestFleet.js';
import type { RequestFleet } from '../fixtures/requestFleet.js';

const hosts = [{ host: 'a1', dataCenter: 'd1', service: 'stock' }];
const configuration = buildRouteConfiguration(1, [buildRoute('check', 'stock')]);
const FOREIGN = { id: 'i-foreign', startedAtMs: 9_000_000_000_000, sequence: 1 };

/** Guards against a heartbeat with a later start that keeps the target at the host's address out of service for good. */
describe('a target at whose address another one answers', () => {
  let fleet: RequestFleet;
  beforeEach(() => {
    fleet = createRequestFleet({ hosts, configuration });
  });

  function send(): number | undefined {
    const sent = fleet.send('a1');
    fleet.clock.advance(200);
    return sent.answer?.status;
  }
  const readTargetId = (): string | undefined => fleet.nodes.get('a1')?.board.read('target').id;

  it('should give way to the next heartbeat of the real target', () => {
    fleet.sendHeartbeat('a1', FOREIGN);
    send();
    fleet.sendHeartbeat('a1');
    expect([send(), readTargetId()]).toEqual([200, 'i-a1']);
  });

  it('should not take the place of a target that answers again', () => {
    fleet.sendHeartbeat('a1', FOREIGN);
    send();
    fleet.sendHeartbeat('a1');
    fleet.sendHeartbeat('a1', { ...FOREIGN, sequence: 2 });
    expect([send(), readTargetId()]).toEqual([200, 'i-a1']);
  });

  it('should be accepted once the target in its place was refuted in turn', () => {
    fleet.sendHeartbeat('a1', FOREIGN);
    send();
    fleet.sendHeartbeat('a1');
    Object.assign(getTarget(fleet, 'a1'), { id: FOREIGN.id, startedAtMs: FOREIGN.startedAtMs, sequence: 2 });
    send();
    fleet.sendHeartbeat('a1');
    expect([send(), readTargetId()]).toEqual([200, FOREIGN.id]);
  });

  // Guards against requests to a target that has left, when a late heartbeat of it follows a refuted target.
  it('should not bring back a target that was leaving before it', () => {
    fleet.sendHeartbeat('a1', { state: 'draining' });
    fleet.sendHeartbeat('a1', FOREIGN);
    send();
    fleet.sendHeartbeat('a1', { state: 'ready' });
    expect(send()).toEqual(undefined);
    expect(fleet.nodes.get('a1')?.board.read('target').phase).toEqual('draining');
  });

  it('should not let an older target in while it answers', () => {
    const target = getTarget(fleet, 'a1');
    fleet.sendHeartbeat('a1', { id: 'i-older', startedAtMs: target.startedAtMs - 1 });
    expect([send(), readTargetId()]).toEqual([200, 'i-a1']);
  });
});
