import { applyCrash, applyTrial } from '../policy/quarantine.js';
import type { CrashReportFrame } from '../schema/frame.js';
import { serviceConfigurationDefaults } from '../schema/serviceConfiguration.js';
import type { Controller, ControllerContext } from './context.js';

/** Fingerprints kept, docs/design.md section 2. */
const MAX_ENTRIES = 1024;

/** Writes which fingerprints were seen at crashes, from the local target and from the reports of other nodes. */
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
      // Re-inserted at the end, so that the fingerprint without news for longest makes room first.
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
  /** Applies a report that is new here and sends it on along the control links; each node sends it on once. */
  const broadcastReport = (report: CrashReportFrame, from?: string): void => {
    if (reportIds.has(report.reportId)) return;
    reportIds.add(report.reportId);
    evictOldest(reportIds);
    applyReport(report);
    const sender = from === undefined ? {} : { from };
    board.post('links', { type: 'broadcast', frame: report, newsId: report.reportId, ...sender });
  };
  quarantine.handlePosts((post) => {
    if (post.type === 'received') {
      broadcastReport(post.report, post.from);
      return;
    }
    const { service, fingerprints, news } = post;
    const reportId = `${incarnation}.q${(reportCount++).toString(36)}`;
    broadcastReport({
      type: 'crashReport',
      reportId,
      host: settings.host,
      service,
      news,
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
