import type { SuspectState } from '../schema/state.js';

/** What a target's node or an entry node does with a request whose fingerprint was seen at a crash. */
export type SuspectVerdict = 'run' | 'runAlone' | 'trial' | 'refuse';

export interface QuarantineOptions {
  /** Time for which a fingerprint is refused after its second crash (ms); doubles with each crash after a trial. */
  quarantineMs: number;
}

/** Longest quarantine, docs/design.md section 4.8. */
export const MAX_QUARANTINE_MS = 3_600_000;
/** After this time a trial that nobody reported on is taken as lost, and another one may begin. */
const TRIAL_MS = 60_000;

/** Applies a crash report: the first makes a fingerprint suspect, the second without a success between quarantines it. */
export function applyCrash(
  known: SuspectState | undefined,
  nowMs: number,
  { quarantineMs }: QuarantineOptions,
): SuspectState {
  if (known === undefined) return { phase: 'suspect', untilMs: nowMs, periodMs: quarantineMs };
  if (known.phase === 'quarantined' && nowMs < known.untilMs) return { ...known };
  const periodMs = known.phase === 'suspect' ? known.periodMs : Math.min(MAX_QUARANTINE_MS, known.periodMs * 2);
  return { phase: 'quarantined', untilMs: nowMs + periodMs, periodMs };
}

/** Applies the news that a trial began somewhere: until its end no other one begins. */
export function applyTrial(known: SuspectState | undefined, nowMs: number): SuspectState | undefined {
  if (known?.phase !== 'quarantined') return known;
  return { ...known, phase: 'trial', untilMs: nowMs + TRIAL_MS };
}

/**
 * Decides about a request with this fingerprint.
 *
 * @example
 * resolveSuspect({ phase: 'suspect', ... }, nowMs); // runAlone
 */
export function resolveSuspect(known: SuspectState | undefined, nowMs: number): SuspectVerdict {
  if (known === undefined) return 'run';
  if (known.phase === 'suspect') return 'runAlone';
  return nowMs < known.untilMs ? 'refuse' : 'trial';
}
