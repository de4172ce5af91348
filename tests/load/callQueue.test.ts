import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { RunningCall } from '../../src/control/calls.js';
import {
  createCallQueue,
  dequeueCall,
  enqueueCall,
  findOldestCall,
  removeQueuedCall,
} from '../../src/control/callQueue.js';
import { recordRequest, RESEND_WINDOW_MS } from '../../src/control/recentRequests.js';
import { chooseNextPriority } from '../../src/policy/queueOrder.js';

interface CallOptions {
  priority?: string;
  worth?: number;
  depth?: number;
  callerKey?: string;
  token?: string;
}

function createCall(options: CallOptions = {}): RunningCall {
  const { priority = 'routine', worth = 1, depth = 0, callerKey = 'c', token = '' } = options;
  const call = { token, state: 'queued', arrivedAtMs: 0, envelope: { priority, worth, depth, callerKey } };
  return call as unknown as RunningCall;
}

function drainTokens(queue: ReturnType<typeof createCallQueue>): string[] {
  const tokens: string[] = [];
  for (
    let call = dequeueCall(queue, chooseNextPriority);
    call !== undefined;
    call = dequeueCall(queue, chooseNextPriority)
  )
    tokens.push(call.token);
  return tokens;
}

describe('call queue', () => {
  it('should dequeue the highest worth first', () => {
    const queue = createCallQueue();
    enqueueCall(queue, createCall({ token: 'low' }), 0);
    enqueueCall(queue, createCall({ token: 'high', priority: 'urgent', worth: 9 }), 0);
    expect(drainTokens(queue)).toEqual(['high', 'low']);
  });

  it('should keep the guaranteed share of the lowest worth during a flood of the highest', () => {
    const queue = createCallQueue();
    for (let index = 0; index < 100; index++) {
      enqueueCall(queue, createCall({ token: 'u', priority: 'urgent', worth: 9 }), 0.5);
      enqueueCall(queue, createCall({ token: 'r' }), 0.25);
    }
    const firstForty = drainTokens(queue).slice(0, 40);
    expect(firstForty.filter((token) => token === 'r').length).toBeGreaterThanOrEqual(9);
  });

  it('should serve callers round robin, so that a flood from one does not starve another', () => {
    const queue = createCallQueue();
    for (let index = 0; index < 5; index++) enqueueCall(queue, createCall({ token: 'flood', callerKey: 'a' }), 0);
    enqueueCall(queue, createCall({ token: 'other', callerKey: 'b' }), 0);
    expect(drainTokens(queue).indexOf('other')).toEqual(1);
  });

  it('should dequeue deeper calls first, since more work is invested in them', () => {
    const queue = createCallQueue();
    enqueueCall(queue, createCall({ token: 'entry' }), 0);
    enqueueCall(queue, createCall({ token: 'deep', depth: 3 }), 0);
    enqueueCall(queue, createCall({ token: 'middle', depth: 2 }), 0);
    expect(drainTokens(queue)).toEqual(['deep', 'middle', 'entry']);
  });

  it('should neither dequeue nor count a removed call', () => {
    const queue = createCallQueue();
    const cancelled = createCall({ token: 'cancelled' });
    enqueueCall(queue, cancelled, 0);
    enqueueCall(queue, createCall({ token: 'kept' }), 0);
    removeQueuedCall(queue, cancelled);
    expect(queue.length).toEqual(1);
    const [entry] = queue.nonEmpty;
    expect(entry === undefined ? undefined : findOldestCall(entry)?.token).toEqual('kept');
    expect(drainTokens(queue)).toEqual(['kept']);
    expect(queue.length).toEqual(0);
  });
});

describe('recent requests', () => {
  it('should recognize a resend only within the resend window', () => {
    const recent = new Map<string, number>();
    expect(recordRequest(recent, 'a/1', 0)).toEqual(false);
    expect(recordRequest(recent, 'a/1', RESEND_WINDOW_MS - 1)).toEqual(true);
    expect(recordRequest(recent, 'a/1', 3 * RESEND_WINDOW_MS)).toEqual(false);
    expect(recent.size).toEqual(1);
  });
});
