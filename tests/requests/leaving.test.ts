import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRequestFleet } from '../fixtures/requestFleet.js';
import { listRuns, sendPeriodically, stockConfiguration, stockHosts } from '../fixtures/stockFleet.js';

describe('a target that leaves', () => {
  it('should not receive requests any more once its leave is acknowledged', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration });
    const target = fleet.targets.get('a2');
    if (target !== undefined) target.state = 'draining';
    expect(fleet.sendHeartbeat('a2')).toEqual(true);
    const before = listRuns(fleet, 'a2').length;
    sendPeriodically(fleet, 500);
    expect(listRuns(fleet, 'a2').length).toEqual(before);
    expect(listRuns(fleet, 'a3').length).toEqual(50);
  });

  it('should have its queued requests served by other targets', () => {
    const fleet = createRequestFleet({ hosts: [...stockHosts], configuration: stockConfiguration });
    for (const host of ['a2', 'a3']) {
      const target = fleet.targets.get(host);
      if (target !== undefined) target.durationMs = 200;
    }
    const sent = Array.from({ length: 12 }, () => fleet.send('a1'));
    fleet.clock.advance(20);
    let isAcknowledged = false;
    fleet.nodes.get('a2')?.receiveLeave('i-a2', () => {
      isAcknowledged = true;
    });
    fleet.clock.advance(990);
    expect([isAcknowledged, sent.filter(({ answer }) => answer?.status === 200).length]).toEqual([true, 12]);
  });

  it('should not become ready again by a heartbeat that was sent before its leave', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration });
    const target = fleet.targets.get('a2');
    if (target !== undefined) target.state = 'draining';
    fleet.sendHeartbeat('a2');
    fleet.sendHeartbeat('a2', { sequence: 1, state: 'ready' });
    expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('draining');
  });

  it('should be replaced by a later start with the same id', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration });
    fleet.nodes.get('a2')?.receiveLeave('i-a2', () => undefined);
    fleet.clock.advance(1000);
    fleet.sendHeartbeat('a2', { sequence: 1, startedAtMs: 1_900_000_000_000 });
    expect(fleet.nodes.get('a2')?.board.read('target').phase).toEqual('ready');
  });

  // Guards against an acknowledgement that is forgotten when all processes end, while only their memory holds the leave.
  it('should be obeyed at once, but acknowledged only when the store has its leave, whatever its peers hold', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration });
    fleet.store.blockedHosts.add('*');
    const sendLeave = (): boolean => {
      let isAcknowledged = false;
      fleet.nodes.get('a2')?.receiveLeave('i-a2', () => {
        isAcknowledged = true;
      });
      fleet.clock.advance(999);
      return isAcknowledged;
    };
    const before = listRuns(fleet, 'a2').length;
    fleet.send('a2');
    expect([sendLeave(), listRuns(fleet, 'a2').length]).toEqual([false, before]);
    fleet.clock.advance(5000);
    sendPeriodically(fleet, 500);
    expect([sendLeave(), listRuns(fleet, 'a2').length]).toEqual([false, before]);
    fleet.store.blockedHosts.clear();
    fleet.clock.advance(1000);
    expect(sendLeave()).toEqual(true);
  });

  // Guards against each announcement that starts a series of retries of its own at a store that is away.
  it('should be written again at one pace while the store is away, however often it is announced', () => {
    const fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration });
    fleet.store.blockedHosts.add('*');
    for (let index = 0; index < 10; index++) {
      fleet.nodes.get('a2')?.receiveLeave('i-a2', () => undefined);
      fleet.clock.advance(100);
    }
    const before = fleet.store.calls.writes;
    fleet.clock.advance(10_000);
    expect(fleet.store.calls.writes - before <= 50).toEqual(true);
  });

  // Guards against a second announcement that is acknowledged because the first one was received.
  it('should not be acknowledged by repeating what is not durable yet', () => {
    const fleet = createRequestFleet({ hosts: stockHosts.slice(0, 2), configuration: stockConfiguration });
    fleet.store.blockedHosts.add('*');
    const target = fleet.targets.get('a2');
    if (target !== undefined) target.state = 'draining';
    expect([fleet.sendHeartbeat('a2'), fleet.sendHeartbeat('a2')]).toEqual([false, false]);
    fleet.store.blockedHosts.clear();
    fleet.clock.advance(1000);
    expect(fleet.sendHeartbeat('a2')).toEqual(true);
  });
});
