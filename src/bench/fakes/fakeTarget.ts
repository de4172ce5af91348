import type { CallTarget } from '../../control/context.js';
import type { CallReply, CancelCall } from '../../control/calls.js';
import { generateExponential } from '../../core/random.js';
import type { Random } from '../../core/random.js';
import type { DownstreamCall, TargetOutcome, TargetRequest } from '../../schema/call.js';
import { createCallFailure } from '../../schema/failure.js';
import type { ProcessClock } from './processClock.js';

export interface FakeOperation {
  /** Mean service time without downstream calls (ms). */
  meanMs: number;
  distribution?: 'constant' | 'exponential';
  /** Downstream calls in sequential steps; the calls of one step run in parallel. */
  downstream?: readonly (readonly { service: string; operation: string }[])[];
}

export interface FakeTargetOptions {
  clock: ProcessClock;
  random: Random;
  slots: number;
  connections?: number;
  /** Time to open a connection (ms). */
  connectMs?: number;
  operations: Record<string, FakeOperation>;
  /** The node's function for downstream calls. */
  callDownstream: (call: DownstreamCall, reply: CallReply) => CancelCall;
  /** Called when an operation starts to run. */
  onRun?: (request: TargetRequest) => void;
  /** Called when an operation releases its slot, with the time that it occupied the slot (ms). */
  onRelease?: (request: TargetRequest, occupiedMs: number) => void;
  /** True if the request crashes the target that runs it. */
  crashesOn?: (request: TargetRequest) => boolean;
  /** Called when a request crashes the target. */
  onCrash?: () => void;
}

/** A simulated target with slots, service times and downstream calls, without HTTP. */
export interface FakeTarget {
  callTarget: CallTarget;
  /** Factor applied to all service times. */
  slowness: number;
  /** True if the target announces that it is draining. */
  isDraining: boolean;
  /** Number of starts; part of the announced incarnation, so that a node detects a restart. */
  readonly startCount: number;
  readonly isDown: boolean;
  readonly busySlots: number;
  readonly queued: number;
  /** Fails all calls in flight; later calls cannot connect until `restart`. */
  crash(): void;
  restart(): void;
}

interface TargetCall {
  request: TargetRequest;
  done: (outcome: TargetOutcome) => void;
  isEnded: boolean;
  startedAtMs: number;
  hasSlot: boolean;
  openDownstreamCalls: Set<CancelCall>;
}

/** Creates a fake target. Calls that find no free slot are queued in order of arrival. */
export function createFakeTarget(options: FakeTargetOptions): FakeTarget {
  const { clock, random, slots, connections = Infinity, connectMs = 1 } = options;
  const open = new Set<TargetCall>();
  const waiting: TargetCall[] = [];
  const state = { slowness: 1, isDraining: false, busySlots: 0, openConnections: 0, isDown: false, startCount: 1 };

  const endCall = (call: TargetCall, outcome?: TargetOutcome): void => {
    if (call.isEnded) return;
    call.isEnded = true;
    open.delete(call);
    for (const cancel of call.openDownstreamCalls) cancel();
    if (call.hasSlot) releaseSlot(call);
    if (outcome !== undefined) call.done(outcome);
  };
  const releaseSlot = (call: TargetCall): void => {
    options.onRelease?.(call.request, clock.now() - call.startedAtMs);
    state.busySlots--;
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
      if (next.isEnded) continue;
      startCall(next);
      return;
    }
  };
  const startCall = (call: TargetCall): void => {
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
    const step = options.operations[request.operation]?.downstream?.[index];
    if (step === undefined) {
      endCall(call, { type: 'answer', status: 200, contentType: 'text/plain', body: request.body });
      return;
    }
    let pending = step.length;
    for (const { service, operation } of step) {
      if (call.isEnded) return;
      let hasReply = false;
      let cancel: CancelCall = () => undefined;
      const downstreamCall = {
        service,
        operation,
        callerKey: '',
        contentType: request.contentType,
        body: request.body,
        token: request.token,
      };
      cancel = options.callDownstream(downstreamCall, (result) => {
        hasReply = true;
        call.openDownstreamCalls.delete(cancel);
        pending--;
        if (result.type === 'refusal') {
          endCall(call, { type: 'answer', status: 502, contentType: 'text/plain', body: new Uint8Array() });
        } else if (pending === 0) runStep(call, index + 1);
      });
      if (!hasReply) call.openDownstreamCalls.add(cancel);
    }
  };
  const crash = (): void => {
    state.isDown = true;
    state.openConnections = 0;
    for (const call of [...open])
      endCall(call, { type: 'failure', failure: createCallFailure('connectionLost', 'the target crashed') });
  };
  const acceptCall = (call: TargetCall): void => {
    if (call.isEnded) return;
    if (state.busySlots < slots) startCall(call);
    else waiting.push(call);
  };
  return {
    callTarget: (request, done) => {
      const call: TargetCall = {
        request,
        done,
        isEnded: false,
        startedAtMs: 0,
        hasSlot: false,
        openDownstreamCalls: new Set(),
      };
      open.add(call);
      if (state.isDown || open.size > connections) {
        const failure = createCallFailure('targetUnreachable', 'the target accepts no connection');
        clock.schedule(0, () => {
          endCall(call, { type: 'failure', failure });
        });
      } else if (open.size > state.openConnections) {
        // Connections stay open and are reused, so only a new maximum of open calls opens one.
        state.openConnections++;
        clock.schedule(connectMs, () => {
          acceptCall(call);
        });
      } else acceptCall(call);
      return () => {
        endCall(call);
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
    get startCount() {
      return state.startCount;
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
      state.startCount++;
    },
  };
}
