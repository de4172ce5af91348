import { createFifo } from '../core/fifo.js';
import type { Fifo } from '../core/fifo.js';
import { computeCredit } from '../policy/queueOrder.js';
import type { Policies } from '../policy/policies.js';
import type { RunningCall } from './calls.js';

/** Waiting calls of one caller at one depth, in order of arrival. */
interface CallerQueue {
  readonly callerKey: string;
  readonly waiting: Fifo<RunningCall>;
}

/** Waiting calls of one depth, served round robin by caller. */
interface DepthQueue {
  readonly depth: number;
  readonly byCaller: Map<string, CallerQueue>;
  readonly roundRobin: Fifo<CallerQueue>;
}

/** Waiting calls of one priority. Removed calls stay in the FIFO queues and are skipped when they reach the head. */
export interface PriorityLevel {
  readonly priority: string;
  worth: number;
  guaranteedShare: number;
  credit: number;
  length: number;
  headArrivedAtMs: number;
  readonly byArrival: Fifo<RunningCall>;
  /** Deepest first. */
  readonly depths: DepthQueue[];
}

/** Queue of the calls that wait for the local target. */
export interface CallQueue {
  length: number;
  readonly byPriority: Map<string, PriorityLevel>;
  /** Priorities with waiting calls. */
  readonly nonEmpty: PriorityLevel[];
}

/** Creates an empty queue. */
export function createCallQueue(): CallQueue {
  return { length: 0, byPriority: new Map(), nonEmpty: [] };
}

/** Adds a call at the end of the FIFO queue of its priority, depth and caller. */
export function enqueueCall(queue: CallQueue, call: RunningCall, guaranteedShare: number): void {
  const { envelope } = call;
  let priorityLevel = queue.byPriority.get(envelope.priority);
  if (priorityLevel === undefined) {
    priorityLevel = {
      priority: envelope.priority,
      worth: envelope.worth,
      guaranteedShare,
      credit: 0,
      length: 0,
      headArrivedAtMs: 0,
      byArrival: createFifo(),
      depths: [],
    };
    queue.byPriority.set(envelope.priority, priorityLevel);
  }
  priorityLevel.worth = envelope.worth;
  priorityLevel.guaranteedShare = guaranteedShare;
  if (priorityLevel.length === 0) {
    queue.nonEmpty.push(priorityLevel);
    priorityLevel.headArrivedAtMs = call.arrivedAtMs;
  }
  priorityLevel.length++;
  queue.length++;
  priorityLevel.byArrival.add(call);
  const depth = getDepthQueue(priorityLevel, envelope.depth);
  let caller = depth.byCaller.get(envelope.callerKey);
  if (caller === undefined) {
    caller = { callerKey: envelope.callerKey, waiting: createFifo() };
    depth.byCaller.set(envelope.callerKey, caller);
    depth.roundRobin.add(caller);
  }
  caller.waiting.add(call);
}

/** Removes and returns the call to start next; undefined when no call waits. */
export function dequeueCall(
  queue: CallQueue,
  chooseNextPriority: Policies['chooseNextPriority'],
): RunningCall | undefined {
  const priorityLevel = chooseNextPriority(queue.nonEmpty);
  const call = priorityLevel === undefined ? undefined : dequeueFromLevel(priorityLevel);
  if (call === undefined) return undefined;
  removeQueuedCall(queue, call);
  for (const other of queue.byPriority.values())
    other.credit = computeCredit(other.credit, other.guaranteedShare, other === priorityLevel);
  return call;
}

/** Removes a waiting call from the counts; the FIFO queues skip it later. */
export function removeQueuedCall(queue: CallQueue, call: RunningCall): void {
  const priorityLevel = queue.byPriority.get(call.envelope.priority);
  if (call.state !== 'queued' || priorityLevel === undefined) return;
  call.state = 'taken';
  priorityLevel.length--;
  queue.length--;
  if (priorityLevel.length > 0) {
    updateHead(priorityLevel);
    return;
  }
  queue.nonEmpty.splice(queue.nonEmpty.indexOf(priorityLevel), 1);
  // No call waits, so the FIFO queues contain only removed calls.
  priorityLevel.depths.length = 0;
  while (priorityLevel.byArrival.length > 0) priorityLevel.byArrival.takeFirst();
}

/** Returns the call of a priority that has waited longest. */
export function findOldestCall(priorityLevel: PriorityLevel): RunningCall | undefined {
  updateHead(priorityLevel);
  return priorityLevel.byArrival.first;
}

/** Returns the priority of the lowest worth with waiting calls. */
export function findLowestWorthLevel(queue: CallQueue): PriorityLevel | undefined {
  let lowest: PriorityLevel | undefined;
  for (const priorityLevel of queue.nonEmpty)
    if (lowest === undefined || priorityLevel.worth < lowest.worth) lowest = priorityLevel;
  return lowest;
}

function getDepthQueue(priorityLevel: PriorityLevel, depth: number): DepthQueue {
  const index = priorityLevel.depths.findIndex((other) => other.depth <= depth);
  const found = priorityLevel.depths[index];
  if (found?.depth === depth) return found;
  const added: DepthQueue = { depth, byCaller: new Map(), roundRobin: createFifo() };
  priorityLevel.depths.splice(index < 0 ? priorityLevel.depths.length : index, 0, added);
  return added;
}

/** Dequeues a call of the maximum depth, in which most work is already invested; callers are served round robin. */
function dequeueFromLevel(priorityLevel: PriorityLevel): RunningCall | undefined {
  for (let deepest = priorityLevel.depths[0]; deepest !== undefined; deepest = priorityLevel.depths[0]) {
    for (let caller = deepest.roundRobin.takeFirst(); caller !== undefined; caller = deepest.roundRobin.takeFirst()) {
      const call = takeFirstQueued(caller.waiting);
      if (caller.waiting.length > 0) deepest.roundRobin.add(caller);
      else deepest.byCaller.delete(caller.callerKey);
      if (call !== undefined) return call;
    }
    priorityLevel.depths.shift();
  }
  return undefined;
}

function takeFirstQueued(waiting: Fifo<RunningCall>): RunningCall | undefined {
  for (let call = waiting.takeFirst(); call !== undefined; call = waiting.takeFirst()) {
    if (call.state === 'queued') return call;
  }
  return undefined;
}

function updateHead(priorityLevel: PriorityLevel): void {
  while (priorityLevel.byArrival.first !== undefined && priorityLevel.byArrival.first.state !== 'queued')
    priorityLevel.byArrival.takeFirst();
  if (priorityLevel.byArrival.first !== undefined)
    priorityLevel.headArrivedAtMs = priorityLevel.byArrival.first.arrivedAtMs;
}
