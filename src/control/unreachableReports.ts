import { DATA_CENTER_UNREACHABLE_AFTER_MS } from '../policy/failureDetector.js';
import { selectGateways } from '../policy/overlay.js';
import type { SilenceFrame } from '../schema/frame.js';
import type { ControllerContext } from './context.js';
import type { Sections } from './sections.js';

/** Batches changes: after a partition between regions, data centres become reachable one after the other. */
const MIN_REPORT_INTERVAL_MS = 2000;
/** Non-empty reports are repeated for nodes that joined later. */
const REPEAT_INTERVAL_MS = 5000;
/** A report that is not repeated within this time is discarded, since its gateway is down. */
const REPORT_TIMEOUT_MS = 15_000;

export interface UnreachableReports {
  /** Reports the data centres that are unreachable from this node, if it is a gateway. */
  check(): void;
  /** Applies the report of another gateway and forwards it within this data centre. */
  receiveReport(frame: SilenceFrame, from: string): void;
}

/**
 * Creates the reports of unreachable data centres. A data centre is unreachable when all gateways of this data
 * centre report it. Reports are broadcast within this data centre only: as part of the member records, the loss of
 * a region would change the records of all gateways, which are sent to every node.
 */
export function createUnreachableReports(
  { board, clock, settings }: ControllerContext,
  members: Sections['members'],
): UnreachableReports {
  const links = board.read('links');
  const reports = new Map<string, { dataCenters: readonly string[]; atMs: number }>();
  let reported = '';
  let nextReportMs = 0;
  let nextRepeatMs = Infinity;
  let reportCount = 0;

  const listUnreachable = (): string[] =>
    [...(links.isGateway ? members.rings.keys() : [])]
      .filter((dataCenter) => {
        const lastSeenMs = links.lastSeenByDataCenter.get(dataCenter);
        return lastSeenMs !== undefined && clock.now() - lastSeenMs > DATA_CENTER_UNREACHABLE_AFTER_MS;
      })
      .sort();
  const updateUnreachable = (): void => {
    const gateways = selectGateways(members.rings.get(settings.dataCenter) ?? []);
    const [first, ...others] = gateways.map((id) => reports.get(id)?.dataCenters ?? []);
    members.unreachableDataCenters.clear();
    for (const dataCenter of first ?? [])
      if (others.every((list) => list.includes(dataCenter))) members.unreachableDataCenters.add(dataCenter);
  };
  const broadcastReport = (dataCenters: string[]): void => {
    const updateId = `silence ${members.self.id} ${members.self.incarnation} ${reportCount++}`;
    const frame: SilenceFrame = { type: 'silence', newsId: updateId, host: members.self.id, dataCenters };
    board.post('links', { type: 'broadcast', frame, updateId, withinDataCenter: true });
    reports.set(members.self.id, { dataCenters, atMs: clock.now() });
    nextReportMs = clock.now() + MIN_REPORT_INTERVAL_MS;
    nextRepeatMs = dataCenters.length > 0 ? clock.now() + REPEAT_INTERVAL_MS : Infinity;
    reported = dataCenters.join(' ');
  };
  return {
    check: () => {
      const nowMs = clock.now();
      for (const [host, { atMs }] of reports) if (nowMs - atMs > REPORT_TIMEOUT_MS) reports.delete(host);
      const unreachable = listUnreachable();
      if ((unreachable.join(' ') !== reported && nowMs >= nextReportMs) || nowMs >= nextRepeatMs)
        broadcastReport(unreachable);
      updateUnreachable();
    },
    receiveReport: (frame, from) => {
      if (frame.host === members.self.id) return;
      reports.set(frame.host, { dataCenters: frame.dataCenters, atMs: clock.now() });
      board.post('links', { type: 'broadcast', frame, updateId: frame.newsId, from, withinDataCenter: true });
      updateUnreachable();
    },
  };
}
