import { beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createRequestFleet, getTarget } from '../fixtures/requestFleet.js';
import type { RequestFleet } from '../fixtures/requestFleet.js';
import { listRuns, sendPeriodically, stockConfiguration, stockHosts } from '../fixtures/stockFleet.js';

const EARLIER_START_MS = 1_500_000_000_000;
const LATER_START_MS = 1_650_000_000_000;
const LAST_START_MS = 1_660_000_000_000;
/** How late a message of a target arrives. */
const LATE_MS = 3500;

describe('the leave of one start of a target', () => {
  let fleet: RequestFleet;
  beforeEach(() => {
    fleet = createRequestFleet({ hosts: stockHosts, configuration: stockConfiguration, sendsHeartbeats: false });
    for (const host of ['a2', 'a3']) for (const sequence of [1, 2]) fleet.sendHeartbeat(host, { sequence });
  });

  function sendLeave(id: string, startedAtMs?: number): boolean {
    let isAcknowledged = false;
    const acknowledge = (): void => {
      isAcknowledged = true;
    };
    fleet.nodes.get('a2')?.receiveLeave(id, acknowledge, startedAtMs);
    fleet.clock.advance(900);
    return isAcknowledged;
  }
  /** Puts another start in the place of the target of `a2`, of which no heartbeat has arrived yet. */
  function startTarget(id: string, startedAtMs: number): void {
    Object.assign(getTarget(fleet, 'a2'), { id, startedAtMs, sequence: 0 });
  }
  function restartAll(): void {
    for (const { host } of stockHosts) fleet.killNode(host);
    fleet.clock.advance(300);
    for (const { host } of stockHosts) fleet.startNode(host);
    fleet.clock.advance(2000);
  }
  function countRuns(): number {
    const before = listRuns(fleet, 'a2').length;
    sendPeriodically(fleet, 500);
    return listRuns(fleet, 'a2').length - before;
  }

  // Guards against requests to a target whose leave was acknowledged before its first heartbeat arrived.
  for (const [id, hasLeft] of [
    ['i-a2', true],
    ['i-a2', false],
    ['i-new', true],
    ['i-new', false],
  ] as const)
    for (const isKilled of [false, true]) {
      const before = hasLeft ? 'after that of the earlier one' : 'while the earlier one is in place';
      it(`should hold for ${id} when it arrives before its heartbeats, ${before}${isKilled ? ', and all nodes are killed' : ''}`, () => {
        if (hasLeft) expect(sendLeave('i-a2', 1_600_000_000_000)).toEqual(true);
        startTarget(id, LATER_START_MS);
        expect(sendLeave(id, LATER_START_MS)).toEqual(true);
        if (isKilled) restartAll();
        fleet.clock.advance(LATE_MS);
        for (const sequence of [1, 2, 3]) fleet.sendHeartbeat('a2', { id, sequence });
        expect(countRuns()).toEqual(0);
      });
    }

  // Guards against a late message that brings back the first of two starts which left unseen, or hides the one after them.
  it('should hold for each of several starts, and not for the next one', () => {
    startTarget('i-new', LATER_START_MS);
    expect(sendLeave('i-new', LATER_START_MS)).toEqual(true);
    startTarget('i-newer', LAST_START_MS);
    expect(sendLeave('i-newer', LAST_START_MS)).toEqual(true);
    for (const [id, startedAtMs] of [
      ['i-newer', LAST_START_MS],
      ['i-new', LATER_START_MS],
    ] as const)
      for (const sequence of [1, 2, 3]) fleet.sendHeartbeat('a2', { id, startedAtMs, sequence });
    expect(countRuns()).toEqual(0);
    startTarget('i-last', LAST_START_MS + 1000);
    for (const sequence of [1, 2]) fleet.sendHeartbeat('a2', { id: 'i-last', sequence });
    expect(countRuns()).toBeGreaterThan(0);
  });

  // Guards against a late leave of an earlier start that takes the present one out of service.
  for (const isNamed of [true, false])
    it(`should not concern a later start with the same id${isNamed ? '' : ', if it names no start and arrives late'}`, () => {
      startTarget('i-a2', LATER_START_MS);
      fleet.sendHeartbeat('a2', { sequence: 1 });
      sendLeave('i-a2', isNamed ? EARLIER_START_MS : undefined);
      expect(countRuns()).toBeGreaterThan(0);
      restartAll();
      fleet.sendHeartbeat('a2', { sequence: 2 });
      expect(countRuns()).toBeGreaterThan(0);
    });

  // Guards against a target that cannot leave, since its leave names no start and another start had its id.
  it('should be obeyed without a start time once no message of the earlier start can arrive any more', () => {
    startTarget('i-a2', LATER_START_MS);
    fleet.sendHeartbeat('a2', { sequence: 1 });
    expect(sendLeave('i-a2')).toEqual(false);
    fleet.clock.advance(5000);
    expect([sendLeave('i-a2'), countRuns()]).toEqual([true, 0]);
  });

  // Guards against a record of the next process that no longer says which starts have left.
  it('should hold after the start was replaced and all nodes were killed twice', () => {
    expect(sendLeave('i-a2', 1_600_000_000_000)).toEqual(true);
    startTarget('i-new', LATER_START_MS);
    for (const sequence of [1, 2]) fleet.sendHeartbeat('a2', { id: 'i-new', sequence });
    restartAll();
    restartAll();
    const known = fleet.nodes
      .get('a2')
      ?.board.read('members')
      .self.departures?.map(({ id }) => id);
    expect(known).toEqual(['i-a2']);
    fleet.nodes.get('a2')?.board.post('target', { type: 'refuted', id: 'i-new', startedAtMs: LATER_START_MS });
    startTarget('i-a2', 1_600_000_000_000);
    for (const sequence of [3, 4, 5]) fleet.sendHeartbeat('a2', { id: 'i-a2', sequence });
    expect(countRuns()).toEqual(0);
  });
});
