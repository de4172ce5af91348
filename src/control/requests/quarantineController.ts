import { generateId } from '../../core/random.js';
import { applyCrash, applyTrial } from '../../policy/quarantine.js';
import type { CrashReport } from '../../schema/linkFrame.js';
import type { SuspectState } from '../../schema/state.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';

/** Initial time for which requests that crashed targets are refused (ms). */
const QUARANTINE_MS = 60_000;
/**
 * Number of crashes before that. Retries of innocent requests may follow the one at fault to its second target, and are then
 * run apart from it.
 */
const MAX_CRASHES = 3;
/** Requests whose connection was lost within this time before a crash was detected count as running at the crash (ms). */
const CRASH_WINDOW_MS = 1500;
/** Maximum numbers of fingerprints, of known reports and of requests with a lost connection; the oldest are forgotten. */
const MAX_FINGERPRINTS = 4096;
const MAX_REPORTS = 4096;
const MAX_LOST_REQUESTS = 512;

/** Writes the fingerprints of requests that crash targets, from reports of all nodes; forwards each report once. */
export function createQuarantineController({ board, clock, random }: RequestContext): Controller {
  const quarantine = board.claim('quarantine', 'quarantineController');
  const { byFingerprint, reportIds, lostRequests } = quarantine.section;

  const evictOldest = <Key>(entries: { size: number; keys(): Iterator<Key>; delete(key: Key): boolean }): void => {
    const first = entries.keys().next();
    if (first.done !== true) entries.delete(first.value);
  };
  /** Replaces the state of a fingerprint, so that the least recently changed one is evicted first. */
  const replaceState = (fingerprint: number, next: SuspectState | undefined): void => {
    byFingerprint.delete(fingerprint);
    if (next !== undefined) byFingerprint.set(fingerprint, next);
    if (byFingerprint.size > MAX_FINGERPRINTS) evictOldest(byFingerprint);
  };
  const applyReport = ({ reportId, fingerprints, cleared = [], trials = [] }: CrashReport, source: string): void => {
    const nowMs = clock.now();
    const applyTo = (
      changed: readonly number[],
      event: string,
      computeNext: (known: SuspectState | undefined) => SuspectState | undefined,
    ): void => {
      for (const fingerprint of changed) {
        const known = byFingerprint.get(fingerprint);
        const next = computeNext(known);
        replaceState(fingerprint, next);
        if (next?.phase === known?.phase) continue;
        const inputs = { fingerprint, event, source, reportId };
        board.post('decisions', { kind: 'quarantineChanged', outcome: next?.phase ?? 'cleared', inputs });
      }
    };
    applyTo(fingerprints, 'crash', (known) =>
      applyCrash(known, nowMs, { quarantineMs: QUARANTINE_MS, maxCrashes: MAX_CRASHES }),
    );
    applyTo(cleared, 'answer', () => undefined);
    applyTo(trials, 'trial', (known) => applyTrial(known, nowMs));
  };
  const receiveReport = (report: CrashReport, source: string): void => {
    if (reportIds.has(report.reportId)) return;
    reportIds.add(report.reportId);
    if (reportIds.size > MAX_REPORTS) evictOldest(reportIds);
    applyReport(report, source);
    board.post('links', { type: 'crash', report });
  };
  const reportOwn = (report: Omit<CrashReport, 'reportId'>): void => {
    receiveReport({ reportId: generateId(random), ...report }, 'local target');
  };
  const receiveCrash = (targetId: string): void => {
    const sinceMs = clock.now() - CRASH_WINDOW_MS;
    const lost = lostRequests.splice(0).flatMap(({ fingerprint, atMs }) => (atMs >= sinceMs ? [fingerprint] : []));
    // A crash counts once for all requests with the same fingerprint.
    const fingerprints = [...new Set(lost)];
    if (fingerprints.length === 0) return;
    const inputs = { target: targetId, requests: lost.length };
    board.post('decisions', { kind: 'targetChanged', outcome: 'crashed', inputs });
    reportOwn({ fingerprints });
  };
  const recordLost = (fingerprint: number): void => {
    lostRequests.push({ fingerprint, atMs: clock.now() });
    if (lostRequests.length > MAX_LOST_REQUESTS) lostRequests.shift();
  };
  quarantine.handlePosts((post) => {
    if (post.type === 'report') receiveReport(post.report, post.source);
    else if (post.type === 'targetCrashed') receiveCrash(post.targetId);
    else if (post.type === 'requestLost') recordLost(post.fingerprint);
    else if (post.type === 'trialStarted') reportOwn({ fingerprints: [], trials: [post.fingerprint] });
    else reportOwn({ fingerprints: [], cleared: [post.fingerprint] });
  });
  return { start: () => undefined, stop: () => undefined };
}
