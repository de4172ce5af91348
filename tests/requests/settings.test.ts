import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRequestFleet } from '../fixtures/requestFleet.js';

describe('changed settings of a request node', () => {
  it('should be logged with the previous and the new value of each changed field', () => {
    const fleet = createRequestFleet({ hosts: [{ host: 'a1', dataCenter: 'd1', service: 'stock' }] });
    const board = fleet.nodes.get('a1')?.board;
    const current = board?.read('settings').current;
    if (current !== undefined)
      board?.post('settings', { ...current, bounds: { ...current.bounds, drainMs: 700 }, service: 'orders' });
    fleet.clock.advance(200);
    const line = fleet.lines.find(({ outcome }) => outcome === 'settings reloaded');
    expect(line?.inputs?.changed).toEqual('service: stock -> orders, bounds.drainMs: 2000 -> 700');
  });

  // Guards against settings that never come into force, since a field that this version ignores cannot be logged.
  it('should apply beside a new field that has no text', () => {
    const fleet = createRequestFleet({ hosts: [{ host: 'a1', dataCenter: 'd1', service: 'stock' }] });
    const board = fleet.nodes.get('a1')?.board;
    const current = board?.read('settings').current;
    const changed = { ...current, service: 'orders', unknown: { toString: 1 } } as never;
    board?.post('settings', changed);
    expect(board?.read('settings').current.service).toEqual('orders');
    fleet.clock.advance(200);
    const line = fleet.lines.find(({ outcome }) => outcome === 'settings reloaded');
    expect(line?.inputs?.changed).toEqual('service: stock -> orders, unknown: undefined -> {"toString":1}');
  });
});
