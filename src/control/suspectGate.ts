import { createCallFailure } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';
import type { CallEnvelope } from '../schema/frame.js';
import { cancelNothing } from './calls.js';
import type { AdmitCall, CallReply } from './calls.js';
import type { ControllerContext } from './context.js';

/** Wraps `admit`: refuses quarantined requests, and runs requests suspected of crashing targets one at a time. */
export function createSuspectGate(context: ControllerContext, admit: AdmitCall): AdmitCall {
  const { board, clock, policies, settings } = context;
  let isSuspectRunning = false;

  const runSuspect: AdmitCall = (envelope, account, reply) => {
    isSuspectRunning = true;
    let isEnded = false;
    const finish = (): void => {
      if (isEnded) return;
      isEnded = true;
      isSuspectRunning = false;
    };
    const cancel = admit(envelope, account, (result) => {
      finish();
      if (result.type === 'answer') clearSuspicion(envelope);
      reply(result);
    });
    return () => {
      finish();
      cancel();
    };
  };
  const clearSuspicion = ({ service, fingerprint }: CallEnvelope): void => {
    if (!board.read('quarantine').byFingerprint.has(fingerprint)) return;
    board.post('quarantine', { type: 'report', service, fingerprints: [fingerprint], event: 'succeeded' });
  };
  const refuse = (reply: CallReply, allowanceLeft: number, failure: CallFailure): (() => void) => {
    reply({ type: 'refusal', failure: { ...failure, host: settings.host }, allowanceLeft, admittedFraction: 1 });
    return cancelNothing;
  };

  return (envelope, account, reply) => {
    const { service, operation, fingerprint } = envelope;
    const verdict = policies.resolveSuspect(board.read('quarantine').byFingerprint.get(fingerprint), clock.now());
    if (verdict === 'run') return admit(envelope, account, reply);
    if (verdict === 'refuse') return refuse(reply, account.remaining, createQuarantinedFailure(service, operation));
    if (isSuspectRunning) {
      const message = `the target of ${service} at ${settings.host} already runs a request that is suspected of crashing targets`;
      return refuse(reply, account.remaining, createCallFailure('overloaded', message));
    }
    if (verdict === 'trial') {
      board.post('quarantine', { type: 'report', service, fingerprints: [fingerprint], event: 'trial' });
    }
    return runSuspect(envelope, account, reply);
  };
}

/** Creates the failure of a request that is quarantined, since two targets crashed while they ran it. */
export function createQuarantinedFailure(service: string, operation: string): CallFailure {
  const message = `this request of ${service}/${operation} crashed targets twice and is quarantined`;
  return createCallFailure('quarantined', message);
}
