import type { SuspectState } from '../schema/state.js';

/**
 * Handling of a request by its fingerprint. `runSuspect`: run when the target runs no other suspect; `trial`: the same,
 * as the only trial after a quarantine.
 */
export type SuspectVerdict = 'run' | 'runSuspect' | 'trial' | 'refuse';

export interface QuarantineOptions {
  /** Duration for which a fingerprint is refused after its last crash (ms); doubled by each crash in a trial. */
  quarantineMs: number;
  /** Number of crashes without a success between them after which a fingerprint is refused; 2 by default. */
  maxCrashes?: 2 | 3;
}

/** Maximum duration of a quarantine; see docs/design.md, section 4.8. */
export const MAX_QUARANTINE_MS = 3_600_000;
/** Time after which a trial without a reported outcome counts as lost, and another trial may start. */
const TRIAL_TIMEOUT_MS = 60_000;

/**
 * Applies a crash report: the next to last of `maxCrashes` marks a fingerprint as suspect, the last one without a success
 * between them quarantines it.
 */
export function applyCrash(
  known: SuspectState | undefined,
  nowMs: number,
  { quarantineMs, maxCrashes = 2 }: QuarantineOptions,
): SuspectState {
  if (known === undefined) {
    const phase = maxCrashes > 2 ? 'reported' : 'suspect';
    return { phase, untilMs: nowMs, periodMs: quarantineMs };
  }
  if (known.phase === 'reported') return { ...known, phase: 'suspect', untilMs: nowMs };
  if (known.phase === 'quarantined' && nowMs < known.untilMs) return { ...known };
  const periodMs = known.phase === 'suspect' ? known.periodMs : Math.min(MAX_QUARANTINE_MS, known.periodMs * 2);
  return { phase: 'quarantined', untilMs: nowMs + periodMs, periodMs };
}

/** Applies the notification that a trial started at some node; no other trial starts before it ends or times out. */
export function applyTrial(known: SuspectState | undefined, nowMs: number): SuspectState | undefined {
  if (known?.phase !== 'quarantined') return known;
  return { ...known, phase: 'trial', untilMs: nowMs + TRIAL_TIMEOUT_MS };
}

/**
 * Decides how to handle a request with this fingerprint.
 *
 * @example
 * resolveSuspect({ phase: 'suspect', ... }, nowMs); // runSuspect
 */
export function resolveSuspect(known: SuspectState | undefined, nowMs: number): SuspectVerdict {
  if (known === undefined || known.phase === 'reported') return 'run';
  if (known.phase === 'suspect') return 'runSuspect';
  return nowMs < known.untilMs ? 'refuse' : 'trial';
}
