import type { CallTarget } from '../../control/context.js';
import type { CallReply, CancelCall } from '../../control/calls.js';
import { generateExponential } from '../../core/random.js';
import type { Random } from '../../core/random.js';
import type { DownstreamCall, TargetOutcome, TargetRequest } from '../../schema/call.js';
import { createCallFailure } from '../../schema/failure.js';
import type { ProcessClock } from './fakeProcess.js';

export interface FakeOperation {
  /** Mean service time without onward calls (ms). */
  meanMs: number;
  distribution?: 'constant' | 'exponential';
  /** Steps made one after the other; the calls of one step are made at once. */
  onward?: readonly (readonly { service: string; operation: string }[])[];
}

export interface FakeTargetOptions {
  clock: ProcessClock;
  random: Random;
  slots: number;
  connections?: number;
  /** Cost of opening a connection (ms). */
  connectMs?: number;
  operations: Record<string, FakeOperation>;
  /** The node's entry for onward calls. */
  callOnward: (call: DownstreamCall, reply: CallReply) => CancelCall;
  /** Called when an operation starts to run. */
  onRun?: (request: TargetRequest) => void;
  /** Called when an operation leaves its slot, with the time that it held it (ms). */
  onRelease?: (request: TargetRequest, heldMs: number) => void;
  /** True for a request that crashes the target that runs it. */
  crashesOn?: (request: TargetRequest) => boolean;
  /** Called when a request crashed the target. */
  onCrash?: () => void;
}

/** A target with slots, service times and onward calls, without HTTP. */
export interface FakeTarget {
  callTarget: CallTarget;
  /** Factor on all service times. */
  slowness: number;
  /** Announces that it is leaving. */
  isDraining: boolean;
  /** Counts starts, so that a node sees a restart. */
  readonly starts: number;
  readonly isDown: boolean;
  readonly busySlots: number;
  readonly queued: number;
  /** Loses all calls under way, as a crash does; later calls cannot connect until `restart`. */
  crash(): void;
  restart(): void;
}

interface TargetCall {
  request: TargetRequest;
  done: (outcome: TargetOutcome) => void;
  isEnded: boolean;
  startedAtMs: number;
  hasSlot: boolean;
  openOnward: Set<CancelCall>;
}

/** Creates a fake target; calls beyond its slots wait inside it in order of arrival. */
export function createFakeTarget(options: FakeTargetOptions): FakeTarget {
  const { clock, random, slots, connections = Infinity, connectMs = 1 } = options;
  const open = new Set<TargetCall>();
  const waiting: TargetCall[] = [];
  const state = { slowness: 1, isDraining: false, busySlots: 0, openConnections: 0, isDown: false, starts: 1 };

  const end = (call: TargetCall, outcome?: TargetOutcome): void => {
    if (call.isEnded) return;
    call.isEnded = true;
    open.delete(call);
    for (const cancel of call.openOnward) cancel();
    if (call.hasSlot) releaseSlot(call);
    if (outcome !== undefined) call.done(outcome);
  };
  const releaseSlot = (call: TargetCall): void => {
    options.onRelease?.(call.request, clock.now() - call.startedAtMs);
    state.busySlots--;
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
      if (next.isEnded) continue;
      start(next);
      return;
    }
  };
  const start = (call: TargetCall): void => {
    state.busySlots++;
    call.hasSlot = true;
    call.startedAtMs = clock.now();
    options.onRun?.(call.request);
    if (options.crashesOn?.(call.request) === true) {
      options.onCrash?.();
      crash();
      return;
    }
    const { meanMs, distribution = 'exponential' } = options.operations[call.request.operation] ?? { meanMs: 0 };
    const serviceMs = (distribution === 'constant' ? meanMs : generateExponential(random, meanMs)) * state.slowness;
    clock.schedule(serviceMs, () => {
      runStep(call, 0);
    });
  };
  const runStep = (call: TargetCall, index: number): void => {
    if (call.isEnded) return;
    const { request } = call;
    const step = options.operations[request.operation]?.onward?.[index];
    if (step === undefined) {
      end(call, { type: 'answer', status: 200, contentType: 'text/plain', body: request.body });
      return;
    }
    let pending = step.length;
    for (const { service, operation } of step) {
      if (call.isEnded) return;
      let isReplied = false;
      let cancel: CancelCall = () => undefined;
      const onward = {
        service,
        operation,
        callerKey: '',
        contentType: request.contentType,
        body: request.body,
        token: request.token,
      };
      cancel = options.callOnward(onward, (result) => {
        isReplied = true;
        call.openOnward.delete(cancel);
        pending--;
        if (result.type === 'refusal') {
          end(call, { type: 'answer', status: 502, contentType: 'text/plain', body: new Uint8Array() });
        } else if (pending === 0) runStep(call, index + 1);
      });
      if (!isReplied) call.openOnward.add(cancel);
    }
  };
  const crash = (): void => {
    state.isDown = true;
    state.openConnections = 0;
    for (const call of [...open])
      end(call, { type: 'failure', failure: createCallFailure('connectionLost', 'the target crashed') });
  };
  const accept = (call: TargetCall): void => {
    if (call.isEnded) return;
    if (state.busySlots < slots) start(call);
    else waiting.push(call);
  };
  return {
    callTarget: (request, done) => {
      const call: TargetCall = { request, done, isEnded: false, startedAtMs: 0, hasSlot: false, openOnward: new Set() };
      open.add(call);
      if (state.isDown || open.size > connections) {
        const failure = createCallFailure('targetUnreachable', 'the target accepts no connection');
        clock.schedule(0, () => {
          end(call, { type: 'failure', failure });
        });
      } else if (open.size > state.openConnections) {
        state.openConnections++;
        clock.schedule(connectMs, () => {
          accept(call);
        });
      } else accept(call);
      return () => {
        end(call);
      };
    },
    get slowness() {
      return state.slowness;
    },
    set slowness(factor) {
      state.slowness = factor;
    },
    get isDraining() {
      return state.isDraining;
    },
    set isDraining(isDraining) {
      state.isDraining = isDraining;
    },
    get starts() {
      return state.starts;
    },
    get isDown() {
      return state.isDown;
    },
    get busySlots() {
      return state.busySlots;
    },
    get queued() {
      return waiting.length;
    },
    crash,
    restart: () => {
      state.isDown = false;
      state.isDraining = false;
      state.starts++;
    },
  };
}
