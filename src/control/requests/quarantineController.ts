import { applyCrash } from '../../policy/quarantine.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';

/** Time for which requests that crashed two targets are refused (ms). */
const QUARANTINE_MS = 60_000;
const MAX_FINGERPRINTS = 4096;
const MAX_REPORTS = 4096;

/** Writes which requests crash targets, from reports of all nodes, and spreads each report once. */
export function createQuarantineController({ board, clock }: RequestContext): Controller {
  const quarantine = board.claim('quarantine', 'quarantineController');
  const { byFingerprint, reportIds } = quarantine.section;

  quarantine.handlePosts(({ reportId, fingerprints, source }) => {
    if (reportIds.has(reportId)) return;
    reportIds.add(reportId);
    if (reportIds.size > MAX_REPORTS) reportIds.delete([...reportIds][0] ?? '');
    for (const fingerprint of fingerprints) {
      const state = applyCrash(byFingerprint.get(fingerprint), clock.now(), { quarantineMs: QUARANTINE_MS });
      byFingerprint.delete(fingerprint);
      byFingerprint.set(fingerprint, state);
      const inputs = { fingerprint, source, reportId };
      board.post('decisions', { kind: 'quarantineChanged', outcome: state.phase, inputs });
    }
    while (byFingerprint.size > MAX_FINGERPRINTS) byFingerprint.delete([...byFingerprint.keys()][0] ?? 0);
    board.post('links', { type: 'crash', reportId, fingerprints });
  });
  return { start: () => undefined, stop: () => undefined };
}
