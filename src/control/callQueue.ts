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

/** Waiting calls of one depth: callers take turns. */
interface DepthQueue {
  readonly depth: number;
  readonly byCaller: Map<string, CallerQueue>;
  readonly roundRobin: Fifo<CallerQueue>;
}

/** Waiting calls of one priority. Calls that no longer wait are skipped when their turn comes. */
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

/** The calls that wait for the local target. */
export interface CallQueue {
  length: number;
  readonly classes: Map<string, PriorityClass>;
  /** Classes with waiting calls. */
  readonly nonEmpty: PriorityClass[];
}

/** Creates an empty queue. */
export function createCallQueue(): CallQueue {
  return { length: 0, classes: new Map(), nonEmpty: [] };
}

/** Adds a call at the end of its priority's and caller's line. */
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

/** Takes the call that starts next; undefined when none waits. */
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

/** Takes a call that waits out of the counts; its places in the lines are skipped later. */
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
  // Nothing waits, so whatever is left in the lines has been taken already.
  priorityClass.depths.length = 0;
  while (priorityClass.byArrival.length > 0) priorityClass.byArrival.takeFirst();
}

/** The call of a priority that has waited longest. */
export function findOldestCall(priorityClass: PriorityClass): RunningCall | undefined {
  updateHead(priorityClass);
  return priorityClass.byArrival.first;
}

/** The priority of least worth with waiting calls. */
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

/** Takes the call whose turn it is, of the deepest calls, in which most work is invested. */
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
