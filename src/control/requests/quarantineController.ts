import { generateId } from '../../core/random.js';
import { applyCrash } from '../../policy/quarantine.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';

/** Initial time for which requests that crashed two targets are refused (ms). */
const QUARANTINE_MS = 60_000;
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
  const receiveReport = (reportId: string, fingerprints: readonly number[], source: string): void => {
    if (reportIds.has(reportId)) return;
    reportIds.add(reportId);
    if (reportIds.size > MAX_REPORTS) evictOldest(reportIds);
    for (const fingerprint of fingerprints) {
      const state = applyCrash(byFingerprint.get(fingerprint), clock.now(), { quarantineMs: QUARANTINE_MS });
      byFingerprint.delete(fingerprint);
      byFingerprint.set(fingerprint, state);
      if (state.phase === 'suspect') continue;
      const inputs = { fingerprint, source, reportId };
      board.post('decisions', { kind: 'quarantineChanged', outcome: state.phase, inputs });
    }
    while (byFingerprint.size > MAX_FINGERPRINTS) evictOldest(byFingerprint);
    board.post('links', { type: 'crash', reportId, fingerprints });
  };
  const receiveCrash = (targetId: string): void => {
    const sinceMs = clock.now() - CRASH_WINDOW_MS;
    const fingerprints = lostRequests
      .splice(0)
      .flatMap(({ fingerprint, atMs }) => (atMs >= sinceMs ? [fingerprint] : []));
    if (fingerprints.length === 0) return;
    const inputs = { target: targetId, requests: fingerprints.length };
    board.post('decisions', { kind: 'targetChanged', outcome: 'crashed', inputs });
    receiveReport(generateId(random), fingerprints, 'local target');
  };
  quarantine.handlePosts((post) => {
    if (post.type === 'report') receiveReport(post.reportId, post.fingerprints, post.source);
    else if (post.type === 'targetCrashed') receiveCrash(post.targetId);
    else {
      lostRequests.push({ fingerprint: post.fingerprint, atMs: clock.now() });
      if (lostRequests.length > MAX_LOST_REQUESTS) lostRequests.shift();
    }
  });
  return { start: () => undefined, stop: () => undefined };
}
