import { computeFingerprint } from '../../policy/fingerprint.js';
import type { FingerprintedRequest } from '../../policy/fingerprint.js';
import { resolveSuspect } from '../../policy/quarantine.js';
import type { SuspectVerdict } from '../../policy/quarantine.js';
import type { RunRequest } from '../../schema/linkFrame.js';
import type { RequestContext } from './context.js';
import type { ArrivalVerdict, Run } from './run.js';
import type { RequestBoard } from './sections.js';

/** Time after an answer in which a request with the same fingerprint is not blamed for a crash (ms). */
const ANSWER_MEMORY_MS = 10_000;
/** Number of answered fingerprints that are remembered, and the size of a body up to which they are computed for that. */
const MAX_ANSWERED = 1024;
const MAX_REMEMBERED_BODY_BYTES = 1024;

/** Returns how a request is handled by what is known of crashes; the fingerprint is computed only if there were any. */
export function readSuspectVerdict(board: RequestBoard, request: FingerprintedRequest, nowMs: number): SuspectVerdict {
  const { byFingerprint } = board.read('quarantine');
  if (byFingerprint.size === 0) return 'run';
  return resolveSuspect(byFingerprint.get(computeFingerprint(request)), nowMs);
}

/** The requests at the local target that are suspected of crashing targets. */
export interface SuspectRuns {
  /** Returns how a request is handled that arrives now. */
  readVerdict(request: RunRequest): ArrivalVerdict;
  /** Notes that a request is taken, whose verdict is that of its arrival. */
  add(run: Run): void;
  /** True if a request may not start, since crashes were reported while it waited. */
  isRefused(run: Run): boolean;
  /** Notes the end of a request that was added. */
  end(run: Run): void;
  /** Notes that the target answered a request, which ends the suspicion of it. */
  recordAnswer(request: RunRequest): void;
  /** Notes that the connection of a request was lost, which may be due to a crash unless the like was answered just before. */
  recordLost(request: RunRequest): void;
}

/** Creates the record of suspects at the local target. */
export function createSuspectRuns({ board, clock }: RequestContext): SuspectRuns {
  let suspectCount = 0;
  /** Times of the last answers by fingerprint (monotonic ms), oldest first. */
  const answeredAtMs = new Map<number, number>();

  const addAnswer = (fingerprint: number): void => {
    answeredAtMs.delete(fingerprint);
    answeredAtMs.set(fingerprint, clock.now());
    const [oldest] = answeredAtMs.keys();
    if (answeredAtMs.size > MAX_ANSWERED && oldest !== undefined) answeredAtMs.delete(oldest);
  };
  return {
    readVerdict: (request) => {
      const verdict = readSuspectVerdict(board, request, clock.now());
      const isSuspect = verdict === 'runSuspect' || verdict === 'trial';
      return isSuspect && suspectCount > 0 ? 'wait' : verdict;
    },
    add: ({ request, verdict }) => {
      if (verdict === 'run') return;
      suspectCount++;
      if (verdict === 'trial')
        board.post('quarantine', { type: 'trialStarted', fingerprint: computeFingerprint(request) });
    },
    isRefused: ({ request, verdict }) => {
      // The trial itself keeps all others away.
      return verdict !== 'trial' && readSuspectVerdict(board, request, clock.now()) === 'refuse';
    },
    end: ({ verdict }) => {
      if (verdict !== 'run') suspectCount--;
    },
    recordAnswer: (request) => {
      const { byFingerprint } = board.read('quarantine');
      const isRemembered = (request.body?.length ?? 0) <= MAX_REMEMBERED_BODY_BYTES;
      if (!isRemembered && byFingerprint.size === 0) return;
      const fingerprint = computeFingerprint(request);
      if (isRemembered) addAnswer(fingerprint);
      if (byFingerprint.has(fingerprint)) board.post('quarantine', { type: 'requestAnswered', fingerprint });
    },
    recordLost: (request) => {
      const fingerprint = computeFingerprint(request);
      const wasAnsweredAtMs = answeredAtMs.get(fingerprint) ?? -Infinity;
      if (clock.now() - wasAnsweredAtMs < ANSWER_MEMORY_MS) return;
      board.post('quarantine', { type: 'requestLost', fingerprint });
    },
  };
}
