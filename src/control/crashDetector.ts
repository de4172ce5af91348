import { createCallFailure } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';
import type { TargetOutcome } from '../schema/call.js';
import type { ControllerContext, CallTarget } from './context.js';

/** A call whose connection was lost, until it is known whether the target crashed. */
interface PendingCall {
  fingerprint: string;
  service: string;
  settle(outcome: TargetOutcome): void;
  failure: CallFailure;
}

const DISCONNECT_KINDS = new Set(['connectionLost', 'answerTruncated']);

export interface CrashDetector {
  /** Calls the target; distinguishes a crash of the target from a lost connection before it reports the outcome. */
  callTarget: CallTarget;
  start(): void;
}

/**
 * Detects crashes of the local target: connections to it were lost or its lease expired, and a new connection cannot be
 * opened. The fingerprints of the calls that ran there are reported. Calls whose connection was lost fail with
 * `targetCrashed`, which must not be retried.
 */
export function createCrashDetector(context: ControllerContext): CrashDetector {
  const { board, io, settings } = context;
  const pendingCalls = new Set<PendingCall>();
  let isProbing = false;
  let wasAnnounced = false;

  const reportCrash = (calls: readonly { service: string; fingerprint: string }[]): void => {
    const [first] = calls;
    if (first === undefined) return;
    const fingerprints = [...new Set(calls.map(({ fingerprint }) => fingerprint))];
    board.post('events', { kind: 'targetCrashed', service: first.service, data: { calls: calls.length } });
    board.post('quarantine', { type: 'report', service: first.service, fingerprints, event: 'crashed' });
  };
  const settlePending = (isUp: boolean): void => {
    isProbing = false;
    const calls = [...pendingCalls];
    pendingCalls.clear();
    if (!isUp) reportCrash(calls);
    for (const { settle, failure, service } of calls) {
      const message = `the target of ${service} at ${settings.host} crashed while it ran this call`;
      const crash = createCallFailure('targetCrashed', message, { retry: 'never' });
      settle({ type: 'failure', failure: isUp ? failure : crash });
    }
    // Calls to the target would fail until it announces itself again.
    if (!isUp) board.post('target', { type: 'expireLease' });
  };
  const startProbe = (address: string): void => {
    if (isProbing) return;
    isProbing = true;
    checkTarget(address, settlePending);
  };
  const checkTarget = (address: string, done: (isUp: boolean) => void): void => {
    if (io.probeTarget === undefined) done(true);
    else io.probeTarget(address, done);
  };
  const findFingerprint = (token: string): string | undefined =>
    board.read('calls').running.get(token)?.envelope.fingerprint;

  const checkLease = (): void => {
    const { announcement } = board.read('target');
    const isExpired = wasAnnounced && announcement === undefined;
    wasAnnounced = announcement !== undefined;
    if (!isExpired || lastAddress === '') return;
    checkTarget(lastAddress, (isUp) => {
      const running = [...board.read('calls').running.values()].filter(({ state }) => state === 'running');
      if (!isUp) reportCrash(running.map(({ envelope }) => envelope));
    });
  };
  let lastAddress = '';

  return {
    callTarget: (request, done) => {
      const fingerprint = findFingerprint(request.token) ?? '';
      const state: { isCancelled: boolean; call?: PendingCall } = { isCancelled: false };
      lastAddress = request.address;
      const cancel = io.callTarget(request, (outcome) => {
        if (outcome.type === 'answer' || !DISCONNECT_KINDS.has(outcome.failure.kind)) {
          if (outcome.type === 'failure' && outcome.failure.kind === 'targetUnreachable') startProbe(request.address);
          done(outcome);
          return;
        }
        const settle = (finalOutcome: TargetOutcome): void => {
          if (!state.isCancelled) done(finalOutcome);
        };
        pendingCalls.add({ fingerprint, service: request.service, settle, failure: outcome.failure });
        startProbe(request.address);
      });
      return () => {
        state.isCancelled = true;
        cancel();
      };
    },
    start: () => {
      board.subscribe('target', checkLease);
    },
  };
}
