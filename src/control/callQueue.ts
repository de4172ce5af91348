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
export interface PriorityClass {
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
  readonly classes: Map<string, PriorityClass>;
  /** Priorities with waiting calls. */
  readonly nonEmpty: PriorityClass[];
}

export function createCallQueue(): CallQueue {
  return { length: 0, classes: new Map(), nonEmpty: [] };
}

/** Adds a call at the end of the FIFO queue of its priority, depth and caller. */
export function enqueueCall(queue: CallQueue, call: RunningCall, guaranteedShare: number): void {
  const { envelope } = call;
  let priorityClass = queue.classes.get(envelope.priority);
  if (priorityClass === undefined) {
    priorityClass = {
      priority: envelope.priority,
      worth: envelope.worth,
      guaranteedShare,
      credit: 0,
      length: 0,
      headArrivedAtMs: 0,
      byArrival: createFifo(),
      depths: [],
    };
    queue.classes.set(envelope.priority, priorityClass);
  }
  priorityClass.worth = envelope.worth;
  priorityClass.guaranteedShare = guaranteedShare;
  if (priorityClass.length === 0) {
    queue.nonEmpty.push(priorityClass);
    priorityClass.headArrivedAtMs = call.arrivedAtMs;
  }
  priorityClass.length++;
  queue.length++;
  priorityClass.byArrival.add(call);
  const depth = getDepthQueue(priorityClass, envelope.depth);
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
  const priorityClass = chooseNextPriority(queue.nonEmpty);
  const call = priorityClass === undefined ? undefined : dequeueFromClass(priorityClass);
  if (call === undefined) return undefined;
  removeQueuedCall(queue, call);
  for (const other of queue.classes.values())
    other.credit = computeCredit(other.credit, other.guaranteedShare, other === priorityClass);
  return call;
}

/** Removes a waiting call from the counts; the FIFO queues skip it later. */
export function removeQueuedCall(queue: CallQueue, call: RunningCall): void {
  const priorityClass = queue.classes.get(call.envelope.priority);
  if (call.state !== 'queued' || priorityClass === undefined) return;
  call.state = 'taken';
  priorityClass.length--;
  queue.length--;
  if (priorityClass.length > 0) {
    updateHead(priorityClass);
    return;
  }
  queue.nonEmpty.splice(queue.nonEmpty.indexOf(priorityClass), 1);
  // No call waits, so the FIFO queues contain only removed calls.
  priorityClass.depths.length = 0;
  while (priorityClass.byArrival.length > 0) priorityClass.byArrival.takeFirst();
}

/** Returns the call of a priority that has waited longest. */
export function findOldestCall(priorityClass: PriorityClass): RunningCall | undefined {
  updateHead(priorityClass);
  return priorityClass.byArrival.first;
}

/** Returns the priority of the lowest worth with waiting calls. */
export function findLowestWorthClass(queue: CallQueue): PriorityClass | undefined {
  let lowest: PriorityClass | undefined;
  for (const priorityClass of queue.nonEmpty)
    if (lowest === undefined || priorityClass.worth < lowest.worth) lowest = priorityClass;
  return lowest;
}

function getDepthQueue(priorityClass: PriorityClass, depth: number): DepthQueue {
  const index = priorityClass.depths.findIndex((other) => other.depth <= depth);
  const found = priorityClass.depths[index];
  if (found?.depth === depth) return found;
  const added: DepthQueue = { depth, byCaller: new Map(), roundRobin: createFifo() };
  priorityClass.depths.splice(index < 0 ? priorityClass.depths.length : index, 0, added);
  return added;
}

/** Dequeues a call of the maximum depth, in which most work is already invested; callers are served round robin. */
function dequeueFromClass(priorityClass: PriorityClass): RunningCall | undefined {
  for (let deepest = priorityClass.depths[0]; deepest !== undefined; deepest = priorityClass.depths[0]) {
    for (let caller = deepest.roundRobin.takeFirst(); caller !== undefined; caller = deepest.roundRobin.takeFirst()) {
      const call = takeFirstQueued(caller.waiting);
      if (caller.waiting.length > 0) deepest.roundRobin.add(caller);
      else deepest.byCaller.delete(caller.callerKey);
      if (call !== undefined) return call;
    }
    priorityClass.depths.shift();
  }
  return undefined;
}

function takeFirstQueued(waiting: Fifo<RunningCall>): RunningCall | undefined {
  for (let call = waiting.takeFirst(); call !== undefined; call = waiting.takeFirst()) {
    if (call.state === 'queued') return call;
  }
  return undefined;
}

function updateHead(priorityClass: PriorityClass): void {
  while (priorityClass.byArrival.first !== undefined && priorityClass.byArrival.first.state !== 'queued')
    priorityClass.byArrival.takeFirst();
  if (priorityClass.byArrival.first !== undefined)
    priorityClass.headArrivedAtMs = priorityClass.byArrival.first.arrivedAtMs;
}
