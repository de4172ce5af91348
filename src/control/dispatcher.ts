import { isAdmitted } from '../policy/shedding.js';
import { mergeRan } from '../policy/mergeRan.js';
import type { MemberCandidate } from '../policy/routing.js';
import type { CallResult } from '../schema/call.js';
import { createCallFailure } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';
import type { CallEnvelope, ReplyFrame } from '../schema/frame.js';
import type { MemberRecord } from '../schema/member.js';
import type { AdmitCall, AllowanceAccount, Attempt, CallReply, DispatchedCall, RunningCall } from './calls.js';
import type { ControllerContext } from './context.js';
import { buildSample, describeCall, formatFractionKey } from './describeCall.js';
import type { Sections } from './sections.js';

/** Failures of a host that is leaving. Until its member record arrives, each further call to it would cost a retry. */
const LEAVING_FAILURE_KINDS = new Set(['stopping', 'targetDraining']);

/** A call to dispatch; `parent` is the running call that made it, if any. */
export interface DispatchRequest {
  envelope: CallEnvelope;
  account: AllowanceAccount;
  parent: RunningCall | undefined;
  reply: CallReply;
}

export interface Dispatcher {
  dispatch(request: DispatchRequest): DispatchedCall;
  /** Cancels a call whose caller no longer waits; `reply` is not called. */
  cancel(call: DispatchedCall): void;
  receiveReply(frame: ReplyFrame): void;
  handleLinkClosed(host: string, lane: string): void;
}

/** Sends calls to the local target or to targets at other nodes, and retries them where allowed. */
export function createDispatcher(
  context: ControllerContext,
  calls: Sections['calls'],
  samples: Sections['samples'],
  admitLocally: AdmitCall,
): Dispatcher {
  const { board, clock, deadlines, io, policies, random, settings } = context;
  const incarnation = board.read('members').self.incarnation;
  let nextCallNumber = 0;

  const listCandidates = (call: DispatchedCall): MemberCandidate[] => {
    const routes = board.read('routes').byHost;
    const candidates: MemberCandidate[] = [];
    const { unreachableDataCenters } = board.read('members');
    for (const member of board.read('members').byService.get(call.envelope.service) ?? []) {
      if (member.targetState !== 'ready' || member.nodeState !== 'alive' || call.triedHosts.has(member.id)) continue;
      if (unreachableDataCenters.has(member.dataCenter)) continue;
      const isLocalDataCenter = member.dataCenter === settings.dataCenter;
      candidates.push({ member, state: routes.get(member.id), isLocalDataCenter });
    }
    return candidates;
  };

  /** Returns false if the call was finished before. */
  const markFinished = (call: DispatchedCall): boolean => {
    if (call.isFinished) return false;
    call.isFinished = true;
    call.cancelDeadline?.();
    calls.dispatched.delete(call);
    return true;
  };
  const finish = (call: DispatchedCall, result: CallResult): void => {
    if (!markFinished(call)) return;
    const admittedFraction = Math.min(call.admittedFraction, result.admittedFraction);
    call.reply({ ...result, admittedFraction, allowanceLeft: call.account.remaining });
  };
  const fail = (call: DispatchedCall, failure: CallFailure): void => {
    // An earlier attempt may have run even if the last one did not.
    const mergedFailure = { ...failure, ran: mergeRan(call.ran, failure.ran) };
    finish(call, { type: 'refusal', failure: mergedFailure, allowanceLeft: 0, admittedFraction: 1 });
  };

  const startAttempt = (call: DispatchedCall, candidates: readonly MemberCandidate[]): void => {
    const member = policies.chooseTargetMember({ candidates, nowMs: clock.now(), random });
    const { service } = call.envelope;
    if (member === undefined) {
      fail(call, createCallFailure('noTarget', `no target of ${service} is available`));
      return;
    }
    const grantedAllowance = policies.computeChildAllowance(call.account.remaining);
    call.account.remaining -= grantedAllowance;
    call.attempts++;
    call.triedHosts.add(member.id);
    const envelope = {
      ...call.envelope,
      allowance: grantedAllowance,
      deadlineMs: Math.max(0, call.deadlineAtMs - clock.now()),
    };
    board.post('routes', { type: 'started', host: member.id });
    if (member.id === settings.host) startLocalAttempt(call, envelope, grantedAllowance);
    else startRemoteAttempt(call, envelope, member, grantedAllowance);
  };

  const startLocalAttempt = (call: DispatchedCall, envelope: CallEnvelope, grantedAllowance: number): void => {
    const attempt: Attempt = {
      callId: '',
      host: settings.host,
      grantedAllowance,
      startedAtMs: clock.now(),
      cancel: () => {
        cancelLocal();
      },
    };
    call.attempt = attempt;
    const cancelLocal = admitLocally(envelope, { remaining: grantedAllowance }, (result) => {
      settleAttempt(call, attempt, result);
    });
  };

  const startRemoteAttempt = (
    call: DispatchedCall,
    envelope: CallEnvelope,
    member: MemberRecord,
    grantedAllowance: number,
  ): void => {
    const callId = `${incarnation}.${(nextCallNumber++).toString(36)}`;
    const lane = envelope.urgent ? 'urgent' : 'routine';
    const cancel = (): void => {
      calls.remote.delete(callId);
      io.sendFrame(member.id, lane, { type: 'cancel', callId });
    };
    const attempt: Attempt = { callId, host: member.id, grantedAllowance, startedAtMs: clock.now(), cancel };
    call.attempt = attempt;
    calls.remote.set(callId, {
      host: member.id,
      lane,
      settle: (result) => {
        settleAttempt(call, attempt, result);
      },
    });
    if (io.sendFrame(member.id, lane, { type: 'call', callId, purpose: 'target', envelope })) return;
    calls.remote.delete(callId);
    const failure = createCallFailure('targetUnreachable', `node ${member.id} cannot be reached`, { host: member.id });
    settleAttempt(call, attempt, { type: 'refusal', failure, allowanceLeft: grantedAllowance, admittedFraction: 1 });
  };

  const settleAttempt = (call: DispatchedCall, attempt: Attempt, result: CallResult): void => {
    if (call.isFinished || call.attempt !== attempt) return;
    call.attempt = undefined;
    call.account.remaining += Math.min(attempt.grantedAllowance, result.allowanceLeft);
    board.post('routes', { type: 'finished', host: attempt.host });
    recordAttempt(call, attempt, result);
    recordAdmittedFraction(call, result);
    if (
      result.type === 'refusal' &&
      LEAVING_FAILURE_KINDS.has(result.failure.kind) &&
      result.failure.host === attempt.host
    )
      board.post('routes', { type: 'leaving', host: attempt.host });
    if (result.type === 'answer') {
      finish(call, result);
      return;
    }
    call.ran = mergeRan(call.ran, result.failure.ran);
    retryOrFail(call, result.failure);
  };

  const retryOrFail = (call: DispatchedCall, failure: CallFailure): void => {
    const { envelope, account } = call;
    const candidates = listCandidates(call);
    const isGranted = policies.isRetryGranted({
      failure,
      isIdempotent: envelope.idempotent,
      attempts: call.attempts,
      remainingAllowance: account.remaining,
      timeLeftMs: call.deadlineAtMs - clock.now(),
      expectedMs:
        board.read('configuration').services.get(envelope.service)?.document.operations[envelope.operation]
          ?.expectedCostMs ?? 0,
      tokens: board.read('budgets').byService.get(envelope.service)?.tokens ?? 0,
      hasOtherTarget: candidates.length > 0,
    });
    if (!isGranted) {
      // Only the hop next to a failure retries: a retry by a caller further up would repeat all work in between.
      fail(call, call.parent === undefined ? failure : { ...failure, retry: 'never' });
      return;
    }
    account.remaining--;
    board.post('budgets', { type: 'retry', service: envelope.service });
    board.post('events', {
      kind: 'callRetried',
      ...describeCall(envelope),
      data: { after: failure.kind, attempt: call.attempts },
    });
    startAttempt(call, candidates);
  };

  const recordAttempt = (call: DispatchedCall, attempt: Attempt, result: CallResult): void => {
    const failure = result.type === 'refusal' ? result.failure : undefined;
    const atMs = clock.now();
    const totalTimeMs = atMs - attempt.startedAtMs;
    const run = {
      role: 'attempt',
      atMs,
      host: attempt.host,
      totalTimeMs,
      ownTimeMs: totalTimeMs,
      concurrency: 0,
    } as const;
    samples.ring.add(buildSample(call.envelope, failure, run));
  };

  const recordAdmittedFraction = (call: DispatchedCall, result: CallResult): void => {
    call.admittedFraction = Math.min(call.admittedFraction, result.admittedFraction);
    if (call.parent !== undefined)
      call.parent.admittedFraction = Math.min(call.parent.admittedFraction, result.admittedFraction);
    board.post('shedding', {
      type: 'fractionReceived',
      key: formatFractionKey(call.envelope),
      fraction: result.admittedFraction,
    });
  };

  const expire = (call: DispatchedCall): void => {
    const attempt = call.attempt;
    attempt?.cancel();
    if (attempt !== undefined) {
      board.post('routes', { type: 'finished', host: attempt.host });
      const refusal = {
        type: 'refusal',
        failure: createCallFailure('deadlineExceeded', ''),
        allowanceLeft: 0,
        admittedFraction: 1,
      } as const;
      recordAttempt(call, attempt, refusal);
    }
    call.attempt = undefined;
    const message = `${call.envelope.service}/${call.envelope.operation} did not respond before the deadline`;
    fail(call, createCallFailure('deadlineExceeded', message, { ran: call.attempts === 0 ? 'no' : 'unknown' }));
  };

  return {
    dispatch: ({ envelope, account, parent, reply }) => {
      const deadlineAtMs = clock.now() + envelope.deadlineMs;
      const call: DispatchedCall = {
        envelope,
        account,
        deadlineAtMs,
        reply,
        parent,
        triedHosts: new Set(),
        attempts: 0,
        ran: 'no',
        admittedFraction: 1,
        isFinished: false,
        attempt: undefined,
        cancelDeadline: undefined,
      };
      // Downstream calls are shed only by the target: work is already spent on them, and this fraction may be outdated.
      const downstream =
        parent === undefined ? board.read('shedding').downstream.get(formatFractionKey(envelope)) : undefined;
      if (downstream !== undefined && !isAdmitted(envelope.shedKey, downstream.fraction)) {
        const message = `${envelope.service}/${envelope.operation} sheds ${envelope.priority} requests`;
        call.isFinished = true;
        reply({
          type: 'refusal',
          failure: createCallFailure('shed', message),
          allowanceLeft: account.remaining,
          admittedFraction: downstream.fraction,
        });
        return call;
      }
      calls.dispatched.add(call);
      call.cancelDeadline = deadlines.add(deadlineAtMs, () => {
        expire(call);
      });
      board.post('budgets', { type: 'attempt', service: envelope.service });
      startAttempt(call, listCandidates(call));
      return call;
    },
    cancel: (call) => {
      if (!markFinished(call) || call.attempt === undefined) return;
      board.post('routes', { type: 'finished', host: call.attempt.host });
      call.attempt.cancel();
    },
    receiveReply: (frame) => {
      const remote = calls.remote.get(frame.callId);
      if (remote === undefined) {
        calls.lateReplies++;
        return;
      }
      calls.remote.delete(frame.callId);
      if (frame.load !== undefined) board.post('routes', { type: 'loadReceived', host: remote.host, load: frame.load });
      remote.settle(frame);
    },
    handleLinkClosed: (host, lane) => {
      for (const [callId, remote] of calls.remote) {
        if (remote.host !== host || remote.lane !== lane) continue;
        calls.remote.delete(callId);
        const failure = createCallFailure('connectionLost', `the connection to node ${host} was lost`, { host });
        remote.settle({ type: 'refusal', failure, allowanceLeft: 0, admittedFraction: 1 });
      }
    },
  };
}
