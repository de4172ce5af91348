import { beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createLinkBudget } from '../../src/control/requests/linkBudget.js';
import type { BudgetedLink, LinkBudget } from '../../src/control/requests/linkBudget.js';
import { createFakeClock } from '../../src/core/fakeClock.js';
import type { FakeClock } from '../../src/core/fakeClock.js';

const MAX_BYTES = 100_000;

describe('the budget of incoming links', () => {
  let clock: FakeClock;
  let budget: LinkBudget;
  let closed: string[];
  let reports: string[];
  beforeEach(() => {
    clock = createFakeClock();
    closed = [];
    reports = [];
    budget = createLinkBudget({
      clock,
      limits: { maxConnections: 3, maxHeldBytes: MAX_BYTES },
      reportEvictions: (listener, { reason, count }) => reports.push(`${listener} ${reason} ${count}`),
    });
  });

  function open(name: string, isInUse = false): BudgetedLink {
    const link: BudgetedLink = budget.add({
      isInUse: () => isInUse,
      close: () => {
        closed.push(name);
        link.remove();
      },
    });
    return link;
  }

  // Guards against connections that stay open without end and never say who opened them.
  it('should close a connection without a hello after some time, and keep one with it', () => {
    open('silent');
    open('peer', true).acceptHello();
    clock.advance(6000);
    expect(closed).toEqual(['silent']);
  });

  // Guards against a crowd that takes the place of links to known peers.
  it('should close connections without a hello for new ones, but never links in use', () => {
    for (const name of ['a', 'b', 'c', 'd']) open(name, true).acceptHello();
    for (const name of ['1', '2', '3', '4', '5']) open(name);
    budget.reportEvictions();
    budget.reportEvictions();
    expect([closed, reports]).toEqual([['1', '2'], ['newLinks connections 2']]);
  });

  // Guards against links that a peer has replaced and that stay open.
  it('should close links that are not in use for new ones', () => {
    open('replaced').acceptHello();
    for (const name of ['a', 'b']) open(name, true).acceptHello();
    open('c', true).acceptHello();
    expect(closed).toEqual(['replaced']);
  });

  // Guards against unfinished frames of strangers that push out links of peers, and against a bound on each side alone.
  it('should close what holds most and moves least, strangers among themselves', () => {
    const peer = open('peer', true);
    peer.acceptHello();
    peer.changeHeldBytes(MAX_BYTES - 1);
    open('large').changeHeldBytes(20_000);
    open('small').changeHeldBytes(6000);
    expect(closed).toEqual(['large']);
    const other = open('other', true);
    other.acceptHello();
    clock.advance(1000);
    other.observeFrame();
    other.changeHeldBytes(50_000);
    expect(closed).toEqual(['large', 'peer']);
  });
});
