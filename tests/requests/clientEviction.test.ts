import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createClientBudget } from '../../src/control/requests/clientBudget.js';
import type { BudgetedClient } from '../../src/control/requests/clientBudget.js';
import { computeClientBytes } from '../../src/policy/clientBytes.js';
import { chooseDisplaced, selectHeaviest } from '../../src/policy/clientEviction.js';
import type { ClientUse } from '../../src/policy/clientEviction.js';

const NOW_MS = 10_000;
const MEGABYTE = 1024 * 1024;

function buildUse(change: Partial<ClientUse & { name: string }>): ClientUse & { name: string } {
  return { name: 'a', standing: 'serving', heldBytes: 1000, movedAtMs: NOW_MS, ...change };
}

describe('the eviction of client connections', () => {
  // Guards against a bound that hits clients whose requests move, instead of those that hold memory and stand still.
  it('should select the connections that hold most and move least, and no more than needed', () => {
    const connections = [
      buildUse({ name: 'moves', heldBytes: 60_000 }),
      buildUse({ name: 'stalls', heldBytes: 50_000, movedAtMs: 0 }),
      buildUse({ name: 'stallsToo', heldBytes: 40_000, movedAtMs: 0 }),
      buildUse({ name: 'holdsLittle', heldBytes: 100, movedAtMs: 0 }),
    ];
    const selected = selectHeaviest(connections, { heldBytes: 150_100, maxBytes: 120_000, nowMs: NOW_MS });
    expect(selected.map(({ name }) => name)).toEqual(['stalls']);
    expect(selectHeaviest(connections, { heldBytes: 120_000, maxBytes: 120_000, nowMs: NOW_MS })).toEqual([]);
  });

  it('should displace what is closing first, then what sent no request, then what is idle, each the longest first', () => {
    const unproven = buildUse({ name: 'unproven', standing: 'unproven', movedAtMs: NOW_MS - 10 });
    const older = buildUse({ name: 'older', standing: 'unproven', movedAtMs: NOW_MS - 20 });
    const idle = buildUse({ name: 'idle', standing: 'idle', movedAtMs: 0 });
    const closing = buildUse({ name: 'closing', standing: 'closing' });
    expect(chooseDisplaced([unproven, older, idle, closing], { nowMs: NOW_MS })?.name).toEqual('closing');
    expect(chooseDisplaced([unproven, idle, older], { nowMs: NOW_MS })?.name).toEqual('older');
    expect(chooseDisplaced([idle, buildUse({ name: 'serving', movedAtMs: 0 })], { nowMs: NOW_MS })?.name).toEqual(
      'idle',
    );
  });

  // Guards against a request that is cut off, or lost with its connection, because a new connection arrives.
  it('should displace neither a connection with a running request nor one that has just become idle', () => {
    const recent = buildUse({ standing: 'idle', movedAtMs: NOW_MS - 500 });
    expect(chooseDisplaced([recent, buildUse({ movedAtMs: 0 })], { nowMs: NOW_MS })).toEqual(undefined);
  });

  it('should derive the default bound from the lowest memory limit', () => {
    expect(computeClientBytes([4096 * MEGABYTE, 200 * MEGABYTE])).toEqual(12.5 * MEGABYTE);
    expect(computeClientBytes([16 * MEGABYTE])).toEqual(8 * MEGABYTE);
    expect(computeClientBytes([4096 * MEGABYTE])).toEqual(64 * MEGABYTE);
  });

  // Guards against a process that exceeds its machine by buffers that were dropped and not collected yet.
  it('should leave room for the node, its connections and uncollected buffers on a machine of 250 MB', () => {
    const nodeBytes = 100 * MEGABYTE;
    const connectionBytes = 64 * MEGABYTE;
    const uncollectedBytes = 64 * MEGABYTE;
    const clientBytes = computeClientBytes([200 * MEGABYTE, 250 * MEGABYTE]);
    expect(clientBytes + nodeBytes + connectionBytes + uncollectedBytes <= 250 * MEGABYTE).toEqual(true);
  });
});

describe('the budget of client connections', () => {
  function createClient(change: Partial<ClientUse>): BudgetedClient & { isDestroyed: boolean } {
    const client = { ...buildUse(change), isDestroyed: false, destroy: () => (client.isDestroyed = true) };
    return client;
  }

  // Guards against closing ever more connections while the sockets of the first ones are still about to close.
  it('should close as many connections as needed and count the others only', () => {
    const budget = createClientBudget({ now: () => NOW_MS, maxHeldBytes: 100_000, maxConnections: 100 });
    const clients = Array.from({ length: 4 }, () => createClient({ heldBytes: 0, movedAtMs: 0 }));
    for (const client of clients) budget.add(client);
    for (const client of clients) {
      Object.assign(client, { heldBytes: 30_000 });
      budget.change(client, 30_000);
    }
    expect(clients.filter(({ isDestroyed }) => isDestroyed).length).toEqual(2);
    expect([budget.heldBytes, budget.connections.size, budget.closedCounts.get('heldBytes')]).toEqual([60_000, 2, 2]);
    for (const client of clients) budget.remove(client);
    expect(budget.heldBytes).toEqual(0);
  });

  it('should close the least useful connection for a new one when there are too many', () => {
    const budget = createClientBudget({ now: () => NOW_MS, maxHeldBytes: 100_000, maxConnections: 2 });
    const silent = createClient({ standing: 'unproven', heldBytes: 0 });
    for (const client of [createClient({ heldBytes: 0 }), silent, createClient({ heldBytes: 0 })]) budget.add(client);
    expect([silent.isDestroyed, budget.connections.size, budget.closedCounts.get('connections')]).toEqual([true, 2, 1]);
  });
});
