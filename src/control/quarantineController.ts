import { applyCrash, applyTrial } from '../policy/quarantine.js';
import type { CrashReportFrame } from '../schema/frame.js';
import { serviceConfigurationDefaults } from '../schema/serviceConfiguration.js';
import type { Controller, ControllerContext } from './context.js';

/** Maximum number of fingerprints and of report ids. */
const MAX_ENTRIES = 1024;

/** Writes which fingerprints ran when targets crashed, from the local target and from the reports of other nodes. */
export function createQuarantineController(context: ControllerContext): Controller {
  const { board, clock, settings } = context;
  const quarantine = board.claim('quarantine', 'quarantineController');
  const { byFingerprint, reportIds } = quarantine.section;
  const { incarnation } = board.read('members').self;
  let reportCount = 0;

  const getQuarantineMs = (service: string): number =>
    board.read('configuration').services.get(service)?.document.quarantineMs ??
    serviceConfigurationDefaults.quarantineMs;

  const applyReport = (report: CrashReportFrame): void => {
    const nowMs = clock.now();
    for (const fingerprint of report.fingerprints) {
      const known = byFingerprint.get(fingerprint);
      // Re-inserted at the end, so that the least recently updated fingerprint is evicted first.
      byFingerprint.delete(fingerprint);
      const next =
        report.news === 'crashed'
          ? applyCrash(known, nowMs, { quarantineMs: getQuarantineMs(report.service) })
          : report.news === 'trial'
            ? applyTrial(known, nowMs)
            : undefined;
      if (next !== undefined) byFingerprint.set(fingerprint, next);
      board.post('events', {
        kind: 'quarantineChanged',
        service: report.service,
        data: { fingerprint, news: report.news, host: report.host, phase: next?.phase ?? 'none' },
      });
    }
    evictOldest(byFingerprint);
    quarantine.publishChange();
  };
  /** Applies a report that is new to this node and forwards it once along the control links. */
  const broadcastReport = (report: CrashReportFrame, from?: string): void => {
    if (reportIds.has(report.reportId)) return;
    reportIds.add(report.reportId);
    evictOldest(reportIds);
    applyReport(report);
    const sender = from === undefined ? {} : { from };
    board.post('links', { type: 'broadcast', frame: report, updateId: report.reportId, ...sender });
  };
  quarantine.handlePosts((post) => {
    if (post.type === 'received') {
      broadcastReport(post.report, post.from);
      return;
    }
    const { service, fingerprints, event } = post;
    const reportId = `${incarnation}.q${(reportCount++).toString(36)}`;
    broadcastReport({
      type: 'crashReport',
      reportId,
      host: settings.host,
      service,
      news: event,
      fingerprints: [...fingerprints],
    });
  });
  return { start: () => undefined, stop: () => undefined };
}

function evictOldest(items: Map<string, unknown> | Set<string>): void {
  for (const oldest of items.keys()) {
    if (items.size <= MAX_ENTRIES) return;
    items.delete(oldest);
  }
}
