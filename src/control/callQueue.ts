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
  readonly turns: Fifo<CallerQueue>;
}

/** Waiting calls of one priority. Calls that no longer wait are skipped when their turn comes. */
export interface QueueClass {
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
  readonly classes: Map<string, QueueClass>;
  /** Classes with waiting calls. */
  readonly filled: QueueClass[];
}

/** Creates an empty queue. */
export function createCallQueue(): CallQueue {
  return { length: 0, classes: new Map(), filled: [] };
}

/** Adds a call at the end of its priority's and caller's line. */
export function addWaiting(queue: CallQueue, call: RunningCall, guaranteedShare: number): void {
  const { envelope } = call;
  let entry = queue.classes.get(envelope.priority);
  if (entry === undefined) {
    entry = {
      priority: envelope.priority,
      worth: envelope.worth,
      guaranteedShare,
      credit: 0,
      length: 0,
      headArrivedAtMs: 0,
      byArrival: createFifo(),
      depths: [],
    };
    queue.classes.set(envelope.priority, entry);
  }
  entry.worth = envelope.worth;
  entry.guaranteedShare = guaranteedShare;
  if (entry.length === 0) {
    queue.filled.push(entry);
    entry.headArrivedAtMs = call.arrivedAtMs;
  }
  entry.length++;
  queue.length++;
  entry.byArrival.add(call);
  const depth = getDepth(entry, envelope.depth);
  let caller = depth.byCaller.get(envelope.callerKey);
  if (caller === undefined) {
    caller = { callerKey: envelope.callerKey, waiting: createFifo() };
    depth.byCaller.set(envelope.callerKey, caller);
    depth.turns.add(caller);
  }
  caller.waiting.add(call);
}

/** Takes the call that starts next; undefined when none waits. */
export function takeWaiting(
  queue: CallQueue,
  chooseNextPriority: Policies['chooseNextPriority'],
): RunningCall | undefined {
  const entry = chooseNextPriority(queue.filled);
  const call = entry === undefined ? undefined : takeTurn(entry);
  if (call === undefined) return undefined;
  removeWaiting(queue, call);
  for (const other of queue.classes.values())
    other.credit = computeCredit(other.credit, other.guaranteedShare, other === entry);
  return call;
}

/** Takes a call that waits out of the counts; its places in the lines are skipped later. */
export function removeWaiting(queue: CallQueue, call: RunningCall): void {
  const entry = queue.classes.get(call.envelope.priority);
  if (call.state !== 'queued' || entry === undefined) return;
  call.state = 'taken';
  entry.length--;
  queue.length--;
  if (entry.length > 0) {
    updateHead(entry);
    return;
  }
  queue.filled.splice(queue.filled.indexOf(entry), 1);
  // Nothing waits, so whatever is left in the lines has been taken already.
  entry.depths.length = 0;
  while (entry.byArrival.length > 0) entry.byArrival.takeFirst();
}

/** The call of a priority that has waited longest. */
export function findOldest(entry: QueueClass): RunningCall | undefined {
  updateHead(entry);
  return entry.byArrival.first;
}

/** The priority of least worth with waiting calls. */
export function findLeastWorth(queue: CallQueue): QueueClass | undefined {
  let least: QueueClass | undefined;
  for (const entry of queue.filled) if (least === undefined || entry.worth < least.worth) least = entry;
  return least;
}

function getDepth(entry: QueueClass, depth: number): DepthQueue {
  const index = entry.depths.findIndex((other) => other.depth <= depth);
  const found = entry.depths[index];
  if (found?.depth === depth) return found;
  const added: DepthQueue = { depth, byCaller: new Map(), turns: createFifo() };
  entry.depths.splice(index < 0 ? entry.depths.length : index, 0, added);
  return added;
}

/** Takes the call whose turn it is, of the deepest calls, in which most work is invested. */
function takeTurn(entry: QueueClass): RunningCall | undefined {
  for (let deepest = entry.depths[0]; deepest !== undefined; deepest = entry.depths[0]) {
    for (let caller = deepest.turns.takeFirst(); caller !== undefined; caller = deepest.turns.takeFirst()) {
      const call = takeQueued(caller.waiting);
      if (caller.waiting.length > 0) deepest.turns.add(caller);
      else deepest.byCaller.delete(caller.callerKey);
      if (call !== undefined) return call;
    }
    entry.depths.shift();
  }
  return undefined;
}

function takeQueued(waiting: Fifo<RunningCall>): RunningCall | undefined {
  for (let call = waiting.takeFirst(); call !== undefined; call = waiting.takeFirst()) {
    if (call.state === 'queued') return call;
  }
  return undefined;
}

function updateHead(entry: QueueClass): void {
  while (entry.byArrival.first !== undefined && entry.byArrival.first.state !== 'queued') entry.byArrival.takeFirst();
  if (entry.byArrival.first !== undefined) entry.headArrivedAtMs = entry.byArrival.first.arrivedAtMs;
}
